package placement

import "time"

// bucketEntries is the number of entries in a bucket. A new entry replaces the oldest one of a full
// bucket.
const bucketEntries = 4

// RelocationTable remembers which chats have their context on an engine other than their home. The
// number of entries is bounded: a new entry replaces the oldest of its bucket. Losing an entry
// costs one cache miss. It is not safe for concurrent use.
type RelocationTable struct {
	// entries holds the buckets one after the other, with bucketEntries entries each. The number of
	// buckets is a power of two. An entry with engine 0 is free.
	entries []entry
	// mask is the number of buckets minus 1. It selects the bucket of a key.
	mask uint64
	// names holds the engine IDs by number, starting at 1. numbers maps IDs back to numbers.
	// Entries hold numbers instead of IDs, which keeps them small.
	names   []string
	numbers map[string]uint32
	count   int
}

// entry takes 24 bytes. unixSeconds is when the context came to the engine.
type entry struct {
	key         uint64
	unixSeconds int64
	engine      uint32
}

// NewRelocationTable returns an empty table with room for at least size entries.
func NewRelocationTable(size int) *RelocationTable {
	buckets := 1
	for buckets*bucketEntries < size {
		buckets *= 2
	}
	return &RelocationTable{
		entries: make([]entry, buckets*bucketEntries),
		mask:    uint64(buckets - 1),
		names:   []string{""},
		numbers: map[string]uint32{},
	}
}

// Put records that an engine holds the context of a chat, starting now. Function Key returns the
// key of the chat.
func (t *RelocationTable) Put(now time.Time, key uint64, engine string) {
	b := t.bucket(key)
	position := 0
	for i := range b {
		if b[i].engine != 0 && b[i].key == key {
			position = i
			break
		}
		if older(b[i], b[position]) {
			position = i
		}
	}
	if b[position].engine == 0 {
		t.count++
	}
	b[position] = entry{key: key, unixSeconds: now.Unix(), engine: t.engineNumber(engine)}
}

// Find returns the engine that holds the context of a chat and since when. The engine is empty if
// there is no entry.
func (t *RelocationTable) Find(key uint64) (engine string, since time.Time) {
	for _, e := range t.bucket(key) {
		if e.engine != 0 && e.key == key {
			return t.names[e.engine], time.Unix(e.unixSeconds, 0)
		}
	}
	return "", time.Time{}
}

// Delete removes the entry of a chat, as when its context is back on its home.
func (t *RelocationTable) Delete(key uint64) {
	b := t.bucket(key)
	for i := range b {
		if b[i].engine != 0 && b[i].key == key {
			b[i] = entry{}
			t.count--
		}
	}
}

// DeleteEngine removes the entries of an engine, as when it is removed from the fleet.
func (t *RelocationTable) DeleteEngine(engine string) {
	n, ok := t.numbers[engine]
	if !ok {
		return
	}
	for i := range t.entries {
		if t.entries[i].engine == n {
			t.entries[i] = entry{}
			t.count--
		}
	}
}

// Len returns the number of entries.
func (t *RelocationTable) Len() int { return t.count }

// bucket returns the entries in which a key can be stored.
func (t *RelocationTable) bucket(key uint64) []entry {
	first := (key & t.mask) * bucketEntries
	return t.entries[first : first+bucketEntries]
}

// engineNumber returns the number of an engine and assigns the next one if it has none.
func (t *RelocationTable) engineNumber(engine string) uint32 {
	if n, ok := t.numbers[engine]; ok {
		return n
	}
	n := uint32(len(t.names))
	t.names = append(t.names, engine)
	t.numbers[engine] = n
	return n
}

// older reports whether a is replaced before b: free entries come first, then those with the older
// time.
func older(a, b entry) bool {
	if (a.engine == 0) != (b.engine == 0) {
		return a.engine == 0
	}
	return a.unixSeconds < b.unixSeconds
}
