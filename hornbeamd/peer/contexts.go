package peer

import "context"

// Contexts records which engine holds a chat's context, if another engine than the chat's home
// engine does. Each router keeps the records of the chats whose home engine it owns. The key of a
// chat is the hash that selects its home engine.
type Contexts interface {
	// ContextHolder returns the engine that holds the context. It returns an empty string if the
	// home engine holds it, or if the holder is unknown.
	ContextHolder(key uint64) string
	// SetContextHolder records the engine that holds the context.
	SetContextHolder(key uint64, engine string)
}

// wireContextHolder is the JSON form of a key and the engine that holds its context.
type wireContextHolder struct {
	Key    uint64 `json:"key"`
	Engine string `json:"engine,omitempty"`
}

// handleSetContextHolder handles the method note.
func (n *Node) handleSetContextHolder(w wireContextHolder) (any, error) {
	n.Contexts.SetContextHolder(w.Key, w.Engine)
	return nil, nil
}

// handleContextHolder handles the method held.
func (n *Node) handleContextHolder(w wireContextHolder) (wireContextHolder, error) {
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
