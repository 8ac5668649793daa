package control

import (
	"context"
	"time"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/placement"
)

const (
	// evacuatePass is the number of tokens that one pass plans for. Later passes take what was used or stored meanwhile.
	evacuatePass = 50000
	// evacuateBytes is the most that moves off one engine pass through its owner, in bytes a second.
	evacuateBytes = 32 << 20
	// evacuateLimit is the longest time for one of these moves. No request waits for them.
	evacuateLimit = 2 * time.Second
	// mostFailures in a row end a pass: the engine has probably gone.
	mostFailures = 3
)

// held is what cache events tell of a chat's context on an engine.
type held struct {
	tokens int
	last   time.Time
}

// contexts are the contexts that an engine holds.
type contexts struct {
	byChat map[string]held
	// moved holds when each context was last moved away, or tried to be.
	moved map[string]time.Time
	// busy is true while a pass is in progress.
	busy bool
}

func newContexts() contexts {
	return contexts{byChat: map[string]held{}, moved: map[string]time.Time{}}
}

func (c *contexts) take(e engine.Event, now time.Time) {
	if e.Chat == "" {
		return
	}
	was, known := c.byChat[e.Chat]
	switch {
	case e.Kind == "evicted" && e.Tokens >= was.tokens:
		delete(c.byChat, e.Chat)
	case e.Kind == "stored" && (known || len(c.byChat) < mostStored):
		c.byChat[e.Chat] = held{tokens: max(was.tokens, e.Tokens), last: now}
	}
}

// evacuations moves hot contexts off the leaving engines that this router owns. Only the owner does, which keeps the rate bounded.
func (l *Loop) evacuations(ctx context.Context, now time.Time) {
	if l.Mover == nil {
		return
	}
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil || l.state.placed(e) != placement.Leaving {
			clear(e.contexts.moved)
			continue
		}
		if e.contexts.busy {
			continue
		}
		pass := l.pass(e, now)
		if len(pass.moves) == 0 {
			continue
		}
		e.contexts.busy = true
		go func() {
			pass.run(ctx)
			l.send(func(time.Time) { e.contexts.busy = false })
		}()
	}
}

// pass is a part of the moves off one engine.
type pass struct {
	loop  *Loop
	name  string
	rule  placement.Rule
	moves []placement.Move
	// keys holds what decides the home of each chat, and homes the home itself.
	keys map[string]uint64
	home map[string]string
}

// pass plans the next moves off an engine, the contexts used last first.
func (l *Loop) pass(e *engineState, now time.Time) *pass {
	p := &pass{
		loop: l, name: e.backend.Name, rule: l.snap.Load().rule,
		keys: map[string]uint64{}, home: map[string]string{},
	}
	var due []placement.ChatContext
	for chat, h := range e.contexts.byChat {
		if at, ok := e.contexts.moved[chat]; ok && !h.last.After(at) {
			continue
		}
		model, adapter, ok := l.identify(e, chat)
		if !ok {
			continue
		}
		key := placement.Key(model, adapter, chat)
		p.keys[chat] = key
		p.home[chat], _ = l.state.view.Homes(model, adapter, key)
		due = append(due, placement.ChatContext{Chat: chat, Model: model, Adapter: adapter, Tokens: h.tokens, LastUsed: h.last})
	}
	p.moves = p.rule.Evacuate(now, e.backend.Name, due, evacuatePass, l.state.view)
	for _, m := range p.moves {
		e.contexts.moved[m.Chat] = now
	}
	return p
}

// identify returns the model and the adapter of a chat that an engine holds. Cache events name neither; the hash of a chat that was
// granted a slot tells them.
func (l *Loop) identify(e *engineState, chat string) (model, adapter string, ok bool) {
	models, _ := l.state.models(e.backend.Pool)
	for _, m := range models {
		for _, a := range append([]string{""}, l.state.policy.Models[m].Adapters...) {
			if e.warm.has(placement.Key(m, a, chat)) {
				return m, a, true
			}
		}
	}
	// An owner that has just taken over has seen no grant, but there is nothing to tell apart.
	if len(models) == 1 && len(l.state.policy.Models[models[0]].Adapters) == 0 {
		return models[0], "", true
	}
	return "", "", false
}

func (p *pass) run(ctx context.Context) {
	failures := 0
	for _, m := range p.moves {
		begin := p.loop.Now()
		from, to, ok := p.mayMove(m)
		if !ok || ctx.Err() != nil {
			return
		}
		n, err := p.one(ctx, m, from, to)
		if failures++; err == nil {
			failures = 0
		}
		if failures >= mostFailures {
			return
		}
		least := time.Duration(m.Tokens) * p.rule.Settings.TransferPerToken
		least = max(least, time.Duration(float64(n)/evacuateBytes*float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(least - p.loop.Now().Sub(begin)):
		}
	}
}

// mayMove looks before each move whether this router still owns the engine and the engine still leaves. A router that was paused loses
// its ownership before it goes on, so that two routers do not move the contexts of one engine for long.
func (p *pass) mayMove(m placement.Move) (from, to policy.Backend, ok bool) {
	s := p.loop.snap.Load()
	source, known := s.view.Engine(p.name)
	target, there := s.view.Engine(m.To)
	if !known || !there || source.State != placement.Leaving || target.State == placement.Leaving {
		return from, to, false
	}
	if !s.owned[p.name] || !p.loop.Peers.Owners().OwnsEngine(p.name) {
		return from, to, false
	}
	return s.policy.Backends[p.name], s.policy.Backends[m.To], true
}

// one carries out a move and tells the owner of the chat's home.
func (p *pass) one(ctx context.Context, m placement.Move, from, to policy.Backend) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuateLimit)
	defer cancel()
	n, err := p.loop.move(ctx, beforeDrain, from, to, m.Chat, "")
	if err != nil {
		return n, err
	}
	owner := p.loop.Peers.Owners().EngineOwner(p.home[m.Chat])
	if owner == p.loop.Settings.ID {
		p.loop.Note(p.keys[m.Chat], m.To)
	} else {
		p.loop.Peers.Note(owner, p.keys[m.Chat], m.To)
	}
	return n, nil
}
