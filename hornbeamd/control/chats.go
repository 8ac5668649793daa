package control

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/limit"
	"hornbeamstep.example/routing/placement"
)

const (
	// exceptions is the number of chats away from home that an owner remembers; an entry takes 24 bytes.
	exceptions = 1 << 16
	// recent is the number of chats whose last turn a router remembers; an entry takes 16 bytes. At the size to design for,
	// a router serves 3 million / 340 = 8,800 chats, and callers that move make it a few times more.
	recent = 1 << 16
)

// memory is what a router remembers of chats and client accounts. It is bounded; a lost entry costs a cache miss at most.
type memory struct {
	mu *sync.Mutex
	// away holds the engines of chats whose home this router owns and whose context is elsewhere.
	away *placement.RelocationTable
	// recent holds the last turns of chats that this router served.
	recent []turn
	surges *limit.SurgeDetector
}

// turn is the last turn of a chat.
type turn struct {
	chat   uint64
	second int64
}

func newMemory() memory {
	return memory{
		mu: &sync.Mutex{}, away: placement.NewRelocationTable(exceptions), recent: make([]turn, recent),
		surges: limit.NewSurgeDetector(limit.DefaultSurgeSettings()),
	}
}

// request adds what is known of a chat to a request, and reports whether its client account surges.
func (m *memory) request(now time.Time, a caller.Ask) (placement.Request, bool) {
	r := placement.Request{Account: a.Account, Chat: a.Chat, Model: a.Model, Adapter: a.Adapter, ContextTokens: a.Context}
	m.mu.Lock()
	defer m.mu.Unlock()
	hash := xxhash.Sum64String(a.Chat)
	last := &m.recent[hash%recent]
	if last.chat == hash {
		r.Last = time.Unix(last.second, 0)
	}
	*last = turn{chat: hash, second: now.Unix()}
	return r, a.Attempt == 1 && m.surges.Observe(a.Account)
}

// Held returns the engine that holds the context of a chat whose home this router owns; empty for the home or if not known.
func (l *Loop) Held(key uint64) string {
	l.init()
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	engine, _ := l.memory.away.Find(key)
	return engine
}

// Note records where the context of a chat is whose home this router owns; empty for the home.
func (l *Loop) Note(key uint64, engine string) {
	l.init()
	if engine != "" && l.snap.Load().owned[engine] {
		// Only the control loop itself notes the home by an empty name, so this does not wait for its own caller.
		l.send(func(now time.Time) {
			if e, ok := l.state.engines[engine]; ok {
				e.warm.put(now, key)
			}
		})
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	if engine == "" {
		l.memory.away.Delete(key)
		return
	}
	l.memory.away.Put(l.Now(), key, engine)
}

// drop forgets the chats whose context an engine held.
func (m *memory) drop(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away.DeleteEngine(engine)
}
