package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/routing/quarantine"
)

// errNoOtherRouters is returned by every call to another router.
var errNoOtherRouters = eris.New("single-router fleet has no other routers")

// SingleRouter implements Peers for a fleet of one router, for tests and embedding.
type SingleRouter struct {
	// Self is the only router, and Address is the address at which callers reach it.
	Self    owner.Router
	Address Address
	// Engines and Pools are those that the router owns.
	Engines []owner.Engine
	Pools   []string

	mu   sync.Mutex
	sums map[string]loadsum.Sum
}

// Owners implements Peers.
func (s *SingleRouter) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: s.Self.ID, Routers: []owner.Router{s.Self}, Engines: s.Engines, Pools: s.Pools,
	}).WithTrust(true)
}

// Take implements Peers.
func (s *SingleRouter) Take(context.Context, string, string, EngineSlotRequest) (Answer, error) {
	return Answer{}, errNoOtherRouters
}

// FallbackOwner implements Peers.
func (s *SingleRouter) FallbackOwner(string, []string) string { return s.Self.ID }

// Renew implements Peers.
func (s *SingleRouter) Renew(context.Context, string, string, []uint64) ([]uint64, error) {
	return nil, errNoOtherRouters
}

// Free implements Peers.
func (s *SingleRouter) Free(string, string, uint64, Verdict) {}

// Abandon implements Peers.
func (s *SingleRouter) Abandon(string, string, string) {}

// ContextHolder implements Peers.
func (s *SingleRouter) ContextHolder(context.Context, string, uint64) (string, error) {
	return "", errNoOtherRouters
}

// SetContextHolder implements Peers.
func (s *SingleRouter) SetContextHolder(string, uint64, string) {}

// PublishLoads implements Peers.
func (s *SingleRouter) PublishLoads(sums map[string]loadsum.Sum) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sums = sums
}

// PoolSum implements Peers.
func (s *SingleRouter) PoolSum(pool string) (loadsum.Sum, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, ok := s.sums[pool]
	return sum, ok
}

// Addresses implements Peers.
func (s *SingleRouter) Addresses() map[string]Address {
	return map[string]Address{s.Self.ID: s.Address}
}

// Isolated implements Peers.
func (s *SingleRouter) Isolated() bool { return false }

// Announce implements Peers.
func (s *SingleRouter) Announce(string, string, string, quarantine.Crash, time.Time) {}

// AnnounceParts implements Peers.
func (s *SingleRouter) AnnounceParts([]quarantine.PartReport) {}

var _ Peers = (*SingleRouter)(nil)
