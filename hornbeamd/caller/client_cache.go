package caller

import (
	"sync"

	"hornbeamstep.example/policy"
)

// clientCache holds one client for each backend server, so that its connections are reused.
type clientCache[T interface{ Close() }] struct {
	newClient func(name, address string) T

	mu sync.Mutex
	// byName maps names of backend servers to their clients. Its size is limited in get to a little
	// more than twice the number of backend servers in the configuration.
	byName map[string]cachedClient[T]
}

type cachedClient[T any] struct {
	address string
	client  T
}

func newClientCache[T interface{ Close() }](newClient func(name, address string) T) *clientCache[T] {
	return &clientCache[T]{newClient: newClient, byName: map[string]cachedClient[T]{}}
}

// get returns the client of a backend server, and replaces it if the address has changed.
func (c *clientCache[T]) get(g Grant, p policy.Policy) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.byName[g.Backend]; ok {
		if cached.address == g.Address {
			return cached.client
		}
		cached.client.Close()
	}
	if len(c.byName) > 2*len(p.Backends)+16 {
		c.prune(p)
	}
	client := c.newClient(g.Backend, g.Address)
	c.byName[g.Backend] = cachedClient[T]{address: g.Address, client: client}
	return client
}

// prune closes and deletes the clients of backend servers that are no longer in the configuration.
// Requests in progress continue.
func (c *clientCache[T]) prune(p policy.Policy) {
	for name, cached := range c.byName {
		if _, ok := p.Backends[name]; !ok {
			cached.client.Close()
			delete(c.byName, name)
		}
	}
}

func (c *clientCache[T]) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, cached := range c.byName {
		cached.client.Close()
		delete(c.byName, name)
	}
}
