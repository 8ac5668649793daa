package caller

import (
	"sync"

	"hornbeamstep.example/policy"
)

// clientCache holds one client for each backend server, so that its connections are reused.
type clientCache[T interface{ Close() }] struct {
	newClient func(name, address string) T

	mu sync.Mutex
	// byName maps names of backend servers to their clients. It also holds clients of backend servers
	// that were removed from the configuration, until get prunes it at slightly more than twice the
	// number of configured backend servers.
	byName map[string]cachedClient[T]
}

type cachedClient[T any] struct {
	address string
	client  T
}

func newClientCache[T interface{ Close() }](newClient func(name, address string) T) *clientCache[T] {
	return &clientCache[T]{newClient: newClient, byName: map[string]cachedClient[T]{}}
}

// get returns the client of a grant's backend server. It creates the client if there is none or if
// the address of the backend server has changed.
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
// Their requests in progress continue, since Close closes only idle connections.
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
