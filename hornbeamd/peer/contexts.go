package peer

import "context"

// Contexts records which engine holds the context of a chat if that is not the chat's home engine.
// A router does so for the chats whose home engine it owns.
type Contexts interface {
	// ContextHolder returns the engine that holds the context, or an empty string if that is the
	// home engine or unknown.
	ContextHolder(key uint64) string
	// SetContextHolder records the engine that holds the context.
	SetContextHolder(key uint64, engine string)
}

type wireContextHolder struct {
	Key    uint64 `json:"key"`
	Engine string `json:"engine,omitempty"`
}

func (n *Node) handleNote(w wireContextHolder) (any, error) {
	n.Contexts.SetContextHolder(w.Key, w.Engine)
	return nil, nil
}

func (n *Node) handleHeld(w wireContextHolder) (wireContextHolder, error) {
	return wireContextHolder{Key: w.Key, Engine: n.Contexts.ContextHolder(w.Key)}, nil
}

// ContextHolder asks the owner of a chat's home engine which engine holds the chat's context.
func (n *Node) ContextHolder(ctx context.Context, router string, key uint64) (string, error) {
	if router == n.ID && n.Contexts != nil {
		return n.Contexts.ContextHolder(key), nil
	}
	var w wireContextHolder
	err := n.send(ctx, router, "held", wireContextHolder{Key: key}, &w)
	return w.Engine, err
}

// SetContextHolder tells the owner of a chat's home engine which engine holds the chat's context.
func (n *Node) SetContextHolder(ctx context.Context, router string, key uint64, engine string) error {
	if router == n.ID && n.Contexts != nil {
		n.Contexts.SetContextHolder(key, engine)
		return nil
	}
	return n.send(ctx, router, "note", wireContextHolder{Key: key, Engine: engine}, nil)
}
