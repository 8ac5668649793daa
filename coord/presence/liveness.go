package presence

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/roster"
)

// MemberKey is a hash that identifies one process of a router in messages. If two live processes
// had the same key, one of them could be taken for lost; among 1,000 routers the probability is
// below 1 in 5,000, and it changes with each restart.
type MemberKey uint32

func keyOf(r Record) MemberKey {
	return MemberKey(xxhash.Sum64String(r.ID + "/" + strconv.FormatInt(r.Boot, 36)))
}

// Liveness states which routers are live, with the part of their records that changes often. The
// records themselves take twenty times as many bytes, and are sent only when they change. While the
// list of routers does not change, only those from which nothing was heard for longest are listed;
// the checksum then shows whether the receiver believes the same.
type Liveness struct {
	// Zone is the availability zone of the routers; empty for those of all zones.
	Zone string
	// Config and Servers are the newest versions that any of the routers has.
	Config  int64
	Servers roster.Revision
	// StoreContactAge is the time since the store last responded to any router that the sender
	// knows of, in milliseconds; negative if it never did.
	StoreContactAge int64
	// Checksum is the sum of the checksums of all routers.
	Checksum uint64
	// Age is the greatest age of the routers that an incomplete list leaves out, in milliseconds.
	Age int64
	// Complete is true if Routers holds all routers.
	Complete bool
	Routers  []LiveRouter
}

// LiveRouter is a router that was live when the message was sent.
type LiveRouter struct {
	Key MemberKey
	// Age is the time since the router sent its latest record, in milliseconds.
	Age int64
	// Ready and StoreLost are those of its record. NewestConfig and NewestServers are true if it
	// has the versions in Liveness.
	Ready, StoreLost, NewestConfig, NewestServers bool
}

// checksum returns a number that differs, most likely, for routers that differ in anything but
// their age. The sum of the hashes of its routers is that of a list, regardless of their order.
func (r LiveRouter) checksum() uint64 {
	bits := uint64(r.Key) << 4
	for i, set := range []bool{r.Ready, r.StoreLost, r.NewestConfig, r.NewestServers} {
		if set {
			bits |= 1 << i
		}
	}
	// The finalizer of MurmurHash3, which spreads the bits over the word.
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	bits *= 0xc4ceb9fe1a85ec53
	return bits ^ bits>>33
}

// liveRouter returns the state of a router in a list with the given newest versions.
func (l *Liveness) liveRouter(r *Record, key MemberKey, age time.Duration) LiveRouter {
	return LiveRouter{
		Key: key, Age: max(0, age.Milliseconds()), Ready: r.Ready, StoreLost: r.StoreLost,
		NewestConfig: r.Config >= l.Config, NewestServers: !l.Servers.After(r.Servers),
	}
}

// routersOf returns this router and the live members in the scope of a Liveness.
func (s *State) routersOf(now time.Time, self Record, l *Liveness) []LiveRouter {
	var out []LiveRouter
	if l.Zone == "" || l.Zone == self.Zone {
		out = append(out, l.liveRouter(&self, s.selfKey, 0))
	}
	for _, m := range s.members {
		if s.live(now, m) && (l.Zone == "" || l.Zone == m.Zone) {
			out = append(out, l.liveRouter(&m.Record, m.key, now.Sub(m.SentAt)))
		}
	}
	return out
}

// livenessOf returns the complete liveness of the routers in a zone, or in all zones if it is
// empty.
func (s *State) livenessOf(now time.Time, self Record, zone string) *Liveness {
	out := &Liveness{Zone: zone, Config: self.Config, Servers: self.Servers, StoreContactAge: -1}
	for _, m := range s.members {
		if !s.live(now, m) || zone != "" && m.Zone != zone {
			continue
		}
		out.Config = max(out.Config, m.Config)
		if m.Servers.After(out.Servers) {
			out.Servers = m.Servers
		}
	}
	out.Routers = s.routersOf(now, self, out)
	out.Complete = true
	for _, r := range out.Routers {
		out.Checksum += r.checksum()
	}
	var own time.Time
	if self.StoreContactAge >= 0 {
		own = now.Add(-time.Duration(self.StoreContactAge) * time.Millisecond)
	}
	if at, _ := s.LastStoreContact(now, own); !at.IsZero() {
		out.StoreContactAge = max(0, now.Sub(at).Milliseconds())
	}
	return out
}

// sentLiveness is a list of live routers that this router has sent, and when the list last changed.
type sentLiveness struct {
	checksum  uint64
	changedAt time.Time
}

// listedShare is the share of the routers, those with the greatest ages, that an incomplete list
// holds. Without them, one lost heartbeat would make all routers look as old as its sender.
const listedShare = 0.1

// omitRecent removes the routers of a complete list that were heard from recently.
func (l *Liveness) omitRecent() {
	slices.SortFunc(l.Routers, func(a, b LiveRouter) int { return cmp.Compare(b.Age, a.Age) })
	listed := int(listedShare * float64(len(l.Routers)))
	l.Age, l.Complete, l.Routers = l.Routers[listed].Age, false, l.Routers[:listed]
}

