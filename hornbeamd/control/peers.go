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

// Peers connects the control loop to the other daemons.
type Peers interface {
	// Owners returns the current assignment of engines to routers. Never nil.
	Owners() *owner.Snapshot
	// Take asks a router for a slot on an engine. An error means that the router did not answer.
	Take(ctx context.Context, router, engine string, slotRequest EngineSlotRequest) (Answer, error)
	// FallbackOwner returns the router that would own an engine if the unresponsive routers were not
	// in the fleet; empty if there is none. It grants slots while the owner does not answer.
	FallbackOwner(engine string, unresponsive []string) string
	// Renew extends slots and returns those that the owner no longer knows.
	Renew(ctx context.Context, router, engine string, slots []uint64) ([]uint64, error)
	// Free releases a slot and sends the verdict of its request to the owner. If the message is
	// lost, the slot expires.
	Free(router, engine string, slot uint64, v Verdict)
	// Abandon tells a router that the caller of a request left before the router's answer arrived.
	// If the message is lost, the slot expires.
	Abandon(router, engine, request string)
	// ContextHolder asks a router, the owner of a chat's home engine, which engine holds the chat's
	// context. The result is empty if no other engine than the home is recorded. SetContextHolder
	// tells that router which engine holds it. The key is the hash that selects the home.
	ContextHolder(ctx context.Context, router string, key uint64) (string, error)
	SetContextHolder(router string, key uint64, engine string)
	// PublishLoads sets the load sums, by pool, over the engines that this router owns. The peer
	// exchange reads them and sends them to the other routers.
	PublishLoads(sums map[string]loadsum.Sum)
	// PoolSum returns the load sum over all engines of a pool, or false if there is no recent one.
	PoolSum(pool string) (loadsum.Sum, bool)
	// Addresses returns the addresses at which callers reach the routers of the fleet, by router
	// name.
	Addresses() map[string]Address
	// Isolated reports whether this router has received nothing from its peers or the platform for
	// longer than the isolation limit.
	Isolated() bool
	// Announce tells all routers of a crash suspect or a quarantined request: the kind is suspect or
	// quarantine. It returns when all reachable routers have received the message, because the
	// caller of the request may repeat it through any of them as soon as it has its response.
	Announce(kind, fingerprint, account string, c quarantine.Crash, at time.Time)
	// AnnounceParts sends reports on prompt parts that may crash engines to some of the other
	// routers, which forward what is new to them.
	AnnounceParts(reports []quarantine.PartReport)
}

// Address is where callers reach a router.
type Address struct {
	CallerAddress, Zone string
	// Leaving is true for routers that are leaving the fleet. They are omitted from route
	// responses.
	Leaving bool
}

// slotRef identifies a slot held by a request that came in through this router.
type slotRef struct {
	// router is empty for slots that this router granted itself.
	router, engine string
	slot           uint64
}

// takeOwned asks for a slot on an engine that this router owns, or grants slots on in place of the
// owner.
func (l *Loop) takeOwned(ctx context.Context, engine string, slotRequest EngineSlotRequest) Answer {
	a := l.Take(ctx, engine, slotRequest)
	if a.Kind == admission.Granted {
		l.send(func(time.Time) { l.state.localSlots[slotRequest.RequestID] = slotRef{engine: engine, slot: a.Slot.ID} })
	}
	return a
}

