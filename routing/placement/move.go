package placement

import (
	"cmp"
	"slices"
	"time"
)

// ChatContext is the context of a chat whose KV cache an engine holds.
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

// Evacuate returns the moves that save the contexts of a leaving engine, within a budget of tokens.
// It starts with the most recently used ones, because their chats are the most likely to continue
// soon. Contexts that count as evicted are skipped.
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

// WarmUp returns the moves that bring contexts from another engine to a joining engine which has
// become their home, within a budget of tokens and in the order of Evacuate. Without them each of
// these chats would start with a cache miss on the joining engine.
func (p Rule) WarmUp(now time.Time, from, joining string, contexts []ChatContext, budget int, v View) []Move {
	var homed []ChatContext
	for _, c := range contexts {
		home, _ := v.Homes(c.Model, c.Adapter, Key(c.Model, c.Adapter, c.Chat))
		if home == joining && from != joining {
			homed = append(homed, c)
		}
	}
	return p.Evacuate(now, from, homed, budget, v.WithState(from, Leaving))
}
