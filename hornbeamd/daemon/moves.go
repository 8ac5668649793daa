package daemon

import (
	"context"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/policy"
)

// mover copies KV caches between engines. It uses connections of its own, so that neither response
// streams nor load reports queue behind a copy. Engines exchange caches only with their client, not
// with each other, so each copy is streamed through this router, which does not store it. It
// implements control.Mover.
type mover struct {
	dialTimeout time.Duration

	mu      sync.Mutex
	clients map[string]moveClient
}

type moveClient struct {
	address string
	*engine.HTTPClient
}

// Move implements control.Mover.
func (m *mover) Move(ctx context.Context, from, to policy.Backend, chat string) (int64, error) {
	return m.client(to).Fetch(ctx, m.client(from), chat)
}

// client returns the cached client of an engine, or a new one if there is none or the address of
// the engine has changed.
func (m *mover) client(b policy.Backend) *engine.HTTPClient {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.clients[b.Name]
	if ok && c.address == b.Address {
		return c.HTTPClient
	}
	if ok {
		c.Close()
	}
	if m.clients == nil {
		m.clients = map[string]moveClient{}
	}
	client := engine.New(b.Name+" moves", b.Address, engine.Options{Options: exchange.Options{DialTimeout: m.dialTimeout, MaxIdleConns: 2}})
	m.clients[b.Name] = moveClient{address: b.Address, HTTPClient: client}
	return client
}
