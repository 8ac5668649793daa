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
	// maxRelocatedChats is the maximum number of entries in chatState.relocated, of 24 bytes each.
	maxRelocatedChats = 1 << 16
	// lastTurnTableSize is the number of entries in chatState.lastTurns, of 16 bytes each. The
	// system is designed for 3 million chats on 340 routers, which is 8,800 chats per router. A
	// router serves a few times more because callers switch between routers.
	lastTurnTableSize = 1 << 16
)

// chatState tracks the chats and client accounts that a router serves. Its size is bounded; a lost
// entry causes a cache miss at most.
type chatState struct {
	mu *sync.Mutex
	// relocated holds the engine that has the context of each relocated chat: one whose home engine
	// this router owns, but whose context is on another engine.
	relocated *placement.RelocationTable
	// lastTurns is a hash table of the chats that this router served. A chat overwrites another one
	// with the same index.
	lastTurns []lastTurn
	surges    *limit.SurgeDetector
}

// lastTurn is the time of the last turn of a chat, in Unix seconds, with the hash of the chat.
type lastTurn struct {
	chatHash uint64
	second   int64
}

func newChatState() chatState {
	return chatState{
		mu: &sync.Mutex{}, relocated: placement.NewRelocationTable(maxRelocatedChats), lastTurns: make([]lastTurn, lastTurnTableSize),
		surges: limit.NewSurgeDetector(limit.DefaultSurgeSettings()),
	}
}

// placementRequest returns the placement request for a slot request, with the time of the chat's
// last turn, and records the new turn. It also reports whether the client account sends far more
// requests than usual, which is checked only at the first attempt.
func (c *chatState) placementRequest(now time.Time, req caller.SlotRequest) (placement.Request, bool) {
	out := placement.Request{Account: req.Account, Chat: req.Chat, Model: req.Model, Adapter: req.Adapter, ContextTokens: req.ContextTokens}
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(req.Chat)
	last := &c.lastTurns[hash%lastTurnTableSize]
	if last.chatHash == hash {
		out.Last = time.Unix(last.second, 0)
	}
	*last = lastTurn{chatHash: hash, second: now.Unix()}
	return out, req.Attempt == 1 && c.surges.Observe(req.Account)
}

// ContextHolder returns the engine that holds the context of a chat whose home this router owns. It
// returns "" if no engine is recorded; the context is then on the home, if anywhere.
func (l *Loop) ContextHolder(key uint64) string {
	l.init()
	l.chats.mu.Lock()
	defer l.chats.mu.Unlock()
	engine, _ := l.chats.relocated.Find(key)
	return engine
}

// SetContextHolder records which engine holds the context of a chat whose home this router owns. An
// empty engine deletes the record.
func (l *Loop) SetContextHolder(key uint64, engine string) {
	l.init()
	if engine != "" && l.snapshot.Load().owned[engine] {
		// The control loop itself calls SetContextHolder only with an empty name, so it never waits
		// here for space in its own queue.
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
