package peer

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
)

const (
	// tickInterval is short compared to pingTimeout, and half of fewPoolsLoadInterval.
	tickInterval = 50 * time.Millisecond
	// loadInterval is the interval of load reports in a fleet of more than smallFleetRouters
	// routers.
	loadInterval = time.Second
	// smallFleetLoadInterval is the interval in a fleet of up to smallFleetRouters routers. With a
	// mean load that is one second old, routers admit requests above the load bound. The reports of
	// so few routers fit into the budget for control traffic.
	smallFleetLoadInterval = 200 * time.Millisecond
	// fewPoolsLoadInterval is the interval if such a small fleet also has at most fewPoolsLimit
	// pools. Reports grow with the number of pools, and with nine pools this interval would exceed
	// the budget.
	fewPoolsLoadInterval = 100 * time.Millisecond
	smallFleetRouters    = 16
	fewPoolsLimit        = 3
	// cleanupInterval is the interval of connPool.cleanUp.
	cleanupInterval = time.Second
	// pingTimeout is the time limit for the answer to a ping, and callTimeout the one for other
	// control messages.
	pingTimeout = member.DefaultPingTimeout
	callTimeout = 2 * time.Second
)

// loop is the control state of a node. Only the goroutine of run accesses it.
type loop struct {
	n         *Node
	members   *member.State
	revisions *revision.State
	loads     *loadsum.State

	engines          []owner.Engine
	pools            []string
	resourcesChanged bool
	view             *member.View
	owners           *owner.Snapshot
	seenNotices      seenNotices
	decisionSync     decisionSync

	nextLoadReport time.Time
	nextCleanup    time.Time
	superseded     *SupersededError
}

func (l *loop) start(node *Node) {
	now := node.Clock()
	l.n = node
	self := member.Member{ID: node.ID, Boot: node.Boot, Address: node.address, Zone: node.Zone, Region: node.Region, Caller: node.Caller}
	l.members = member.New(member.Config{Self: self, Uniform: node.Uniform}, now, node.Rand)
	l.revisions = revision.New(revision.Config{}, now, node.Rand)
	l.loads = loadsum.New()
	l.resourcesChanged = true
	if len(node.Seeds) > 0 {
		var seeds []member.Instance
		for _, address := range node.Seeds {
			seeds = append(seeds, member.Instance{Address: address})
		}
		l.members.UpdateInstances(now, seeds)
	}
	l.publish(now)
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for l.superseded == nil {
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case task := <-l.n.tasks:
			task(l.n.Clock())
		case <-ticker.C:
			l.tick(l.n.Clock())
		}
		l.publish(l.n.Clock())
	}
	return l.superseded
}

// stop tells a few members, selected by the membership protocol, that this router is leaving.
func (l *loop) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	for _, a := range l.members.Stop(l.n.Clock()) {
		_ = l.n.conns.notify(ctx, a.To.ID, a.To.Address, "ping", fromPing(a.Ping, l.revisions.Revision(), l.n.decisionsDigest()))
	}
}

func (l *loop) tick(now time.Time) {
	l.runMemberActions(now, l.members.Tick(now))
	l.runRevisionActions(now, l.revisions.Tick(now))
	if !now.Before(l.nextLoadReport) {
		// Subtracts half a tick, so that a tick which fires slightly early still sends the report.
		l.nextLoadReport = now.Add(l.loadReportInterval() - tickInterval/2)
		l.reportLoads(now)
	}
	if !now.Before(l.nextCleanup) {
		l.nextCleanup = now.Add(cleanupInterval)
		go l.n.conns.cleanUp(time.Now())
		l.updateGauges()
	}
}

func (l *loop) loadReportInterval() time.Duration {
	switch {
	case len(l.view.Members) > smallFleetRouters:
		return loadInterval
	case len(l.pools) > fewPoolsLimit:
		return smallFleetLoadInterval
	}
	return fewPoolsLoadInterval
}

func (l *loop) updateGauges() {
	counts := map[member.Status]int{}
	for _, m := range l.n.published.Load().view.Members {
		counts[m.Status]++
	}
	for _, s := range []member.Status{member.Alive, member.Suspect} {
		l.n.metrics.members.WithLabelValues(s.String()).Set(float64(counts[s]))
	}
	l.n.metrics.connections.Set(float64(l.n.conns.count()))
	l.n.metrics.revision.Set(float64(l.revisions.Revision()))
}

