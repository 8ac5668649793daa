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

// UnknownRouterError is returned for a call to a router that is not a live member of the fleet.
type UnknownRouterError struct{ ID string }

func (e *UnknownRouterError) Error() string {
	return "router " + e.ID + " is not a live member of the fleet: call the current owner instead"
}

// send calls a method of the router with the given ID.
func (n *Node) send(ctx context.Context, router, method string, params, result any) error {
	m, ok := n.Members().Find(router)
	if !ok {
		return &UnknownRouterError{router}
	}
	err := n.conns.call(ctx, m.ID, m.Address, method, params, result)
	if err != nil {
		n.metrics.failures.WithLabelValues(method).Inc()
		return eris.Wrapf(err, "%s at router %s", method, router)
	}
	return nil
}

// Take requests a slot on an engine from the given router, normally the owner of the engine. A
// refusal is returned as *outcome.Error.
func (n *Node) Take(ctx context.Context, router string, req SlotRequest) (SlotGrant, error) {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Take(ctx, n.ID, req)
	}
	var w wireSlotGrant
	params := wireSlotRequest{
		From: n.ID, Request: req.Request, Engine: req.Engine, Account: req.Account, Class: req.Class, Cost: req.Cost, Weight: req.Weight,
		Wait: req.Wait.Milliseconds(), Fingerprint: req.Fingerprint, Suspect: req.Suspect,
		Chat: req.Chat, Home: req.Home, Share: req.Share, Surging: req.Surging, Age: req.Age.Milliseconds(),
	}
	err := n.send(ctx, router, "slot", params, &w)
	return SlotGrant{w.Slot, time.Duration(w.Lease) * time.Millisecond, w.Boot, w.ContextHolder, w.Warm}, err
}

// Free returns slots to the owner that granted them. The verdict says how the engine handled the
// requests; see Slots.Free.
func (n *Node) Free(ctx context.Context, router string, slots []string, verdict string) error {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Free(ctx, n.ID, slots, verdict)
	}
	return n.send(ctx, router, "free", wireSlotIDs{n.ID, slots, verdict}, nil)
}

// Abandon tells a router that the clients of pending slot requests disconnected before it answered.
// Each request is written as engine/request, like a slot ID.
func (n *Node) Abandon(ctx context.Context, router string, requests []string) error {
	return n.send(ctx, router, "abandon", wireSlotIDs{From: n.ID, Slots: requests}, nil)
}

// Renew extends the leases of several slots and returns the slots that are no longer held.
func (n *Node) Renew(ctx context.Context, router string, slots []string) ([]string, error) {
	if router == n.ID && n.Slots != nil {
		return n.Slots.Renew(ctx, n.ID, slots)
	}
	var w wireRenewReply
	err := n.send(ctx, router, "renew", wireSlotIDs{From: n.ID, Slots: slots}, &w)
	return w.Lost, err
}

// Events queries the event timeline of a router.
func (n *Node) Events(ctx context.Context, router string, q Query) ([]timeline.Event, error) {
	if router == n.ID && n.Timeline != nil {
		return n.Timeline.Query(ctx, q)
	}
	var w wireEvents
	err := n.send(ctx, router, "events", wireQuery(q), &w)
	return w.Events, err
}

// Status returns the status of a router as a JSON document.
func (n *Node) Status(ctx context.Context, router string) ([]byte, error) {
	if router == n.ID && n.Operator != nil {
		return n.Operator.Status(ctx)
	}
	var w wireStatus
	err := n.send(ctx, router, "status", struct{}{}, &w)
	return w.Document, err
}

// Broadcast distributes a notice to every router: each router forwards it to its peers. The handler
// of this router receives the notice as well. Broadcast does not wait for delivery. Round(0)
// removes the monotonic clock reading of At, which copies of the notice from other routers do not
// have; see seenNotices.
func (n *Node) Broadcast(notice Notice) {
	n.init()
	notice.At = notice.At.Round(0)
	n.post(func(time.Time) { n.loop.forwardNotice(wireNotice(notice)) })
}

// maxDirectCalls is the largest number of routers that BroadcastAndWait calls directly. The others
// receive the notice through Broadcast.
const maxDirectCalls = 64

// BroadcastAndWait broadcasts a notice and waits until every called router has confirmed it, the
// call has failed, or ctx ends. It calls at most maxDirectCalls routers.
func (n *Node) BroadcastAndWait(ctx context.Context, notice Notice) {
	n.Broadcast(notice)
	notice.At = notice.At.Round(0)
	var group sync.WaitGroup
	called := 0
	for _, m := range n.Members().Members {
		if m.ID == n.ID || called == maxDirectCalls {
			continue
		}
		called++
		group.Go(func() { _ = n.send(ctx, m.ID, "crash", wireNotice(notice), nil) })
	}
	group.Wait()
}

// MissingFiles returns the files of a manifest that this router does not have. The caller must read
// them from the object API before it calls Announce.
func (n *Node) MissingFiles(ctx context.Context, m revision.Manifest) ([]revision.File, error) {
	return runOnLoop(ctx, n, func(time.Time) []revision.File { return n.loop.revisions.MissingFiles(m) })
}

// Announce passes a revision that was read from the object API to the revision protocol, which
// applies it and announces it to the other routers. contents are the contents of the files that
// MissingFiles returned. A revision that is not higher than the current one is ignored, and a
// starting router may apply a revision later; see revision.State.Load.
func (n *Node) Announce(ctx context.Context, m revision.Manifest, contents [][]byte) error {
	_, err := runOnLoop(ctx, n, func(now time.Time) bool {
		n.loop.runRevisionActions(now, n.loop.revisions.Load(now, m, contents))
		return true
	})
	return err
}

// SetResources sets the engines and pools of the current configuration. Their ownership is computed
// from the membership.
func (n *Node) SetResources(engines []owner.Engine, pools []string) {
	n.init()
	n.post(func(time.Time) {
		n.loop.engines, n.loop.pools = slices.Clone(engines), slices.Clone(pools)
		n.loop.resourcesChanged = true
	})
}

// SetInstances updates the membership from the current instance list.
func (n *Node) SetInstances(list []member.Instance) {
	n.init()
	n.post(func(now time.Time) { n.loop.members.UpdateInstances(now, list) })
}

// Leave tells the other routers that this router gives up all ownership. This router still answers
// requests until Run returns.
func (n *Node) Leave() {
	n.init()
	n.post(func(time.Time) { n.loop.members.Leave() })
}
