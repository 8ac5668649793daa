package caller

import (
	"sync"

	"hornbeamstep.example/policy"
)

// clients keeps one client for each backend server, so that its connections are reused.
type clients[T interface{ Close() }] struct {
	make func(name, address string) T

	mu sync.Mutex
	// byName holds at most twice as many clients as the configuration has backend servers, and a few more.
	byName map[string]entry[T]
}

type entry[T any] struct {
	address string
	client  T
}

func newClients[T interface{ Close() }](build func(name, address string) T) *clients[T] {
	return &clients[T]{make: build, byName: map[string]entry[T]{}}
}

// get returns the client of a backend server. An address that changed gets a new client.
func (c *clients[T]) get(g Grant, p policy.Policy) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.byName[g.Backend]; ok {
		if found.address == g.Address {
			return found.client
		}
		found.client.Close()
	}
	if len(c.byName) > 2*len(p.Backends)+16 {
		c.prune(p)
	}
	client := c.make(g.Backend, g.Address)
	c.byName[g.Backend] = entry[T]{address: g.Address, client: client}
	return client
}

// prune drops the clients of backend servers that left the configuration. Exchanges in progress are not affected.
func (c *clients[T]) prune(p policy.Policy) {
	for name, found := range c.byName {
		if _, ok := p.Backends[name]; !ok {
			found.client.Close()
			delete(c.byName, name)
		}
	}
}

func (c *clients[T]) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, found := range c.byName {
		found.client.Close()
		delete(c.byName, name)
	}
}