// takeRemote asks the owner of an engine for a slot. If the owner does not answer, it asks the
// router that FallbackOwner returns, which grants slots conservatively. All routers should ask the
// same fallback owner, because several fallback owners together would exceed the load bound.
func (l *Loop) takeRemote(ctx context.Context, engine string, slotRequest EngineSlotRequest) Answer {
	router := l.Peers.Owners().EngineOwner(engine)
	silent := l.silent.list(l.Now())
	for range maxRoutersAsked {
		if slices.Contains(silent, router) {
			router = l.Peers.FallbackOwner(engine, silent)
			slotRequest.Fallback = true
		}
		if router == "" || router == l.Settings.ID {
			slotRequest.Fallback = true
			return l.takeOwned(ctx, engine, slotRequest)
		}
		l.metrics.slotCalls.Inc()
		a, err := l.Peers.Take(ctx, router, engine, slotRequest)
		if err == nil {
			if a.Kind == admission.Granted {
				slot := slotRef{router: router, engine: engine, slot: a.Slot.ID}
				l.send(func(time.Time) { l.state.remoteSlots[slotRequest.RequestID] = slot })
			} else if a.Code == outcome.NoBackend {
				l.send(func(now time.Time) { l.markSuspectAfterRefusal(engine, now) })
			}
			return a
		}
		if ctx.Err() != nil {
			// The router may have granted the slot, or may still do so.
			go l.Peers.Abandon(router, engine, slotRequest.RequestID)
			return refuse(slotRequest, callerGone)
		}
		l.silent.add(l.Now(), router)
		silent = append(silent, router)
	}
	return refuse(slotRequest, outcome.NoBackend)
}

const (
	// maxRoutersAsked limits the routers that one request asks for a slot on one engine.
	maxRoutersAsked = 4
	// silentRouterTTL is the time for which a router that did not answer gets no slot requests.
	silentRouterTTL = 2 * time.Second
)

// silentRouters holds the routers that recently did not answer.
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
	s.until[router] = now.Add(silentRouterTTL)
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

// exchangeLoads publishes the load of the owned engines to the peers, and passes the mean load of
// each pool to the admission gates of its engines.
func (l *Loop) exchangeLoads(now time.Time) {
	sums := map[string]loadsum.Sum{}
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil || !l.acceptsRequests(e) {
			continue
		}
		sum := sums[e.backend.Pool]
		sums[e.backend.Pool] = loadsum.Sum{Load: sum.Load + e.gate.Load(), Count: sum.Count + 1}
	}
	l.Peers.PublishLoads(sums)
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil {
			continue
		}
		// A gate adjusts the mean by the change of its own load since the mean was set, so the same
		// mean must not be set twice.
		if sum, ok := l.Peers.PoolSum(e.backend.Pool); ok && sum.Count > 0 && sum != e.poolSum {
			e.poolSum = sum
			l.updateOutOfService(e.backend.Pool, sum.Count)
			l.applyActions(e, e.gate.SetMean(now, admission.Mean{Load: sum.Mean(), Engines: sum.Count}))
		}
	}
}

// renewSlots extends the slots that this router's requests hold.
func (l *Loop) renewSlots(now time.Time) {
	for _, s := range l.state.localSlots {
		if e, ok := l.state.engines[s.engine]; ok {
			e.renew(now, []uint64{s.slot})
		}
	}
	l.renewRemoteSlots()
}

// renewRemoteSlots extends the slots that other routers granted, with one call for each pair of
// router and engine.
func (l *Loop) renewRemoteSlots() {
	type target struct{ router, engine string }
	slotsByTarget := map[target][]uint64{}
	for _, s := range l.state.remoteSlots {
		t := target{s.router, s.engine}
		slotsByTarget[t] = append(slotsByTarget[t], s.slot)
	}
	for t, slots := range slotsByTarget {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), slotRenewalInterval)
			defer cancel()
			// A request whose slot has expired continues, since the engine's load report still
			// counts it.
			lost, err := l.Peers.Renew(ctx, t.router, t.engine, slots)
			if err == nil && len(lost) > 0 {
				l.metrics.lost.Add(float64(len(lost)))
			}
		}()
	}
}

// releaseSlot releases the slot of an attempt that has ended, whether this router or another one
// granted it.
func (l *Loop) releaseSlot(attempt string, v Verdict, now time.Time) {
	if s, ok := l.state.localSlots[attempt]; ok {
		delete(l.state.localSlots, attempt)
		l.free(s.engine, s.slot, v, now)
	}
	if s, ok := l.state.remoteSlots[attempt]; ok {
		delete(l.state.remoteSlots, attempt)
		go l.Peers.Free(s.router, s.engine, s.slot, v)
	}
}
