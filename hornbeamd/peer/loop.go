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
	// tickEvery is short against the time for the answer to a ping, and half of loadMost.
	tickEvery = 50 * time.Millisecond
	// loadEvery is the period of load reports, tidyEvery that of the look for idle and silent connections. In a fleet of up to
	// smallFleet routers loads go every loadOften: a mean that is a second old admits requests above the bound, and the
	// messages of so few routers fit the budget for control traffic. With up to fewPools pools they go every loadMost: the
	// messages grow with the pools, and with nine of them this period would need more than the budget.
	loadEvery  = time.Second
	loadOften  = 200 * time.Millisecond
	loadMost   = 100 * time.Millisecond
	smallFleet = 16
	fewPools   = 3
	tidyEvery  = time.Second
	// directLimit is the time for the answer to a ping, exchangeLimit that for other control messages.
	directLimit   = member.DefaultPingTimeout
	exchangeLimit = 2 * time.Second
)

// loop is the control state of a node. Only its goroutine touches it.
type loop struct {
	n         *Node
	members   *member.State
	revisions *revision.State
	loads     *loadsum.State

	engines []owner.Engine
	pools   []string
	dirty   bool
	view    *member.View
	owners  *owner.Snapshot
	notices notices
	pulls   pulls

	nextLoad time.Time
	nextTidy time.Time
	replaced *SupersededError
}

func (l *loop) start(n *Node) {
	now := n.Clock()
	l.n = n
	self := member.Member{ID: n.ID, Boot: n.Boot, Address: n.address, Zone: n.Zone, Region: n.Region, Caller: n.Caller}
	l.members = member.New(member.Config{Self: self, Uniform: n.Uniform}, now, n.Rand)
	l.revisions = revision.New(revision.Config{}, now, n.Rand)
	l.loads = loadsum.New()
	l.dirty = true
	if len(n.Seeds) > 0 {
		var seeds []member.Instance
		for _, address := range n.Seeds {
			seeds = append(seeds, member.Instance{Address: address})
		}
		l.members.UpdateInstances(now, seeds)
	}
	l.publish(now)
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for l.replaced == nil {
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case event := <-l.n.events:
			event(l.n.Clock())
		case <-ticker.C:
			l.tick(l.n.Clock())
		}
		l.publish(l.n.Clock())
	}
	return l.replaced
}

// stop tells a few members that the router leaves.
func (l *loop) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), directLimit)
	defer cancel()
	for _, a := range l.members.Stop(l.n.Clock()) {
		_ = l.n.links.notify(ctx, a.To.ID, a.To.Address, "ping", fromPing(a.Ping, l.revisions.Revision(), l.n.agreedDigest()))
	}
}

func (l *loop) tick(now time.Time) {
	l.do(now, l.members.Tick(now))
	l.spread(now, l.revisions.Tick(now))
	if !now.Before(l.nextLoad) {
		// Half a tick less, so that a tick which comes early does not miss the period.
		l.nextLoad = now.Add(l.loadPeriod() - tickEvery/2)
		l.reportLoads(now)
	}
	if !now.Before(l.nextTidy) {
		l.nextTidy = now.Add(tidyEvery)
		go l.n.links.tidy(time.Now())
		l.gauge()
	}
}

func (l *loop) loadPeriod() time.Duration {
	switch {
	case len(l.view.Members) > smallFleet:
		return loadEvery
	case len(l.pools) > fewPools:
		return loadOften
	}
	return loadMost
}

func (l *loop) gauge() {
	counts := map[member.Status]int{}
	for _, m := range l.n.published.Load().view.Members {
		counts[m.Status]++
	}
	for _, s := range []member.Status{member.Alive, member.Suspect} {
		l.n.gauges.members.WithLabelValues(s.String()).Set(float64(counts[s]))
	}
	l.n.gauges.connections.Set(float64(l.n.links.count()))
	l.n.gauges.revision.Set(float64(l.revisions.Revision()))
}

