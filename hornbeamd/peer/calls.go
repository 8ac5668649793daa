package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/timeline"
)

// UnknownRouterError says that a router is not a live member.
type UnknownRouterError struct{ ID string }

func (e *UnknownRouterError) Error() string {
	return "router " + e.ID + " is not a live member: use the current owner"
}

// send calls a router by its ID.
func (n *Node) send(ctx context.Context, router, name string, params, result any) error {
	m, ok := n.Members().Find(router)
	if !ok {
		return &UnknownRouterError{router}
	}
	err := n.links.call(ctx, m.ID, m.Address, name, params, result)
	if err != nil {
		n.gauges.failures.WithLabelValues(name).Inc()
		return eris.Wrapf(err, "%s at router %s", name, router)
	}
	return nil
}

// Take asks the owner of an engine for a slot. A refusal is an *outcome.Error.
func (n *Node) Take(ctx context.Context, router string, a SlotAsk) (SlotGrant, error) {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Take(ctx, n.ID, a)
	}
	var w wireGrant
	params := wireAsk{
		From: n.ID, Request: a.Request, Engine: a.Engine, Account: a.Account, Class: a.Class, Cost: a.Cost, Weight: a.Weight,
		Wait: a.Wait.Milliseconds(), Fingerprint: a.Fingerprint, Suspect: a.Suspect,
		Chat: a.Chat, Home: a.Home, Share: a.Share, Over: a.Over, Age: a.Age.Milliseconds(),
	}
	err := n.send(ctx, router, "slot", params, &w)
	return SlotGrant{w.Slot, time.Duration(w.Lease) * time.Millisecond, w.Boot, w.Held, w.Warm}, err
}

// Free returns slots to the owner that granted them, with a verdict on the engine.
func (n *Node) Free(ctx context.Context, router string, slots []string, verdict string) error {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Free(ctx, n.ID, slots, verdict)
	}
	return n.send(ctx, router, "free", wireSlots{n.ID, slots, verdict}, nil)
}

// Abandon tells a router that the callers of requests left before its answers came. Each request is engine/request.
func (n *Node) Abandon(ctx context.Context, router string, requests []string) error {
	return n.send(ctx, router, "abandon", wireSlots{From: n.ID, Slots: requests}, nil)
}

// Renew renews the leases of slots in a group and returns those that are lost.
func (n *Node) Renew(ctx context.Context, router string, slots []string) ([]string, error) {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Renew(ctx, n.ID, slots)
	}
	var w wireLost
	err := n.send(ctx, router, "renew", wireSlots{From: n.ID, Slots: slots}, &w)
	return w.Lost, err
}

// Events queries the time line of another router.
func (n *Node) Events(ctx context.Context, router string, q Query) ([]timeline.Event, error) {
	if router == n.ID && n.Timeline != nil {
		return n.Timeline.Query(ctx, q)
	}
	var w wireEvents
	err := n.send(ctx, router, "events", wireQuery(q), &w)
	return w.Events, err
}

// Status returns the status of another router as a JSON document.
func (n *Node) Status(ctx context.Context, router string) ([]byte, error) {
	if router == n.ID && n.Operator != nil {
		return n.Operator.Status(ctx)
	}
	var w wireStatus
	err := n.send(ctx, router, "status", struct{}{}, &w)
	return w.Document, err
}

// Spread tells every router about a crash suspect, a quarantined fingerprint or a release. The own handler is told as well.
func (n *Node) Spread(s Notice) {
	n.init()
	s.At = s.At.Round(0)
	n.post(func(time.Time) { n.loop.notice(wireNotice(s)) })
}

// directRouters bounds the routers that Tell calls; the others learn by Spread.
const directRouters = 64

// Tell spreads a notice and returns when the routers that can be reached know it, or ctx ends. In fleets of more than 64
// routers this holds for 64 of them.
func (n *Node) Tell(ctx context.Context, s Notice) {
	n.Spread(s)
	s.At = s.At.Round(0)
	var group sync.WaitGroup
	told := 0
	for _, m := range n.Members().Members {
		if m.ID == n.ID || told == directRouters {
			continue
		}
		told++
		group.Go(func() { _ = n.send(ctx, m.ID, "crash", wireNotice(s), nil) })
	}
	group.Wait()
}

// Missing returns the files of a manifest that the router has to read from the object API before Announce.
func (n *Node) Missing(ctx context.Context, m revision.Manifest) ([]revision.File, error) {
	return ask(ctx, n, func(time.Time) []revision.File { return n.loop.revisions.MissingFiles(m) })
}

// Announce puts a revision that was read from the object API in force and tells the others. A revision that is not higher
// than the one in force is ignored.
func (n *Node) Announce(ctx context.Context, m revision.Manifest, contents [][]byte) error {
	_, err := ask(ctx, n, func(now time.Time) bool {
		n.loop.spread(now, n.loop.revisions.Load(now, m, contents))
		return true
	})
	return err
}

// Assign sets the engines and pools whose ownership is computed, from the configuration in force.
func (n *Node) Assign(engines []owner.Engine, pools []string) {
	n.init()
	n.post(func(time.Time) {
		n.loop.engines, n.loop.pools = slices.Clone(engines), slices.Clone(pools)
		n.loop.dirty = true
	})
}

// Listed takes a read of the instance list.
func (n *Node) Listed(list []member.Instance) {
	n.init()
	n.post(func(now time.Time) { n.loop.members.UpdateInstances(now, list) })
}

// Leave tells the others that the router owns nothing any more. It goes on to serve until Run ends.
func (n *Node) Leave() {
	n.init()
	n.post(func(time.Time) { n.loop.members.Leave() })
}
