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

// errAlone is the answer to every call to another router.
var errAlone = eris.New("no other router takes part")

// Alone is a fleet of one router, for tests and embedding.
type Alone struct {
	// Self is the router. Its addresses are those of Address.
	Self    owner.Router
	Address Address
	// Engines and Pools are what the router owns.
	Engines []owner.Engine
	Pools   []string

	mu   sync.Mutex
	sums map[string]loadsum.Sum
}

// Owners implements Peers.
func (a *Alone) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: a.Self.ID, Routers: []owner.Router{a.Self}, Engines: a.Engines, Pools: a.Pools,
	}).WithTrust(true)
}

// Take implements Peers.
func (a *Alone) Take(context.Context, string, string, SlotAsk) (Answer, error) {
	return Answer{}, errAlone
}

// Deputy implements Peers.
func (a *Alone) Deputy(string, []string) string { return a.Self.ID }

// Renew implements Peers.
func (a *Alone) Renew(context.Context, string, string, []uint64) ([]uint64, error) {
	return nil, errAlone
}

// Free implements Peers.
func (a *Alone) Free(string, string, uint64, Verdict) {}

// Abandon implements Peers.
func (a *Alone) Abandon(string, string, string) {}

// Held implements Peers.
func (a *Alone) Held(context.Context, string, uint64) (string, error) { return "", errAlone }

// Note implements Peers.
func (a *Alone) Note(string, uint64, string) {}

// Load implements Peers.
func (a *Alone) Load(sums map[string]loadsum.Sum) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums = sums
}

// Mean implements Peers.
func (a *Alone) Mean(pool string) (loadsum.Sum, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum, ok := a.sums[pool]
	return sum, ok
}

// Addresses implements Peers.
func (a *Alone) Addresses() map[string]Address {
	return map[string]Address{a.Self.ID: a.Address}
}

// Isolated implements Peers.
func (a *Alone) Isolated() bool { return false }

// Spread implements Peers.
func (a *Alone) Spread(string, string, string, quarantine.Crash, time.Time) {}