// publish stores a snapshot of the state for other goroutines if it changed, and records the time
// of this iteration.
func (l *loop) publish(now time.Time) {
	view := l.members.View(now)
	if view != l.view || l.resourcesChanged {
		l.updateOwnership(now, view)
	}
	last := l.n.published.Load()
	sums := l.loads.Sums(now)
	if last.view != l.view || last.owners != l.owners || last.revision != l.revisions.Revision() || !maps.Equal(last.sums, sums) {
		l.n.published.Store(&snapshot{
			view: l.view, owners: l.owners, untrusted: l.owners.WithTrust(false), sums: sums, revision: l.revisions.Revision(),
		})
	}
	l.n.lastIteration.Store(&now)
}

// updateOwnership stores a new membership view. It recomputes the ownership if the resources or the
// members that may own them changed.
func (l *loop) updateOwnership(now time.Time, view *member.View) {
	if l.resourcesChanged || l.view == nil || !sameOwnerCandidates(l.view, view) {
		in := owner.Input{Self: l.n.ID, Engines: l.engines, Pools: l.pools}
		for _, m := range view.Members {
			if m.Eligible() {
				in.Routers = append(in.Routers, owner.Router{ID: m.ID, Zone: m.Zone, Region: m.Region})
			}
		}
		previous := l.owners
		l.owners = owner.Compute(in)
		l.logOwnershipChanges(previous)
	}
	l.resourcesChanged = false
	l.view = view
	l.owners = l.owners.WithTrust(view.Trusted)
	owners := l.owners
	l.loads.SetRoles(loadsum.Roles{Self: l.n.ID, Zone: l.n.Zone, Aggregator: owners.Aggregator, Zones: owners.Zones()})
	l.runRevisionActions(now, l.revisions.SetTopology(l.revisionTopology()))
}

func (l *loop) logOwnershipChanges(previous *owner.Snapshot) {
	changed := 0
	for _, c := range owner.Changes(previous, l.owners) {
		if c.Kind == owner.KindEngine && (c.From == l.n.ID || c.To == l.n.ID) {
			changed++
		}
	}
	if changed > 0 {
		l.n.Logger.Info("engine ownership of this router changed", zap.Int("engines", changed))
	}
}

func sameOwnerCandidates(a, b *member.View) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i, m := range a.Members {
		o := b.Members[i]
		if m.ID != o.ID || m.Zone != o.Zone || m.Region != o.Region || m.Eligible() != o.Eligible() {
			return false
		}
	}
	return true
}

// revisionTopology returns whether this router is a relay, and if so, the routers to which it
// announces new revisions.
func (l *loop) revisionTopology() revision.Topology {
	topology := revision.Topology{Relay: l.owners.IsRelay()}
	if !topology.Relay {
		return topology
	}
	for _, m := range l.view.Members {
		if m.Zone == l.n.Zone && m.ID != l.n.ID {
			topology.Zone = append(topology.Zone, m.ID)
		}
	}
	for _, zone := range l.owners.Zones() {
		if zone != l.n.Zone {
			topology.Relays = append(topology.Relays, l.owners.Relays(zone)...)
		}
	}
	return topology
}

// post queues a task for the control loop. It does not wait until the task has run, but blocks
// while the queue is full.
func (n *Node) post(task func(now time.Time)) {
	select {
	case n.tasks <- task:
	case <-n.done:
	}
}

// runOnLoop runs a task on the control loop and returns its result.
func runOnLoop[T any](ctx context.Context, n *Node, task func(now time.Time) T) (T, error) {
	result := make(chan T, 1)
	var zero T
	select {
	case n.tasks <- func(now time.Time) { result <- task(now) }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.done:
		return zero, context.Canceled
	}
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.done:
		return zero, context.Canceled
	}
}

// callAsync calls another router in a new goroutine and runs done on the control loop when the call
// returns.
func (l *loop) callAsync(to member.Member, timeout time.Duration, method string, params, result any, done func(now time.Time, err error)) {
	go func() {
		ctx, cancel := context.WithTimeout(l.n.conns.ctx, timeout)
		defer cancel()
		err := l.n.conns.call(ctx, to.ID, to.Address, method, params, result)
		if err != nil {
			l.n.metrics.failures.WithLabelValues(method).Inc()
		}
		l.n.post(func(now time.Time) { done(now, err) })
	}()
}

// runMemberActions executes actions of the membership protocol.
func (l *loop) runMemberActions(_ time.Time, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.SendPing:
			l.ping(a)
		case member.SendProbe:
			var reply wireProbeReply
			l.callAsync(a.To, callTimeout, "probe", wireProbe{fromMember(a.Target)}, &reply, func(now time.Time, err error) {
				if err == nil {
					l.members.HandleProbeResult(now, a.Seq, reply.Reached)
				}
			})
		case member.SendSync:
			l.sync(a)
		case member.StatusChanged:
			l.n.Logger.Info("status of fleet member changed", zap.String("member", a.To.ID), zap.Stringer("from", a.PreviousStatus),
				zap.Stringer("to", a.To.Status), zap.Bool("restarted", a.Restarted))
		case member.Superseded:
			l.superseded = &SupersededError{l.n.ID, a.To.Address}
		}
	}
}

