package control

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/placement"
)

const (
	// exceptions is the number of chats away from home that a router remembers; an entry takes 24 bytes.
	exceptions = 1 << 16
	// recent is the number of chats whose last turn a router remembers; an entry takes 24 bytes. At the size to design for,
	// a router serves 3 million / 340 = 8,800 chats, and callers that move make it a few times more.
	recent = 1 << 16
)

// memory is what a router remembers of chats. Both tables are bounded; a lost entry costs a cache miss at most.
type memory struct {
	mu     *sync.Mutex
	away   *placement.Exceptions
	recent []turn
}

// turn is the last turn of a chat.
type turn struct {
	chat   uint64
	second int64
	tokens int32
}

func newMemory() memory {
	return memory{mu: &sync.Mutex{}, away: placement.NewExceptions(exceptions), recent: make([]turn, recent)}
}

// request adds what is known of a chat to a request.
func (m *memory) request(now time.Time, a caller.Ask) placement.Request {
	r := placement.Request{Account: a.Account, Chat: a.Chat, Model: a.Model, Adapter: a.Adapter}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Held, _ = m.away.Find(placement.Key(a.Model, a.Adapter, a.Chat))
	if t := m.turn(a.Chat); t.chat == xxhash.Sum64String(a.Chat) {
		r.Last = time.Unix(t.second, 0)
		r.Context = max(r.Context, int(t.tokens))
	}
	return r
}

// placed remembers where a chat's context will be.
func (m *memory) placed(now time.Time, a caller.Ask, d placement.Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := placement.Key(a.Model, a.Adapter, a.Chat)
	if d.Engine == d.Home {
		m.away.Forget(key)
	} else {
		m.away.Put(now, key, d.Engine)
	}
	t := m.turn(a.Chat)
	*t = turn{chat: xxhash.Sum64String(a.Chat), second: now.Unix(), tokens: int32(min(a.Cost, 1<<30))}
}

// drop forgets what an engine held.
func (m *memory) drop(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away.Drop(engine)
}

// turn returns the entry of a chat, which may hold another one.
func (m *memory) turn(chat string) *turn {
	return &m.recent[xxhash.Sum64String(chat)%uint64(len(m.recent))]
}
