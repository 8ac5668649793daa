package control

import (
	"context"
	"time"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/placement"
)

const (
	// evacuationPassTokens is the maximum number of tokens that one pass plans to move. Later passes
	// move the remaining contexts and those that were used or stored meanwhile.
	evacuationPassTokens = 50000
	// evacuationBytesPerSecond limits the traffic that evacuating one engine sends through its
	// owner.
	evacuationBytesPerSecond = 32 << 20
	// evacuationMoveTimeout limits one move of a pass. No request waits for these moves.
	evacuationMoveTimeout = 2 * time.Second
	// maxConsecutiveMoveFailures is the number of consecutive failed moves after which a pass ends,
	// because the engine is probably down.
	maxConsecutiveMoveFailures = 3
)

// heldContext is the context of a chat on an engine, according to its cache events.
type heldContext struct {
	tokens   int
	lastUsed time.Time
}

// contexts are the contexts that an engine holds.
type contexts struct {
	byChat map[string]heldContext
	// plannedAt holds when a move of each context was last planned.
	plannedAt map[string]time.Time
	// evacuating is true while a pass is in progress.
	evacuating bool
}

func newContexts() contexts {
	return contexts{byChat: map[string]heldContext{}, plannedAt: map[string]time.Time{}}
}

// apply applies a cache event. The eviction of a prefix shorter than the context is ignored.
func (c *contexts) apply(e engine.Event, now time.Time) {
	if e.Chat == "" {
		return
	}
	previous, known := c.byChat[e.Chat]
	switch {
	case e.Kind == "evicted" && e.Tokens >= previous.tokens:
		delete(c.byChat, e.Chat)
	case e.Kind == "stored" && (known || len(c.byChat) < maxStoredChats):
		c.byChat[e.Chat] = heldContext{tokens: max(previous.tokens, e.Tokens), lastUsed: now}
	}
}

// startEvacuations starts to move recently used contexts off the leaving engines that this router
// owns. Only the owner moves them, so that the transfer rate of each engine stays bounded.
func (l *Loop) startEvacuations(ctx context.Context, now time.Time) {
	if l.Mover == nil {
		return
	}
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil || l.state.placementState(e) != placement.Leaving {
			clear(e.contexts.plannedAt)
			continue
		}
		if e.contexts.evacuating {
			continue
		}
		pass := l.planEvacuation(e, now)
		if len(pass.moves) == 0 {
			continue
		}
		e.contexts.evacuating = true
		go func() {
			pass.run(ctx)
			l.send(func(time.Time) { e.contexts.evacuating = false })
		}()
	}
}

// evacuationPass is one batch of moves off an engine.
type evacuationPass struct {
	loop   *Loop
	engine string
	rule   placement.Rule
	moves  []placement.Move
	// chatKeys holds the placement.Key of each chat, and homes its home engine.
	chatKeys map[string]uint64
	homes    map[string]string
}

// planEvacuation plans the next moves off an engine, with the most recently used contexts first. It
// skips contexts that were not used since a move of them was planned.
func (l *Loop) planEvacuation(e *engineState, now time.Time) *evacuationPass {
	p := &evacuationPass{
		loop: l, engine: e.backend.Name, rule: l.snapshot.Load().rule,
		chatKeys: map[string]uint64{}, homes: map[string]string{},
	}
	var due []placement.ChatContext
	for chat, held := range e.contexts.byChat {
		if plannedAt, ok := e.contexts.plannedAt[chat]; ok && !held.lastUsed.After(plannedAt) {
			continue
		}
		model, adapter, ok := l.identifyChat(e, chat)
		if !ok {
			continue
		}
		key := placement.Key(model, adapter, chat)
		p.chatKeys[chat] = key
		p.homes[chat], _ = l.state.view.Homes(model, adapter, key)
		due = append(due, placement.ChatContext{Chat: chat, Model: model, Adapter: adapter, Tokens: held.tokens, LastUsed: held.lastUsed})
	}
	p.moves = p.rule.Evacuate(now, e.backend.Name, due, evacuationPassTokens, l.state.view)
	for _, m := range p.moves {
		e.contexts.plannedAt[m.Chat] = now
	}
	return p
}

// identifyChat returns the model and the adapter of a chat whose context an engine holds. Cache
// events name neither, so each combination is compared with the hashes of the chats that were
// granted a slot.
func (l *Loop) identifyChat(e *engineState, chat string) (model, adapter string, ok bool) {
	models, _ := l.state.models(e.backend.Pool)
	for _, m := range models {
		for _, a := range append([]string{""}, l.state.policy.Models[m].Adapters...) {
			if e.recentChats.has(placement.Key(m, a, chat)) {
				return m, a, true
			}
		}
	}
	// An owner that has just taken over has granted no slots yet. With one model and no adapters it
	// needs none to identify the chat.
	if len(models) == 1 && len(l.state.policy.Models[models[0]].Adapters) == 0 {
		return models[0], "", true
	}
	return "", "", false
}

// run carries out the moves one after the other, and waits after each one to bound the transfer
// rate. It ends early if a move is no longer allowed or too many have failed.
func (p *evacuationPass) run(ctx context.Context) {
	failures := 0
	for _, m := range p.moves {
		startedAt := p.loop.Now()
		from, to, ok := p.mayMove(m)
		if !ok || ctx.Err() != nil {
			return
		}
		size, err := p.moveContext(ctx, m, from, to)
		if failures++; err == nil {
			failures = 0
		}
		if failures >= maxConsecutiveMoveFailures {
			return
		}
		minDuration := time.Duration(m.Tokens) * p.rule.Settings.TransferPerToken
		minDuration = max(minDuration, time.Duration(float64(size)/evacuationBytesPerSecond*float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(minDuration - p.loop.Now().Sub(startedAt)):
		}
	}
}

// mayMove checks before each move that this router still owns the engine, that the engine is still
// leaving, and that the target is not. A router whose process was paused finds out here that it has
// lost the ownership. So two routers do not evacuate the same engine for long.
func (p *evacuationPass) mayMove(m placement.Move) (from, to policy.Backend, ok bool) {
	s := p.loop.snapshot.Load()
	source, sourceKnown := s.view.Engine(p.engine)
	target, targetKnown := s.view.Engine(m.To)
	if !sourceKnown || !targetKnown || source.State != placement.Leaving || target.State == placement.Leaving {
		return from, to, false
	}
	if !s.owned[p.engine] || !p.loop.Peers.Owners().OwnsEngine(p.engine) {
		return from, to, false
	}
	return s.policy.Backends[p.engine], s.policy.Backends[m.To], true
}

// moveContext carries out a move and tells the owner of the chat's home engine where the context is
// now.
func (p *evacuationPass) moveContext(ctx context.Context, m placement.Move, from, to policy.Backend) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuationMoveTimeout)
	defer cancel()
	size, err := p.loop.move(ctx, causeDrain, from, to, m.Chat, "")
	if err != nil {
		return size, err
	}
	owner := p.loop.Peers.Owners().EngineOwner(p.homes[m.Chat])
	if owner == p.loop.Settings.ID {
		p.loop.SetContextHolder(p.chatKeys[m.Chat], m.To)
	} else {
		p.loop.Peers.SetContextHolder(owner, p.chatKeys[m.Chat], m.To)
	}
	return size, nil
}