func (l *loop) ping(a member.Action) {
	reply := new(wireAck)
	l.callAsync(a.To, pingTimeout, "ping", fromPing(a.Ping, l.revisions.Revision(), l.n.decisionsDigest()), reply, func(now time.Time, err error) {
		if err != nil {
			l.runMemberActions(now, l.members.HandlePingFailure(now, a.Seq))
			return
		}
		l.runMemberActions(now, l.members.HandleAck(now, a.Seq, reply.ack()))
		l.runRevisionActions(now, l.revisions.HandlePeerRevision(now, reply.From.ID, reply.Revision))
		l.syncDecisions(reply.From.ID, reply.Agreed)
	})
}

func (l *loop) sync(a member.Action) {
	reply := new(wireSyncReply)
	l.callAsync(a.To, callTimeout, "sync", fromSync(a.Sync), reply, func(now time.Time, err error) {
		// Without digests the message only delivered updates, and its reply is not used.
		if err != nil || len(a.Sync.Digests) == 0 {
			return
		}
		r := member.SyncReply{Busy: reply.Busy, Updates: toMembers(reply.News), WantBuckets: reply.Want}
		l.runMemberActions(now, l.members.HandleSyncReply(now, a.To, r))
	})
}

// runRevisionActions executes actions of the revision distribution.
func (l *loop) runRevisionActions(_ time.Time, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.SendAnnouncement:
			params := wireAnnounce{l.n.ID, a.Announcement.Revision, a.Announcement.Digest}
			for _, id := range a.To {
				l.notify(id, "announce", params)
			}
		case revision.SendFetch:
			l.fetch(a)
		case revision.Activated:
			l.applyRevision(a.Manifest)
		case revision.Conflict:
			l.n.Logger.Error("rejected different content for a known revision number: publish the change under a higher revision",
				zap.Int64("revision", a.Manifest.Revision))
		}
	}
}

// notify sends a notification to a member in a new goroutine. Failures are only counted.
func (l *loop) notify(id, method string, params any) {
	m, ok := l.view.Find(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.n.conns.ctx, callTimeout)
		defer cancel()
		if err := l.n.conns.notify(ctx, m.ID, m.Address, method, params); err != nil {
			l.n.metrics.failures.WithLabelValues(method).Inc()
		}
	}()
}

func (l *loop) fetch(a revision.Action) {
	from := a.To[0]
	m, ok := l.view.Find(from)
	if !ok {
		// The control loop must not block on its own full queue, so a goroutine posts the task.
		go l.n.post(func(now time.Time) { l.runRevisionActions(now, l.revisions.HandleFetchFailure(now, from)) })
		return
	}
	reply := new(wireFetchReply)
	params := wireFetch{a.Fetch.Revision, a.Fetch.Base, a.Fetch.BaseDigest, a.Fetch.Digests}
	l.callAsync(m, callTimeout, "fetch", params, reply, func(now time.Time, err error) {
		r, decodeErr := reply.reply()
		if err != nil || decodeErr != nil {
			l.runRevisionActions(now, l.revisions.HandleFetchFailure(now, from))
			return
		}
		l.runRevisionActions(now, l.revisions.HandleReply(now, from, r))
	})
}

// applyRevision queues a revision for the handler and replaces an older one that is still queued.
func (l *loop) applyRevision(m revision.Manifest) {
	l.n.Logger.Info("applying configuration revision", zap.Int64("revision", m.Revision))
	contents := make(map[string][]byte, len(m.Files))
	for _, f := range m.Files {
		contents[f.Digest], _ = l.revisions.Content(f.Digest)
	}
	select {
	case <-l.n.revisions:
	default:
	}
	l.n.revisions <- pendingRevision{m, contents}
}

func (l *loop) reportLoads(now time.Time) {
	if l.n.Loads != nil {
		l.loads.SetOwnSums(now, l.n.Loads.Loads())
	}
	for _, send := range l.loads.Tick(now) {
		m, ok := l.view.Find(send.To)
		if !ok {
			continue
		}
		params := wireLoad{From: send.Report.From, Zone: send.Report.Zone, Items: fromItems(send.Report.Items)}
		// Only the report of an owner to its aggregator, which has no Zone, is answered.
		if send.Report.Zone != "" {
			l.notify(m.ID, "load", params)
			continue
		}
		reply := new(wireLoad)
		l.callAsync(m, callTimeout, "load", params, reply, func(now time.Time, err error) {
			if err == nil {
				l.loads.HandleReply(now, loadsum.Reply{Items: toItems(reply.Items)})
			}
		})
	}
}
