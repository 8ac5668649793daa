package peer

import "context"

// Contexts remembers, for chats whose home this router owns, the engine that holds the context if it is not the home.
type Contexts interface {
	// Held returns the engine; empty if it is the home or not known.
	Held(key uint64) string
	// Note records the engine that holds the context from now on.
	Note(key uint64, engine string)
}

type wireContext struct {
	Key    uint64 `json:"key"`
	Engine string `json:"engine,omitempty"`
}

func (n *Node) handleNote(w wireContext) (any, error) {
	n.Contexts.Note(w.Key, w.Engine)
	return nil, nil
}

func (n *Node) handleHeld(w wireContext) (wireContext, error) {
	return wireContext{Key: w.Key, Engine: n.Contexts.Held(w.Key)}, nil
}

// Held asks the owner of a chat's home which engine holds the context.
func (n *Node) Held(ctx context.Context, router string, key uint64) (string, error) {
	if router == n.ID && n.Contexts != nil {
		return n.Contexts.Held(key), nil
	}
	var w wireContext
	err := n.send(ctx, router, "held", wireContext{Key: key}, &w)
	return w.Engine, err
}

// Note tells the owner of a chat's home which engine holds the context.
func (n *Node) Note(ctx context.Context, router string, key uint64, engine string) error {
	if router == n.ID && n.Contexts != nil {
		n.Contexts.Note(key, engine)
		return nil
	}
	return n.send(ctx, router, "note", wireContext{Key: key, Engine: engine}, nil)
}
