package member

import (
	"slices"
	"time"
)

// ActionKind says which message an Action sends or which event it reports.
type ActionKind uint8

// SendPing, SendProbe and SendSync are messages that the caller must send. StatusChanged and
// Superseded are events that it must handle.
const (
	// SendPing: send Ping to To. Pass the result with Seq to HandleAck or HandlePingFailure.
	SendPing ActionKind = iota
	// SendProbe: request that To pings Target. Pass the result with Seq to HandleProbeResult.
	SendProbe
	// SendSync: send Sync to To. Pass the reply to HandleSyncReply.
	SendSync
	// StatusChanged reports that the status of member To changed from PreviousStatus.
	StatusChanged
	// Superseded reports that a newer process uses the ID of this router; this process must stop.
	Superseded
)

// Action is a message that the caller of State must send, or an event that it must handle.
type Action struct {
	Kind ActionKind
	Seq  uint64
	// To is the receiver of a message, the member whose status changed, or the process that
	// replaced this one.
	To     Member
	Target Member
	Ping   Ping
	Sync   Sync
	// PreviousStatus is Removed if the member was unknown. Restarted is true if the member has a
	// new boot ID. Both are set for StatusChanged only.
	PreviousStatus Status
	Restarted      bool
}

// Ping is the heartbeat message.
type Ping struct {
	// From includes Address, Zone, Region and Caller only if the receiver may not know them yet: if
	// the sender knows only the receiver's address, or started less than joinDuration ago.
	From Member
	// To and Boot are the ID and the boot ID of the receiver. To is empty if the sender knows only
	// the receiver's address.
	To      string
	Boot    uint64
	Digest  uint64
	Updates []Member
}

// Ack is the reply to a Ping.
type Ack struct {
	From    Member
	Digest  uint64
	Updates []Member
	// SenderUnknown is true if the replying router does not know the sender of the ping and the
	// ping lacked its address. The router that sent the ping then includes its full entry in its
	// next messages.
	SenderUnknown bool
}

// Sync requests the members of the buckets whose digests differ between two routers, or delivers
// the members that the receiver lacks. Members are hashed by ID into bucketCount buckets.
type Sync struct {
	From Member
	// Digests holds one digest per bucket. It is empty in a message that only delivers Updates.
	Digests []uint32
	Updates []Member
}

// SyncReply is the reply to a Sync.
type SyncReply struct {
	// Busy is true if the receiver has reached its limit of syncs per second; the sender retries
	// later.
	Busy bool
	// Updates holds the replying router's members of the buckets in WantBuckets.
	Updates []Member
	// WantBuckets lists the buckets whose digests differ: the replying router may lack updates in
	// them.
	WantBuckets []int
}

// pendingPing is a ping that has not been answered yet.
type pendingPing struct {
	seq uint64
	to  Member
	// sent and deadline are times of the local clock. indirect is true once other members have been
	// asked to probe the target; deadline is then that of the probes.
	sent     time.Time
	deadline time.Time
	indirect bool
}

// ping returns the heartbeat message for a member.
func (s *State) ping(now time.Time, to Member) Ping {
	p := Ping{From: s.compactSelf(), To: to.ID, Boot: to.Boot, Digest: s.digest()}
	if to.ID == "" || now.Sub(s.start) < joinDuration {
		p.From = s.self
	}
	p.Updates = s.updatesFor(to.ID)
	return p
}

// compactSelf returns the entry of the router itself without the address and location, which its
// peers know already.
func (s *State) compactSelf() Member {
	compact := s.self
	compact.Address, compact.Zone, compact.Region, compact.Caller = "", "", "", ""
	return compact
}

// updatesFor returns the updates to piggyback on a message to a member. If the receiver is not
// alive according to this router, or a peer reported it as removed, an update that says so comes
// first. The receiver can then refute it.
func (s *State) updatesFor(id string) []Member {
	limit := MaxUpdates
	var out []Member
	check, _ := s.findCheck(id)
	if e, ok := s.members[id]; ok && (e.Status != Alive || check.reported) {
		m := e.Member
		if e.Status == Alive {
			m.Status = Removed
		}
		m.Damped = false
		out = append(out, m)
		limit--
	}
	return append(out, s.queue.take(limit, len(s.list)+1)...)
}

// HandlePing processes a ping and returns the reply.
func (s *State) HandlePing(now time.Time, p Ping) (Ack, []Action) {
	s.checkPause(now)
	s.recordMessage(now)
	_, known := s.members[p.From.ID]
	out := s.merge(now, p.From)
	out = append(out, s.mergeAll(now, p.Updates)...)
	ack := Ack{From: s.compactSelf(), Updates: s.updatesFor(p.From.ID), SenderUnknown: !known && p.From.Address == ""}
	// The sender knew only the address or expected another process, so it may not know this router.
	if p.To != s.self.ID || p.Boot != s.self.Boot {
		ack.From = s.self
	}
	ack.Digest = s.digest()
	return ack, out
}

// HandleAck processes the reply to a ping.
func (s *State) HandleAck(now time.Time, seq uint64, a Ack) []Action {
	s.checkPause(now)
	pending := s.takePendingPing(seq)
	if pending == nil {
		return nil
	}
	s.recordMessage(now)
	out := s.merge(now, a.From)
	if pending.to.ID != "" && (a.From.ID != pending.to.ID || a.From.Boot != pending.to.Boot) {
		out = append(out, s.removeReplaced(now, pending.to)...)
	}
	s.handlePassedCheck(pending.to)
	out = append(out, s.mergeAll(now, a.Updates)...)
	if a.SenderUnknown {
		s.queue.put(s.self)
	}
	to, ok := s.members[a.From.ID]
	if !ok {
		return out
	}
	sentAfterResume := !pending.sent.Before(s.resumedAt)
	if a.Digest == s.digest() {
		s.upToDate = s.upToDate || sentAfterResume
		return out
	}
	// A router that is not up to date does not wait until nextSync, as it must not act as owner
	// yet.
	if now.Before(s.nextSync) && (s.upToDate || !sentAfterResume) {
		return out
	}
	return append(out, s.startSync(now, to.Member))
}

