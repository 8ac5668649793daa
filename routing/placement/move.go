package placement

import (
	"cmp"
	"slices"
	"time"
)

// ChatContext is a chat's context, of which an engine holds the KV cache.
type ChatContext struct {
	Chat, Model, Adapter string
	// Tokens is the length of the context.
	Tokens int
	// LastUsed is when the context was last used.
	LastUsed time.Time
}

// Move tells one engine to export a chat's KV cache and another one to import it.
type Move struct {
	Chat     string
	From, To string
	Tokens   int
}

// Evacuate returns the moves of contexts away from a leaving engine, with at most budget tokens in
// total. It starts with the most recently used contexts, because their chats are the most likely to
// continue soon. It skips contexts that do not fit into the remaining budget, that count as
// evicted, or that take less time to compute anew than to move.
func (p Rule) Evacuate(now time.Time, engine string, contexts []ChatContext, budget int, v View) []Move {
	sorted := slices.Clone(contexts)
	slices.SortFunc(sorted, func(a, b ChatContext) int {
		return cmp.Or(b.LastUsed.Compare(a.LastUsed), cmp.Compare(a.Chat, b.Chat))
	})
	var moves []Move
	for _, c := range sorted {
		if c.Tokens > budget {
			continue
		}
		r := Request{Chat: c.Chat, Model: c.Model, Adapter: c.Adapter, ContextTokens: c.Tokens, Last: c.LastUsed, Holder: engine}
		d := p.Place(now, r, v)
		if d.From != engine {
			continue
		}
		budget -= c.Tokens
		moves = append(moves, Move{Chat: c.Chat, From: engine, To: d.Engine, Tokens: c.Tokens})
	}
	return moves
}

// WarmUp returns the moves of contexts from an engine to a joining engine that has become their
// home, with the order and the budget of Evacuate. Without these moves each of the chats would
// start with a cache miss on the joining engine.
func (p Rule) WarmUp(now time.Time, from, joining string, contexts []ChatContext, budget int, v View) []Move {
	var moving []ChatContext
	for _, c := range contexts {
		home, _ := v.Homes(c.Model, c.Adapter, Key(c.Model, c.Adapter, c.Chat))
		if home == joining && from != joining {
			moving = append(moving, c)
		}
	}
	return p.Evacuate(now, from, moving, budget, v.WithState(from, Leaving))
}
