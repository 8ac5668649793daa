package placement

import (
	"cmp"
	"slices"
	"time"
)

// Context is a chat whose KV cache an engine holds.
type Context struct {
	Chat, Model, Adapter string
	Tokens               int
	Last                 time.Time
}

// Move orders the export of a chat's KV cache from one engine and its import into another.
type Move struct {
	Chat     string
	From, To string
	Tokens   int
}

// Evacuate returns the moves that save contexts of a leaving engine within a budget of tokens, the most recently used
// first: these are the most likely to return soon. Contexts that are surely evicted are left out.
func (p Rule) Evacuate(now time.Time, engine string, contexts []Context, budget int, v View) []Move {
	sorted := slices.Clone(contexts)
	slices.SortFunc(sorted, func(a, b Context) int {
		return cmp.Or(b.Last.Compare(a.Last), cmp.Compare(a.Chat, b.Chat))
	})
	var moves []Move
	for _, c := range sorted {
		if c.Tokens > budget {
			continue
		}
		r := Request{Chat: c.Chat, Model: c.Model, Adapter: c.Adapter, Context: c.Tokens, Last: c.Last, Held: engine}
		d := p.Place(now, r, v)
		if d.From != engine {
			continue
		}
		budget -= c.Tokens
		moves = append(moves, Move{Chat: c.Chat, From: engine, To: d.Engine, Tokens: c.Tokens})
	}
	return moves
}

// Attract returns the moves that bring contexts of one engine to a joining engine which has become their home, within a
// budget of tokens and in the order of Evacuate. Without them these chats would miss until they have run there once.
func (p Rule) Attract(now time.Time, from, joining string, contexts []Context, budget int, v View) []Move {
	var due []Context
	for _, c := range contexts {
		home, _ := v.Homes(c.Model, c.Adapter, Key(c.Model, c.Adapter, c.Chat))
		if home == joining && from != joining {
			due = append(due, c)
		}
	}
	return p.Evacuate(now, from, due, budget, v.WithState(from, Leaving))
}
