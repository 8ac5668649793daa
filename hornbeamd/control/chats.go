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
	// maxRelocatedChats is the number of chats whose context is not on their home that an owner can
	// track; an entry takes 24 bytes.
	maxRelocatedChats = 1 << 16
	// recentTurnSlots is the number of chats whose last turn a router can track; an entry takes 16
	// bytes. At the size that the system is designed for, a router serves 3 million / 340 = 8,800
	// chats, and a few times more because callers switch between routers.
	recentTurnSlots = 1 << 16
)

// chatState tracks the chats and client accounts that a router serves. Its size is bounded; a lost
// entry causes a cache miss at most.
type chatState struct {
	mu *sync.Mutex
	// relocated holds the engines of chats whose home this router owns and whose context is on
	// another engine.
	relocated *placement.RelocationTable
	// recent holds the last turns of the chats that this router served, indexed by hash.
	recent []lastTurn
	surges *limit.SurgeDetector
}

// lastTurn is the time of the last turn of a chat, in Unix seconds.
type lastTurn struct {
	chat   uint64
	second int64
}

func newChatState() chatState {
	return chatState{
		mu: &sync.Mutex{}, relocated: placement.NewRelocationTable(maxRelocatedChats), recent: make([]lastTurn, recentTurnSlots),
		surges: limit.NewSurgeDetector(limit.DefaultSurgeSettings()),
	}
}

// placementRequest returns the placement request for a slot request, with the time of the chat's
// last turn, and records the new turn. It also reports whether the client account sends far more
// than usual.
func (c *chatState) placementRequest(now time.Time, req caller.SlotRequest) (placement.Request, bool) {
	out := placement.Request{Account: req.Account, Chat: req.Chat, Model: req.Model, Adapter: req.Adapter, ContextTokens: req.ContextTokens}
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(req.Chat)
	last := &c.recent[hash%recentTurnSlots]
	if last.chat == hash {
		out.Last = time.Unix(last.second, 0)
	}
	*last = lastTurn{chat: hash, second: now.Unix()}
	return out, req.Attempt == 1 && c.surges.Observe(req.Account)
}

// ContextHolder returns the engine that holds the context of a chat whose home this router owns;
// empty if that is the home or unknown.
func (l *Loop) ContextHolder(key uint64) string {
	l.init()
	l.chats.mu.Lock()
	defer l.chats.mu.Unlock()
	engine, _ := l.chats.relocated.Find(key)
	return engine
}

// SetContextHolder records which engine holds the context of a chat whose home this router owns;
// empty for the home.
func (l *Loop) SetContextHolder(key uint64, engine string) {
	l.init()
	if engine != "" && l.snapshot.Load().owned[engine] {
		// The control loop itself calls SetContextHolder only with an empty name, so this send
		// cannot block on its own queue.
		l.send(func(now time.Time) {
			if e, ok := l.state.engines[engine]; ok {
				e.recentChats.put(now, key)
			}
		})
	}
	l.chats.mu.Lock()
	defer l.chats.mu.Unlock()
	if engine == "" {
		l.chats.relocated.Delete(key)
		return
	}
	l.chats.relocated.Put(l.Now(), key, engine)
}

// dropEngine deletes the entries of the chats whose context is on an engine.
func (c *chatState) dropEngine(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relocated.DeleteEngine(engine)
}
