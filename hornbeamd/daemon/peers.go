package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/timeline"
)

const (
	// peerCallTimeout limits a call to another router. Take adds the time for which a slot request
	// may wait in the queue of the other router.
	peerCallTimeout = 500 * time.Millisecond
	// isolationGracePeriod is how long a router that hears from no other daemon continues to serve
	// with its last configuration.
	isolationGracePeriod = 60 * time.Second
)

// peerClient gives the control loop access to the other daemons. It implements control.Peers and
// peer.Loads.
type peerClient struct {
	node *peer.Node
	// zone returns the availability zone of an engine.
	zone func(engine string) string
	// sharedState records the crashes and quarantines that this router announces.
	sharedState *sharedState

	mu sync.Mutex
	// sums are the load sums, by pool, over the engines that this router owns.
	sums map[string]loadsum.Sum
	// isolatedSince is when Isolated first found that this router hears from no other daemon; zero
	// while it hears from one.
	isolatedSince time.Time
}

// Owners implements control.Peers.
func (p *peerClient) Owners() *owner.Snapshot { return p.node.Owners() }

// Take implements control.Peers.
func (p *peerClient) Take(ctx context.Context, router, engine string, slotRequest control.EngineSlotRequest) (control.Answer, error) {
	wait := time.Duration(0)
	if !slotRequest.NoQueue {
		wait = time.Until(slotRequest.Deadline)
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+peerCallTimeout)
	defer cancel()
	grant, err := p.node.Take(ctx, router, peer.SlotRequest{
		Request: slotRequest.RequestID, Engine: engine, Account: slotRequest.Account, Class: int(slotRequest.Class),
		Cost: slotRequest.Cost, Weight: slotRequest.Weight,
		Wait: wait, Fingerprint: slotRequest.Fingerprint, Suspect: toCrash(slotRequest.Suspect),
		Chat: slotRequest.Chat, Home: slotRequest.Home, Share: slotRequest.Fallback, Surging: slotRequest.Surging, Age: time.Since(slotRequest.Since),
	})
	var refused *outcome.Error
	if errors.As(err, &refused) {
		return control.Answer{Action: admission.Action{
			Kind: admission.Refused, Request: slotRequest.SlotRequest, Code: refused.Code, RetryAfter: refused.RetryAfter,
			Waited: time.Since(begin),
		}, Wait: refused.RetryAfter}, nil
	}
	if err != nil {
		return control.Answer{}, err
	}
	// The owner granted no slot, because another engine holds the context of the chat.
	if grant.ContextHolder != "" {
		return control.Answer{Action: admission.Action{Kind: admission.Refused, Request: slotRequest.SlotRequest}, ContextHolder: grant.ContextHolder}, nil
	}
	_, id, err := parseSlotName(grant.Slot)
	if err != nil {
		return control.Answer{}, err
	}
	return control.Answer{
		Action: admission.Action{Kind: admission.Granted, Request: slotRequest.SlotRequest, Slot: admission.Slot{ID: id}},
		Boot:   grant.Boot, Warm: grant.Warm,
	}, nil
}

// FallbackOwner implements control.Peers. It computes the owner as owner.Compute does for the whole
// fleet, but without the routers that do not answer.
func (p *peerClient) FallbackOwner(engine string, unresponsive []string) string {
	in := owner.Input{Self: p.node.ID, Engines: []owner.Engine{{ID: engine, Zone: p.zone(engine)}}}
	for _, m := range p.node.Members().Members {
		if m.Eligible() && !slices.Contains(unresponsive, m.ID) {
			in.Routers = append(in.Routers, owner.Router{ID: m.ID, Zone: m.Zone, Region: m.Region})
		}
	}
	return owner.Compute(in).EngineOwner(engine)
}

// Renew implements control.Peers.
func (p *peerClient) Renew(ctx context.Context, router, engine string, slots []uint64) ([]uint64, error) {
	names := make([]string, len(slots))
	for i, id := range slots {
		names[i] = slotName(engine, id)
	}
	lost, err := p.node.Renew(ctx, router, names)
	var ids []uint64
	for _, name := range lost {
		if _, id, err := parseSlotName(name); err == nil {
			ids = append(ids, id)
		}
	}
	return ids, err
}

// Free implements control.Peers.
func (p *peerClient) Free(router, engine string, slot uint64, v control.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	// If the call fails, the slot expires.
	_ = p.node.Free(ctx, router, []string{slotName(engine, slot)}, string(v))
}

// Abandon implements control.Peers.
func (p *peerClient) Abandon(router, engine, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	// If the call fails, the slot expires.
	_ = p.node.Abandon(ctx, router, []string{engine + "/" + request})
}

// ContextHolder implements control.Peers.
func (p *peerClient) ContextHolder(ctx context.Context, router string, key uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return p.node.ContextHolder(ctx, router, key)
}

// SetContextHolder implements control.Peers.
func (p *peerClient) SetContextHolder(router string, key uint64, engine string) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	// If the call fails, a later request of the chat may miss the cache.
	_ = p.node.SetContextHolder(ctx, router, key, engine)
}

// PublishLoads implements control.Peers.
func (p *peerClient) PublishLoads(sums map[string]loadsum.Sum) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sums = sums
}

// Loads implements peer.Loads.
func (p *peerClient) Loads() map[string]loadsum.Sum {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums
}

// PoolSum implements control.Peers.
func (p *peerClient) PoolSum(pool string) (loadsum.Sum, bool) { return p.node.PoolLoad(pool) }

// Addresses implements control.Peers.
func (p *peerClient) Addresses() map[string]control.Address {
	view := p.node.Members()
	all := make(map[string]control.Address, len(view.Members))
	for _, m := range view.Members {
		all[m.ID] = control.Address{CallerAddress: m.Caller, Zone: m.Zone, Leaving: m.Leaving || !m.Status.Live()}
	}
	return all
}