// livenessUpdate returns the liveness to send in this interval. The list of routers is incomplete
// unless it has changed recently. A receiver treats a router that is no longer in the list as live
// for another s.lostAfter(), and gets the whole list until then.
func (s *State) livenessUpdate(now time.Time, self Record, zone string) *Liveness {
	l := s.livenessOf(now, self, zone)
	sent, known := s.liveness[zone]
	if !known || sent.checksum != l.Checksum {
		sent = sentLiveness{checksum: l.Checksum, changedAt: now}
		s.liveness[zone] = sent
	}
	if now.Sub(sent.changedAt) > s.lostAfter()+s.Interval() {
		l.omitRecent()
	}
	return l
}

// scopeFor returns the zone of the liveness that this router sends to a member: all zones to the
// routers of its own zone, and its own zone to the hubs of the others.
func (s *State) scopeFor(m *Member) string {
	if m.Zone == s.self.Zone {
		return ""
	}
	return s.self.Zone
}

// mergeLiveness updates the members that a hub reports as live, and returns the IDs of those that
// were lost before. It notes the processes whose records this router lacks.
func (s *State) mergeLiveness(now time.Time, from string, l *Liveness) (joined []string) {
	if contact := now.Add(-time.Duration(l.StoreContactAge) * time.Millisecond); l.StoreContactAge >= 0 && contact.After(s.storeContact) {
		s.storeContact = contact
	}
	if !l.Complete {
		s.mergeChecksum(now, from, l)
	}
	for _, r := range l.Routers {
		sent := now.Add(-time.Duration(r.Age) * time.Millisecond)
		m := s.byKey[r.Key]
		switch {
		case r.Key == s.selfKey, now.Sub(sent) > s.lostAfter():
		case m == nil:
			s.missing[r.Key] = missingRecord{from: from, sent: sent}
		case sent.After(m.SentAt):
			if !s.live(now, m) {
				joined = append(joined, m.ID)
				m.joinedAt, m.changedAt = now, now
			}
			old := *m
			m.update(sent, r, l)
			s.recordReadiness(now, &old, m)
		}
	}
	return joined
}

// mergeChecksum updates the members that an incomplete list leaves out, if this router believes the
// same as the sender. Otherwise it notes that the complete list is needed.
func (s *State) mergeChecksum(now time.Time, from string, l *Liveness) {
	checksum := uint64(0)
	for _, r := range s.routersOf(now, s.lastSent, l) {
		checksum += r.checksum()
	}
	if checksum != l.Checksum {
		s.incomplete[from] = true
		return
	}
	listed := make(map[MemberKey]bool, len(l.Routers))
	for _, r := range l.Routers {
		listed[r.Key] = true
	}
	sent := now.Add(-time.Duration(l.Age) * time.Millisecond)
	for _, m := range s.members {
		if s.live(now, m) && (l.Zone == "" || l.Zone == m.Zone) && sent.After(m.SentAt) && !listed[m.key] {
			m.SentAt = sent
		}
	}
}

// update applies what a hub reports of the member.
func (m *Member) update(sent time.Time, r LiveRouter, l *Liveness) {
	m.SentAt, m.Ready, m.StoreLost = sent, r.Ready, r.StoreLost
	if r.NewestConfig {
		m.Config = max(m.Config, l.Config)
	}
	if r.NewestServers && l.Servers.After(m.Servers) {
		m.Servers = l.Servers
	}
}

// missingRecord is a live process whose record this router lacks.
type missingRecord struct {
	// from is the ID of the hub that reported the process, and sent when the process sent its
	// latest record.
	from string
	sent time.Time
}

// maxWanted is the maximum number of records in one request.
const maxWanted = 200

// Requests returns the messages that ask hubs for the records that this router lacks, and for the
// list of live routers if it differs from what this router believes. It asks for a record again if
// no answer has arrived after newsIntervals heartbeat intervals.
func (s *State) Requests(now time.Time) []OutgoingMessage {
	wanted := map[string][]MemberKey{}
	for key, missing := range s.missing {
		switch {
		case now.Sub(missing.sent) > s.lostAfter():
			delete(s.missing, key)
		case now.Sub(s.requested[key]) < newsIntervals*s.Interval() || len(wanted[missing.from]) >= maxWanted:
		default:
			s.requested[key] = now
			wanted[missing.from] = append(wanted[missing.from], key)
		}
	}
	var out []OutgoingMessage
	for from := range s.incomplete {
		if now.Sub(s.requestedLiveness[from]) >= s.Interval() && wanted[from] == nil {
			wanted[from] = []MemberKey{}
		}
	}
	for from, keys := range wanted {
		hub := s.members[from]
		if hub == nil {
			continue
		}
		s.requestedLiveness[from] = now
		slices.Sort(keys)
		out = append(out, OutgoingMessage{To: []string{hub.Peer}, Message: Message{Kind: Request, From: s.self.ID, Wanted: keys}})
	}
	clear(s.incomplete)
	return out
}
