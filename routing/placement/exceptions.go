package placement

import "time"

// ways is the number of places where an entry can be; the oldest of them makes room.
const ways = 4

// Exceptions remembers which chats have their context on an engine other than their home. It is bounded: a new entry
// replaces the oldest of its bucket, and the loss of an entry costs one cache miss. It is not safe for concurrent use.
type Exceptions struct {
	// entries has a power of two of buckets with ways entries each; an entry with engine 0 is free.
	entries []entry
	mask    uint64
	// names holds the engines by number, from 1; numbers is its inverse.
	names   []string
	numbers map[string]uint32
	count   int
}

// entry takes 24 bytes.
type entry struct {
	key    uint64
	second int64
	engine uint32
}

// NewExceptions returns an empty table of at least size entries.
func NewExceptions(size int) *Exceptions {
	buckets := 1
	for buckets*ways < size {
		buckets *= 2
	}
	return &Exceptions{
		entries: make([]entry, buckets*ways),
		mask:    uint64(buckets - 1),
		names:   []string{""},
		numbers: map[string]uint32{},
	}
}

// Put records that the context of the chat with a key of function Key is on an engine since now.
func (x *Exceptions) Put(now time.Time, key uint64, engine string) {
	b := x.bucket(key)
	at := 0
	for i := range b {
		if b[i].engine != 0 && b[i].key == key {
			at = i
			break
		}
		if older(b[i], b[at]) {
			at = i
		}
	}
	if b[at].engine == 0 {
		x.count++
	}
	b[at] = entry{key: key, second: now.Unix(), engine: x.number(engine)}
}

// Find returns the engine that holds the context and since when; empty if there is no exception.
func (x *Exceptions) Find(key uint64) (engine string, since time.Time) {
	for _, e := range x.bucket(key) {
		if e.engine != 0 && e.key == key {
			return x.names[e.engine], time.Unix(e.second, 0)
		}
	}
	return "", time.Time{}
}

// Forget removes the entry of a chat, after it went back to its home.
func (x *Exceptions) Forget(key uint64) {
	b := x.bucket(key)
	for i := range b {
		if b[i].engine != 0 && b[i].key == key {
			b[i] = entry{}
			x.count--
		}
	}
}

// Drop removes the entries of an engine that has left.
func (x *Exceptions) Drop(engine string) {
	n, ok := x.numbers[engine]
	if !ok {
		return
	}
	for i := range x.entries {
		if x.entries[i].engine == n {
			x.entries[i] = entry{}
			x.count--
		}
	}
}

// Len returns the number of entries.
func (x *Exceptions) Len() int { return x.count }

func (x *Exceptions) bucket(key uint64) []entry {
	at := (key & x.mask) * ways
	return x.entries[at : at+ways]
}

func (x *Exceptions) number(engine string) uint32 {
	if n, ok := x.numbers[engine]; ok {
		return n
	}
	n := uint32(len(x.names))
	x.names = append(x.names, engine)
	x.numbers[engine] = n
	return n
}

func older(a, b entry) bool {
	if (a.engine == 0) != (b.engine == 0) {
		return a.engine == 0
	}
	return a.second < b.second
}