// publish makes the state visible to other goroutines.
func (l *loop) publish(now time.Time) {
	view := l.members.View(now)
	if view != l.view || l.dirty {
		l.reassign(now, view)
	}
	last := l.n.published.Load()
	sums := l.loads.Sums(now)
	if last.view != l.view || last.owners != l.owners || last.revision != l.revisions.Revision() || !maps.Equal(last.sums, sums) {
		l.n.published.Store(&snapshot{
			view: l.view, owners: l.owners, untrusted: l.owners.WithTrust(false), sums: sums, revision: l.revisions.Revision(),
		})
	}
	l.n.beat.Store(&now)
}

// reassign computes the ownership for a new view.
func (l *loop) reassign(now time.Time, view *member.View) {
	if l.dirty || l.view == nil || !sameCandidates(l.view, view) {
		in := owner.Input{Self: l.n.ID, Engines: l.engines, Pools: l.pools}
		for _, m := range view.Members {
			if m.Eligible() {
				in.Routers = append(in.Routers, owner.Router{ID: m.ID, Zone: m.Zone, Region: m.Region})
			}
		}
		before := l.owners
		l.owners = owner.Compute(in)
		l.logChanges(before)
	}
	l.dirty = false
	l.view = view
	l.owners = l.owners.WithTrust(view.Trusted)
	owners := l.owners
	l.loads.SetRoles(loadsum.Roles{Self: l.n.ID, Zone: l.n.Zone, Aggregator: owners.Aggregator, Zones: owners.Zones()})
	l.spread(now, l.revisions.SetTopology(l.place()))
}

func (l *loop) logChanges(before *owner.Snapshot) {
	own := 0
	for _, c := range owner.Changes(before, l.owners) {
		if c.Kind == owner.KindEngine && (c.From == l.n.ID || c.To == l.n.ID) {
			own++
		}
	}
	if own > 0 {
		l.n.Logger.Info("ownership of engines changed", zap.Int("engines", own))
	}
}

func sameCandidates(a, b *member.View) bool {
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

// place says whom the router tells of new revisions.
func (l *loop) place() revision.Topology {
	p := revision.Topology{Relay: l.owners.IsRelay()}
	if !p.Relay {
		return p
	}
	for _, m := range l.view.Members {
		if m.Zone == l.n.Zone && m.ID != l.n.ID {
			p.Zone = append(p.Zone, m.ID)
		}
	}
	for _, zone := range l.owners.Zones() {
		if zone != l.n.Zone {
			p.Relays = append(p.Relays, l.owners.Relays(zone)...)
		}
	}
	return p
}

// post runs an event on the control loop without waiting for it.
func (n *Node) post(event func(now time.Time)) {
	select {
	case n.events <- event:
	case <-n.done:
	}
}

// ask runs an event on the control loop and waits for its result.
func ask[T any](ctx context.Context, n *Node, event func(now time.Time) T) (T, error) {
	result := make(chan T, 1)
	var none T
	select {
	case n.events <- func(now time.Time) { result <- event(now) }:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.done:
		return none, context.Canceled
	}
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.done:
		return none, context.Canceled
	}
}

// exchange makes a control call outside the loop and hands the result to then on the loop.
func (l *loop) exchange(to member.Member, limit time.Duration, name string, params, result any, then func(now time.Time, err error)) {
	go func() {
		ctx, cancel := context.WithTimeout(l.n.links.ctx, limit)
		defer cancel()
		err := l.n.links.call(ctx, to.ID, to.Address, name, params, result)
		if err != nil {
			l.n.gauges.failures.WithLabelValues(name).Inc()
		}
		l.n.post(func(now time.Time) { then(now, err) })
	}()
}

// do carries out the actions of the membership.
func (l *loop) do(_ time.Time, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.SendPing:
			l.ping(a)
		case member.SendProbe:
			var reply wireProbed
			l.exchange(a.To, exchangeLimit, "probe", wireProbe{fromMember(a.Target)}, &reply, func(now time.Time, err error) {
				if err == nil {
					l.members.HandleProbeResult(now, a.Seq, reply.Reached)
				}
			})
		case member.SendSync:
			l.sync(a)
		case member.StatusChanged:
			l.n.Logger.Info("member changed", zap.String("member", a.To.ID), zap.Stringer("from", a.From),
				zap.Stringer("to", a.To.Status), zap.Bool("restarted", a.Restarted))
		case member.Superseded:
			l.replaced = &SupersededError{l.n.ID, a.To.Address}
		}
	}
}

