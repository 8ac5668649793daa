package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

// Peers is what the control loop needs of the other daemons.
type Peers interface {
	// Owners returns the present assignment of engines to routers. Never nil.
	Owners() *owner.Snapshot
	// Take asks the owner of an engine for a slot. The error says that the owner did not answer.
	Take(ctx context.Context, router, engine string, ask SlotAsk) (Answer, error)
	// Deputy returns the router that stands in for an engine's owner while some routers are silent; empty if there is none.
	Deputy(engine string, silent []string) string
	// Renew extends slots and returns those that the owner no longer knows.
	Renew(ctx context.Context, router, engine string, slots []uint64) ([]uint64, error)
	// Free returns a slot and tells the owner what its request showed of the engine. A message that is lost is made up for by the slot's expiry.
	Free(router, engine string, slot uint64, v Verdict)
	// Abandon tells a router that the caller of a request left before its answer came. A message that is lost is made up for by the
	// slot's expiry.
	Abandon(router, engine, request string)
	// Held asks the owner of a chat's home which engine holds the context; empty for the home. Note tells it.
	Held(ctx context.Context, router string, key uint64) (string, error)
	Note(router string, key uint64, engine string)
	// Load sends the sums over the engines that this router owns, by pool.
	Load(sums map[string]loadsum.Sum)
	// Mean returns the sum over all engines of a pool, false if none is recent.
	Mean(pool string) (loadsum.Sum, bool)
	// Addresses returns the addresses for callers of the routers that take part, by name.
	Addresses() map[string]Address
	// Isolated is true if neither peers nor the platform have been heard for longer than the limit that the design states.
	Isolated() bool
	// Spread tells all routers of a crash suspect, a quarantined request, or a release, as kind says. It returns when those
	// that can be reached know: the caller may send the request again through any of them as soon as it has its answer.
	Spread(kind, fingerprint, account string, c quarantine.Crash, at time.Time)
}

// Address is where callers reach a router.
type Address struct {
	Caller, Zone string
	// Leaving routers are left out of route answers.
	Leaving bool
}

// slotRef names a slot that a request of this router has.
type slotRef struct {
	// router is empty for slots that this router granted itself.
	router, engine string
	slot           uint64
}

// owned asks the gate of this router.
func (l *Loop) owned(ctx context.Context, engine string, ask SlotAsk) Answer {
	a := l.Take(ctx, engine, ask)
	if a.Kind == admission.Granted {
		l.send(func(time.Time) { l.state.local[ask.RequestID] = slotRef{engine: engine, slot: a.Slot.ID} })
	}
	return a
}

// remote asks the owner of an engine. If it does not answer, the next router in the order of ownership stands in for it with a
// conservative share of the engine: one share for the whole fleet keeps the load bound, one for each router would not.
func (l *Loop) remote(ctx context.Context, engine string, ask SlotAsk) Answer {
	router := l.Peers.Owners().EngineOwner(engine)
	silent := l.silent.list(l.Now())
	for range deputies {
		if slices.Contains(silent, router) {
			router = l.Peers.Deputy(engine, silent)
			ask.Share = true
		}
		if router == "" || router == l.Settings.ID {
			ask.Share = true
			return l.owned(ctx, engine, ask)
		}
		l.metrics.slotCalls.Inc()
		a, err := l.Peers.Take(ctx, router, engine, ask)
		if err == nil {
			if a.Kind == admission.Granted {
				slot := slotRef{router: router, engine: engine, slot: a.Slot.ID}
				l.send(func(time.Time) { l.state.remote[ask.RequestID] = slot })
			} else if a.Code == outcome.NoBackend {
				l.send(func(now time.Time) { l.shunned(engine, now) })
			}
			return a
		}
		if ctx.Err() != nil {
			// The router may have granted the slot, or may still do so.
			go l.Peers.Abandon(router, engine, ask.RequestID)
			return refuse(ask, gone)
		}
		l.silent.add(l.Now(), router)
		silent = append(silent, router)
	}
	return refuse(ask, outcome.NoBackend)
}

const (
	// deputies bounds the routers that one request asks for a slot on one engine.
	deputies = 4
	// silence is how long a router that did not answer is not asked again.
	silence = 2 * time.Second
)

// silentRouters remembers the routers that did not answer lately.
type silentRouters struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silentRouters) add(now time.Time, router string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[router] = now.Add(silence)
}

func (s *silentRouters) list(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for router, until := range s.until {
		if now.Before(until) {
			out = append(out, router)
		} else {
			delete(s.until, router)
		}
	}
	return out
}

// loads exchanges the load of the owned engines for the mean of their pools.
func (l *Loop) loads(now time.Time) {
	sums := map[string]loadsum.Sum{}
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil || !l.takesWork(e) {
			continue
		}
		sum := sums[e.backend.Pool]
		sums[e.backend.Pool] = loadsum.Sum{Load: sum.Load + e.gate.Load(), Count: sum.Count + 1}
	}
	l.Peers.Load(sums)
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil {
			continue
		}
		// A gate follows its own load since the last new mean, so the same one is not given twice.
		if sum, ok := l.Peers.Mean(e.backend.Pool); ok && sum.Count > 0 && sum != e.mean {
			e.mean = sum
			l.outOfService(e.backend.Pool, sum.Count)
			l.carryOut(e, e.gate.SetMean(now, admission.Mean{Load: sum.Mean(), Engines: sum.Count}))
		}
	}
}

// renew extends the slots of this router's requests.
func (l *Loop) renew(now time.Time) {
	for _, s := range l.state.local {
		if e, ok := l.state.engines[s.engine]; ok {
			e.renew(now, []uint64{s.slot})
		}
	}
	l.renewRemote()
}

// renewRemote extends the slots that other routers granted, in one call for each engine.
func (l *Loop) renewRemote() {
	type target struct{ router, engine string }
	groups := map[target][]uint64{}
	for _, s := range l.state.remote {
		t := target{s.router, s.engine}
		groups[t] = append(groups[t], s.slot)
	}
	for t, slots := range groups {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), second)
			defer cancel()
			// A request whose slot has expired goes on: the engine's report counts it.
			lost, err := l.Peers.Renew(ctx, t.router, t.engine, slots)
			if err == nil && len(lost) > 0 {
				l.metrics.lost.Add(float64(len(lost)))
			}
		}()
	}
}

// freed returns the slot of a request that has ended, wherever it came from.
func (l *Loop) freed(request string, v Verdict, now time.Time) {
	if s, ok := l.state.local[request]; ok {
		delete(l.state.local, request)
		l.free(s.engine, s.slot, v, now)
	}
	if s, ok := l.state.remote[request]; ok {
		delete(l.state.remote, request)
		go l.Peers.Free(s.router, s.engine, s.slot, v)
	}
}