// Isolated implements control.Peers. The grace period starts with the first call that finds this
// router isolated.
func (p *peerClient) Isolated() bool {
	trusted := p.node.Members().Trusted
	p.mu.Lock()
	defer p.mu.Unlock()
	if trusted {
		p.isolatedSince = time.Time{}
		return false
	}
	if p.isolatedSince.IsZero() {
		p.isolatedSince = time.Now()
	}
	return time.Since(p.isolatedSince) > isolationGracePeriod
}

// Announce implements control.Peers.
func (p *peerClient) Announce(kind, fingerprint, account string, c quarantine.Crash, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	n := peer.Notice{Kind: kind, Fingerprint: fingerprint, Account: account, Engine: c.Engine, Boot: c.Boot, At: at}
	p.sharedState.recordCrash(toRecord(n))
	p.node.BroadcastAndWait(ctx, n)
}

// AnnounceParts implements control.Peers.
func (p *peerClient) AnnounceParts(reports []quarantine.PartReport) { p.node.SendParts(reports) }

func toCrash(c *quarantine.Crash) *peer.Crash {
	if c == nil {
		return nil
	}
	return &peer.Crash{Engine: c.Engine, Boot: c.Boot}
}

// slotName returns the name of a slot in messages between daemons.
func slotName(engine string, id uint64) string { return engine + "/" + strconv.FormatUint(id, 10) }

func parseSlotName(name string) (engine string, id uint64, err error) {
	engine, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, fmt.Errorf("slot %q has no engine; use the same version on all daemons", name)
	}
	id, err = strconv.ParseUint(number, 10, 64)
	return engine, id, err
}

// slotServer answers slot requests of other daemons. It implements peer.Slots.
type slotServer struct {
	loop        *control.Loop
	sharedState *sharedState
}

// Take implements peer.Slots.
func (s slotServer) Take(ctx context.Context, from string, slotRequest peer.SlotRequest) (peer.SlotGrant, error) {
	if err := s.sharedState.ensureCurrent(ctx); err != nil {
		return peer.SlotGrant{}, err
	}
	in := control.EngineSlotRequest{
		SlotRequest: admission.SlotRequest{
			RequestID: slotRequest.Request, Router: from, Account: slotRequest.Account, Class: admission.Class(slotRequest.Class), Weight: slotRequest.Weight,
			Cost: slotRequest.Cost, NoQueue: slotRequest.Wait <= 0, Deadline: time.Now().Add(slotRequest.Wait), Surging: slotRequest.Surging,
			Since: time.Now().Add(-slotRequest.Age),
		},
		Fingerprint: slotRequest.Fingerprint, Chat: slotRequest.Chat, Home: slotRequest.Home, Fallback: slotRequest.Share,
	}
	if slotRequest.Suspect != nil {
		in.Suspect = &quarantine.Crash{Engine: slotRequest.Suspect.Engine, Boot: slotRequest.Suspect.Boot}
	}
	a := s.loop.Take(ctx, slotRequest.Engine, in)
	if a.ContextHolder != "" {
		return peer.SlotGrant{ContextHolder: a.ContextHolder}, nil
	}
	if a.Kind != admission.Granted {
		retry := a.RetryAfter
		if slotRequest.Wait <= 0 && a.Wait > 0 {
			// The request was refused without queueing. The requesting router compares the expected
			// wait at this engine with those at other engines.
			retry = a.Wait
		}
		return peer.SlotGrant{}, &outcome.Error{
			Code: a.Code, Outcome: outcome.NotRun, Status: 429, RetryAfter: retry,
			Message: "no slot on engine " + slotRequest.Engine, Remedy: "send the request again after the retry time",
		}
	}
	return peer.SlotGrant{Slot: slotName(slotRequest.Engine, a.Slot.ID), Lease: admission.Defaults().Lease, Boot: a.Boot, Warm: a.Warm}, nil
}

// Free implements peer.Slots.
func (s slotServer) Free(_ context.Context, _ string, names []string, verdict string) error {
	for _, name := range names {
		engine, id, err := parseSlotName(name)
		if err != nil {
			return err
		}
		s.loop.Free(engine, id, control.Verdict(verdict))
	}
	return nil
}

// Abandon implements peer.Slots.
func (s slotServer) Abandon(_ context.Context, from string, names []string) error {
	for _, name := range names {
		engine, request, ok := strings.Cut(name, "/")
		if !ok {
			return fmt.Errorf("request %q of router %s has no engine; use the same version on all daemons", name, from)
		}
		s.loop.Abandon(engine, request)
	}
	return nil
}

// Renew implements peer.Slots.
func (s slotServer) Renew(ctx context.Context, _ string, names []string) ([]string, error) {
	byEngine := map[string][]uint64{}
	for _, name := range names {
		engine, id, err := parseSlotName(name)
		if err != nil {
			return nil, err
		}
		byEngine[engine] = append(byEngine[engine], id)
	}
	var lost []string
	for engine, ids := range byEngine {
		for _, id := range s.loop.Renew(ctx, engine, ids) {
			lost = append(lost, slotName(engine, id))
		}
	}
	return lost, nil
}

// timelineServer answers timeline queries of other daemons. It implements peer.Timeline.
type timelineServer struct{ ring *timeline.Ring }

// Query implements peer.Timeline.
func (e timelineServer) Query(_ context.Context, q peer.Query) ([]timeline.Event, error) {
	return e.ring.Events(timeline.Filter{Request: q.Request, Chat: q.Chat, Since: q.Since, Limit: q.Limit}), nil
}