func (l *loop) ping(a member.Action) {
	reply := new(wireAck)
	l.exchange(a.To, directLimit, "ping", fromPing(a.Ping, l.revisions.Revision(), l.n.agreedDigest()), reply, func(now time.Time, err error) {
		if err != nil {
			l.do(now, l.members.HandlePingFailure(now, a.Seq))
			return
		}
		l.do(now, l.members.HandleAck(now, a.Seq, reply.ack()))
		l.spread(now, l.revisions.HandlePeerRevision(now, reply.From.ID, reply.Revision))
		l.differs(reply.From.ID, reply.Agreed)
	})
}

func (l *loop) sync(a member.Action) {
	reply := new(wireSyncReply)
	l.exchange(a.To, exchangeLimit, "sync", fromSync(a.Sync), reply, func(now time.Time, err error) {
		if err != nil || len(a.Sync.Digests) == 0 {
			return
		}
		r := member.SyncReply{Busy: reply.Busy, Updates: toMembers(reply.News), WantBuckets: reply.Want}
		l.do(now, l.members.HandleSyncReply(now, a.To, r))
	})
}

// spread carries out the actions of the revisions.
func (l *loop) spread(_ time.Time, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.SendAnnouncement:
			params := wireAnnounce{l.n.ID, a.Announcement.Revision, a.Announcement.Digest}
			for _, id := range a.To {
				l.tell(id, "announce", params)
			}
		case revision.SendFetch:
			l.fetch(a)
		case revision.Activated:
			l.inForce(a.Manifest)
		case revision.Conflict:
			l.n.Logger.Error("second content for a revision refused: push a higher revision",
				zap.Int64("revision", a.Manifest.Revision))
		}
	}
}

// tell sends a message without an answer.
func (l *loop) tell(id, name string, params any) {
	m, ok := l.view.Find(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.n.links.ctx, exchangeLimit)
		defer cancel()
		if err := l.n.links.notify(ctx, m.ID, m.Address, name, params); err != nil {
			l.n.gauges.failures.WithLabelValues(name).Inc()
		}
	}()
}

func (l *loop) fetch(a revision.Action) {
	from := a.To[0]
	m, ok := l.view.Find(from)
	if !ok {
		go l.n.post(func(now time.Time) { l.spread(now, l.revisions.FetchFailed(now, from)) })
		return
	}
	reply := new(wireReply)
	params := wireFetch{a.Fetch.Revision, a.Fetch.Base, a.Fetch.BaseDigest, a.Fetch.Digests}
	l.exchange(m, exchangeLimit, "fetch", params, reply, func(now time.Time, err error) {
		r, bad := reply.reply()
		if err != nil || bad != nil {
			l.spread(now, l.revisions.FetchFailed(now, from))
			return
		}
		l.spread(now, l.revisions.HandleReply(now, from, r))
	})
}

// inForce hands a revision to the handler; only the newest waits.
func (l *loop) inForce(m revision.Manifest) {
	l.n.Logger.Info("revision in force", zap.Int64("revision", m.Revision))
	contents := make(map[string][]byte, len(m.Files))
	for _, f := range m.Files {
		contents[f.Digest], _ = l.revisions.Content(f.Digest)
	}
	select {
	case <-l.n.applied:
	default:
	}
	l.n.applied <- applied{m, contents}
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
		if send.Report.Zone != "" {
			l.tell(m.ID, "load", params)
			continue
		}
		reply := new(wireLoad)
		l.exchange(m, exchangeLimit, "load", params, reply, func(now time.Time, err error) {
			if err == nil {
				l.loads.HandleReply(now, loadsum.Reply{Items: toItems(reply.Items)})
			}
		})
	}
}
