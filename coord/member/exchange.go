package member

import (
	"slices"
	"time"
)

// Kind is the type of an action.
type Kind uint8

// The actions.
const (
	// SendPing asks to call To with Ping and to report the result by Acked or Failed with Seq.
	SendPing Kind = iota
	// SendProbe asks To to ping Target and to report the result by Probed with Seq.
	SendProbe
	// SendSync asks to call To with Sync and to report an answer by Synced.
	SendSync
	// Changed reports that To has a status other than From.
	Changed
	// Superseded reports that a newer process has taken the router's ID; the router must stop.
	Superseded
)

// Action is what the caller of State has to do.
type Action struct {
	Kind   Kind
	Seq    uint64
	To     Member
	Target Member
	Ping   Ping
	Sync   Sync
	// From is the former status and Restarted true for a new boot, for Changed.
	From      Status
	Restarted bool
}

// Ping is the heartbeat.
type Ping struct {
	// From lacks address and zones unless the receiver may not know them.
	From Member
	// To and Boot name the process that is meant; To is empty when only the address is known.
	To      string
	Boot    uint64
	Digest  uint64
	Updates []Member
}

// Ack answers a Ping.
type Ack struct {
	From    Member
	Digest  uint64
	Updates []Member
	// Unknown asks the sender to introduce itself with its next ping.
	Unknown bool
}

// Sync asks for the members in which two memberships differ, or delivers them.
type Sync struct {
	From Member
	// Digests holds one digest per bucket; empty in a message that only delivers Updates.
	Digests []uint32
	Updates []Member
}

// SyncReply answers a Sync.
type SyncReply struct {
	// Busy asks to try later.
	Busy    bool
	Updates []Member
	// Want lists the buckets in which the answering router may lack something.
	Want []int
}

// flight is a ping without an answer yet.
type flight struct {
	seq uint64
	to  Member
	// sent and deadline are by the router's own clock.
	sent     time.Time
	deadline time.Time
	indirect bool
}

// ping builds the heartbeat to a member.
func (s *State) ping(now time.Time, to Member) Ping {
	p := Ping{From: s.brief(), To: to.ID, Boot: to.Boot, Digest: s.digest()}
	if to.ID == "" || now.Sub(s.start) < joinTime {
		p.From = s.self
	}
	p.Updates = s.updatesFor(to.ID)
	return p
}

// brief is the router itself without what others know.
func (s *State) brief() Member {
	b := s.self
	b.Address, b.Zone, b.Region, b.Caller = "", "", "", ""
	return b
}