func (s *State) startSync(now time.Time, to Member) Action {
	interval := syncInterval
	if now.Sub(s.start) < joinDuration {
		interval = joinSyncInterval
	}
	s.nextSync = now.Add(interval + s.jitter(interval/4))
	return Action{Kind: SendSync, To: to, Sync: Sync{From: s.self, Digests: s.digests()}}
}

// removeReplaced marks a process as removed because another process responded at its address.
func (s *State) removeReplaced(now time.Time, old Member) []Action {
	e, ok := s.members[old.ID]
	if !ok || e.Boot != old.Boot || !e.Status.Live() {
		return nil
	}
	u := e.Member
	u.Status = Removed
	return s.applyUpdate(now, e, u)
}

// HandlePingFailure processes the failure of a ping: it requests other members to probe the target.
func (s *State) HandlePingFailure(now time.Time, seq uint64) []Action {
	s.checkPause(now)
	for _, pending := range s.pendingPings {
		if pending.seq == seq && !pending.indirect {
			return s.requestProbes(now, pending)
		}
	}
	return nil
}

// HandleProbeResult processes the result of an indirect probe. reached is true if the probing
// member reached the target.
func (s *State) HandleProbeResult(now time.Time, seq uint64, reached bool) {
	s.checkPause(now)
	s.recordMessage(now)
	if reached {
		s.takePendingPing(seq)
	}
}

// ProbePing returns the ping with which this router probes target on behalf of another member. Its
// result need not be passed to HandleAck or HandlePingFailure.
func (s *State) ProbePing(now time.Time, target Member) Ping { return s.ping(now, target) }

// takePendingPing removes the ping with a sequence number from the pending pings and returns it, or
// nil if there is none.
func (s *State) takePendingPing(seq uint64) *pendingPing {
	for i, pending := range s.pendingPings {
		if pending.seq == seq {
			s.pendingPings = slices.Delete(s.pendingPings, i, i+1)
			return pending
		}
	}
	return nil
}

// HandleSync processes a sync and returns the reply, which is empty if the sync has no digests.
func (s *State) HandleSync(now time.Time, request Sync) (SyncReply, []Action) {
	s.checkPause(now)
	s.recordMessage(now)
	if len(request.Digests) > 0 && s.exceedsSyncLimit(now) {
		return SyncReply{Busy: true}, nil
	}
	ownDigests := slices.Clone(s.digests())
	out := s.merge(now, request.From)
	out = append(out, s.mergeAll(now, request.Updates)...)
	if len(request.Digests) != bucketCount {
		return SyncReply{}, out
	}
	var reply SyncReply
	for i := range bucketCount {
		if ownDigests[i] != request.Digests[i] {
			reply.WantBuckets = append(reply.WantBuckets, i)
		}
	}
	reply.Updates = s.membersInBuckets(reply.WantBuckets)
	return reply, out
}

// exceedsSyncLimit counts a sync request and reports whether it exceeds maxSyncsPerSecond.
func (s *State) exceedsSyncLimit(now time.Time) bool {
	if now.Sub(s.syncWindowStart) >= time.Second {
		s.syncWindowStart, s.syncRequests = now, 0
	}
	s.syncRequests++
	return s.syncRequests > maxSyncsPerSecond
}

// membersInBuckets returns all known members in the given buckets, including the router itself and,
// unlike the digests, the removed members.
func (s *State) membersInBuckets(want []int) []Member {
	var out []Member
	if slices.Contains(want, bucket(s.self.ID)) {
		out = append(out, s.self)
	}
	for _, e := range s.list {
		if !slices.Contains(want, bucket(e.ID)) {
			continue
		}
		m := e.Member
		m.Damped = false
		out = append(out, m)
	}
	return out
}

// HandleSyncReply processes the reply of a member to a sync. It returns a sync that delivers the
// updates that are missing from the reply or out of date in it.
func (s *State) HandleSyncReply(now time.Time, to Member, reply SyncReply) []Action {
	s.checkPause(now)
	s.recordMessage(now)
	if reply.Busy {
		s.nextSync = now.Add(s.jitter(syncInterval))
		return nil
	}
	s.upToDate = true
	out := s.mergeAll(now, reply.Updates)
	received := make(map[string]Member, len(reply.Updates))
	for _, u := range reply.Updates {
		received[u.ID] = u
	}
	var missing []Member
	for _, m := range s.membersInBuckets(reply.WantBuckets) {
		if update, ok := received[m.ID]; !ok || newer(m, update) {
			missing = append(missing, m)
		}
	}
	if len(missing) > 0 {
		out = append(out, Action{Kind: SendSync, To: to, Sync: Sync{From: s.self, Updates: missing}})
	}
	return out
}

// newer reports whether a is a later report than b about the same member.
func newer(a, b Member) bool {
	switch {
	case a.Boot != b.Boot:
		return a.Boot > b.Boot
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	default:
		return a.Status > b.Status
	}
}

func (s *State) mergeAll(now time.Time, updates []Member) []Action {
	var out []Action
	for _, u := range updates {
		out = append(out, s.merge(now, u)...)
	}
	return out
}