// updatesFor takes updates to piggyback. A report against the receiver comes first, so that it can refute.
func (s *State) updatesFor(id string) []Member {
	limit := MaxUpdates
	var out []Member
	d, _ := s.doubted(id)
	if e, ok := s.members[id]; ok && (e.Status != Alive || d.reported) {
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

// HandlePing answers a ping.
func (s *State) HandlePing(now time.Time, p Ping) (Ack, []Action) {
	s.enter(now)
	s.hear(now)
	_, known := s.members[p.From.ID]
	out := s.merge(now, p.From)
	out = append(out, s.mergeAll(now, p.Updates)...)
	ack := Ack{From: s.brief(), Updates: s.updatesFor(p.From.ID), Unknown: !known && p.From.Address == ""}
	if p.To != s.self.ID || p.Boot != s.self.Boot {
		ack.From = s.self
	}
	ack.Digest = s.digest()
	return ack, out
}

// Acked takes the answer to a ping.
func (s *State) Acked(now time.Time, seq uint64, a Ack) []Action {
	s.enter(now)
	f := s.land(seq)
	if f == nil {
		return nil
	}
	s.hear(now)
	out := s.merge(now, a.From)
	if f.to.ID != "" && (a.From.ID != f.to.ID || a.From.Boot != f.to.Boot) {
		out = append(out, s.gone(now, f.to)...)
	}
	s.reassure(f.to)
	out = append(out, s.mergeAll(now, a.Updates)...)
	if a.Unknown {
		s.queue.put(s.self)
	}
	to, ok := s.members[a.From.ID]
	if !ok {
		return out
	}
	after := !f.sent.Before(s.resumed)
	if a.Digest == s.digest() {
		s.fresh = s.fresh || after
		return out
	}
	if now.Before(s.nextSync) && (s.fresh || !after) {
		return out
	}
	return append(out, s.startSync(now, to.Member))
}

func (s *State) startSync(now time.Time, to Member) Action {
	every := syncEvery
	if now.Sub(s.start) < joinTime {
		every = joinEvery
	}
	s.nextSync = now.Add(every + s.jitter(every/4))
	return Action{Kind: SendSync, To: to, Sync: Sync{From: s.self, Digests: s.digests()}}
}

// gone removes a process whose address answers as another one.
func (s *State) gone(now time.Time, m Member) []Action {
	e, ok := s.members[m.ID]
	if !ok || e.Boot != m.Boot || !e.Status.Live() {
		return nil
	}
	u := e.Member
	u.Status = Removed
	return s.set(now, e, u)
}

// Failed reports that a ping got no answer.
func (s *State) Failed(now time.Time, seq uint64) []Action {
	s.enter(now)
	for _, f := range s.pings {
		if f.seq == seq && !f.indirect {
			return s.askOthers(now, f)
		}
	}
	return nil
}

// Probed reports whether a helper reached the target of a probe.
func (s *State) Probed(now time.Time, seq uint64, reached bool) {
	s.enter(now)
	s.hear(now)
	if reached {
		s.land(seq)
	}
}

// Relay builds the ping of a helper that probes a member for another one. The result need not be reported to the state.
func (s *State) Relay(now time.Time, target Member) Ping { return s.ping(now, target) }

// land takes a ping out of the list.
func (s *State) land(seq uint64) *flight {
	for i, f := range s.pings {
		if f.seq == seq {
			s.pings = slices.Delete(s.pings, i, i+1)
			return f
		}
	}
	return nil
}

// HandleSync answers a sync.
func (s *State) HandleSync(now time.Time, r Sync) (SyncReply, []Action) {
	s.enter(now)
	s.hear(now)
	if len(r.Digests) > 0 && s.overloaded(now) {
		return SyncReply{Busy: true}, nil
	}
	own := slices.Clone(s.digests())
	out := s.merge(now, r.From)
	out = append(out, s.mergeAll(now, r.Updates)...)
	if len(r.Digests) != buckets {
		return SyncReply{}, out
	}
	var reply SyncReply
	for i := range buckets {
		if own[i] != r.Digests[i] {
			reply.Want = append(reply.Want, i)
		}
	}
	reply.Updates = s.entries(reply.Want)
	return reply, out
}

// overloaded counts answered syncs per second.
func (s *State) overloaded(now time.Time) bool {
	if now.Sub(s.servedStart) >= time.Second {
		s.servedStart, s.served = now, 0
	}
	s.served++
	return s.served > servedLimit
}

// entries returns every known member in some buckets, the router itself included.
func (s *State) entries(want []int) []Member {
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

// Synced takes the answer to a sync from a member.
func (s *State) Synced(now time.Time, to Member, r SyncReply) []Action {
	s.enter(now)
	s.hear(now)
	if r.Busy {
		s.nextSync = now.Add(s.jitter(syncEvery))
		return nil
	}
	s.fresh = true
	out := s.mergeAll(now, r.Updates)
	theirs := make(map[string]Member, len(r.Updates))
	for _, u := range r.Updates {
		theirs[u.ID] = u
	}
	var news []Member
	for _, m := range s.entries(r.Want) {
		if t, ok := theirs[m.ID]; !ok || newer(m, t) {
			news = append(news, m)
		}
	}
	if len(news) > 0 {
		out = append(out, Action{Kind: SendSync, To: to, Sync: Sync{From: s.self, Updates: news}})
	}
	return out
}

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
