package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxMeshSize is the maximum number of routers in a fleet without hubs, where each router sends
// heartbeats to every other. The number of messages in such a mesh grows with the square of its
// size. Larger fleets have hubs: in each availability zone, some routers collect the records of the
// others, exchange what changed with the hubs of the other zones, and send it to the routers in
// their own zone. Each hub of a zone does all of this, so the loss of one hub causes no delay.
const maxMeshSize = 12

// routersPerIntervalStep determines the heartbeat interval of a fleet with hubs: it is at least
// twice Settings.Interval and grows by Settings.Interval for every routersPerIntervalStep routers,
// because the messages of the hubs grow with the fleet.
const routersPerIntervalStep = 200

// hubsPerZone is the number of routers in each availability zone that act as hubs.
const hubsPerZone = 2

// Interval returns the time between two heartbeats: Settings.Interval in a fleet without hubs, and
// a multiple of it that grows with the fleet in a fleet with hubs.
func (s *State) Interval() time.Duration {
	if !s.UsesHubs() {
		return s.settings.Interval
	}
	return s.settings.Interval * time.Duration(max(2, (len(s.members)+1)/routersPerIntervalStep))
}

// lostAfter returns the time without a newer record after which a router counts as lost. A record
// that has passed two hubs is up to three intervals old.
func (s *State) lostAfter() time.Duration { return max(s.settings.LostAfter, 4*s.Interval()) }

// maxContactAge returns the age of the latest known store response of any router after which
// further routers watch the store.
func (s *State) maxContactAge() time.Duration {
	if !s.UsesHubs() {
		return s.settings.MaxContactAge
	}
	return s.settings.MaxContactAge + 2*s.Interval()
}

// ForwardsReports reports whether this router announces what it has learned from other routers of
// crashes: hubs do, and all routers of a fleet without hubs, because not every router reaches every
// other one.
func (s *State) ForwardsReports(now time.Time, self Record) bool {
	return !s.UsesHubs() || slices.Contains(s.hubsOf(now, self, self.Zone), self.ID)
}

// UsesHubs reports whether the fleet is so large that it has hubs.
func (s *State) UsesHubs() bool { return len(s.members)+1 > maxMeshSize }

// introductionInterval is the minimum time between two introductions for a router that has already
// joined and still sends its messages to a router that is not a hub.
const introductionInterval = time.Second

// needsIntroduction reports whether the sender of a message must be introduced to other routers.
// senderJoined is true if the message shows that the sender has just joined.
func (s *State) needsIntroduction(now time.Time, m Message, senderJoined bool) bool {
	sender := s.members[m.From]
	switch {
	case sender == nil:
		return false
	case m.Kind == Request:
		s.wanted[m.From] = m.Wanted
		return true
	case m.Kind == Heartbeat && senderJoined:
		s.introducedAt[m.From] = now
		return true
	case !s.UsesHubs(), !s.isMisdirected(now, m, sender):
		return false
	}
	if now.Sub(s.introducedAt[m.From]) < introductionInterval {
		return false
	}
	s.introducedAt[m.From] = now
	return true
}

// isMisdirected reports whether a message in a fleet with hubs shows that its sender does not know
// the hubs: heartbeats go to the hubs of the sender's availability zone, and the updates of hubs to
// other hubs and to the routers of their own zone.
func (s *State) isMisdirected(now time.Time, m Message, sender *Member) bool {
	isHub := slices.Contains(s.hubsOf(now, s.self, s.self.Zone), s.self.ID)
	otherZone := sender.Zone != s.self.Zone
	switch m.Kind {
	case Heartbeat:
		return !isHub || otherZone
	case HubUpdate:
		return !isHub && otherZone
	default:
		return false
	}
}

// Introduce returns the message that introduces other live routers, including this one, to the
// router with the ID to: those that it has asked for, with the liveness of all, or else all in a
// fleet without hubs, and the hubs and the routers of its availability zone in a fleet with hubs.
// The message has no addresses if that router is unknown.
func (s *State) Introduce(now time.Time, self Record, to string) OutgoingMessage {
	m, known := s.members[to]
	if !known {
		return OutgoingMessage{}
	}
	filter := func(o *Member) bool { return o.ID != to }
	keys, requested := s.wanted[to]
	delete(s.wanted, to)
	message := Message{Kind: Introduction, From: self.ID}
	switch {
	case requested:
		filter = func(o *Member) bool { return slices.Contains(keys, o.key) }
		message.Liveness = s.livenessOf(now, self, s.scopeFor(m))
	case s.UsesHubs():
		hubs := s.hubsOf(now, self, self.Zone)
		for _, zone := range s.otherZones(self.Zone) {
			hubs = append(hubs, s.hubsOf(now, self, zone)...)
		}
		filter = func(o *Member) bool { return o.ID != to && (o.Zone == m.Zone || slices.Contains(hubs, o.ID)) }
	}
	message.Records = markComplete(s.recordsOf(now, self, filter))
	return OutgoingMessage{To: []string{m.Peer}, Message: message}
}

// recordsOf returns this router's record and those of the other live routers that the filter
// selects. The records of the other routers omit their loads.
func (s *State) recordsOf(now time.Time, self Record, filter func(*Member) bool) []AgedRecord {
	out := []AgedRecord{{Record: self, WithoutIdentity: self.omitsIdentity(now, s.firstHeartbeat)}}
	for _, m := range s.members {
		if !s.live(now, m) || !filter(m) {
			continue
		}
		r := m.Record
		r.Loads, r.Down, r.Leaving, r.Parts, r.Limits = nil, nil, nil, nil, nil
		out = append(out, AgedRecord{Record: r, Age: now.Sub(m.SentAt).Milliseconds(), WithoutIdentity: r.omitsIdentity(now, m.joinedAt)})
	}
	return out
}

// newsIntervals is the number of heartbeat intervals for which a hub relays a record after it has
// changed. A router that still misses it asks for it.
const newsIntervals = 2

// newsOf returns this router's record, and those of the other live routers that the filter selects
// and that changed recently.
func (s *State) newsOf(now time.Time, self Record, filter func(*Member) bool) []AgedRecord {
	return s.recordsOf(now, self, func(m *Member) bool {
		return now.Sub(m.changedAt) <= newsIntervals*s.Interval() && filter(m)
	})
}

// markComplete clears WithoutIdentity in all records, so that they are sent with all fields.
func markComplete(records []AgedRecord) []AgedRecord {
	for i := range records {
		records[i].WithoutIdentity = false
	}
	return records
}

// Heartbeat returns the messages that this router has to send in this interval.
func (s *State) Heartbeat(now time.Time, self Record) []OutgoingMessage {
	s.lastSent = self
	if s.firstHeartbeat.IsZero() {
		s.firstHeartbeat = now
	}
	own := Message{Kind: Heartbeat, From: self.ID, Records: []AgedRecord{{Record: self, WithoutIdentity: self.omitsIdentity(now, s.firstHeartbeat)}}}
	if !s.UsesHubs() {
		return []OutgoingMessage{{To: s.peerAddresses(func(*Member) bool { return true }), Message: own}}
	}
	hubs := s.hubsOf(now, self, self.Zone)
	if !slices.Contains(hubs, self.ID) {
		return []OutgoingMessage{{To: s.peerAddressesOf(hubs), Message: own}}
	}
	return s.hubUpdates(now, self)
}

// hubUpdates returns the two messages of a hub. The routers in its own zone learn which routers of
// all zones are live, and the sum of their loads. The hubs of the other zones learn which routers
// of the hub's own zone are live, and their load; if a zone has no live routers, one of its lost
// routers gets that message instead. Both hold the records that changed recently.
func (s *State) hubUpdates(now time.Time, self Record) []OutgoingMessage {
	loads := s.currentZoneLoads(now, self)
	anyZone := func(*Member) bool { return true }
	ownZone := func(m *Member) bool { return m.Zone == self.Zone }
	messages := []OutgoingMessage{{
		To: s.peerAddresses(ownZone),
		Message: Message{
			Kind: HubUpdate, From: self.ID, Records: s.newsOf(now, self, anyZone), Liveness: s.livenessUpdate(now, self, ""),
			ZoneLoads: []ZoneLoad{sumZoneLoads(loads)},
		},
	}}
	var otherHubs []string
	for _, zone := range s.otherZones(self.Zone) {
		if hubs := s.hubsOf(now, self, zone); len(hubs) > 0 {
			otherHubs = append(otherHubs, s.peerAddressesOf(hubs)...)
			continue
		}
		otherHubs = append(otherHubs, s.rotatingAddress(zone, self.Sequence))
	}
	return append(messages, OutgoingMessage{To: otherHubs, Message: Message{
		Kind: HubUpdate, From: self.ID, Records: s.newsOf(now, self, ownZone), Liveness: s.livenessUpdate(now, self, self.Zone), ZoneLoads: loads[:1],
	}})
}

// hubsOf returns the IDs of the hubs of an availability zone: its live routers with the greatest
// capacity. Ties are broken by the hash of the ID.
func (s *State) hubsOf(now time.Time, self Record, zone string) []string {
	type candidate struct {
		id       string
		capacity float64
		rank     uint64
	}
	var candidates []candidate
	if self.Zone == zone {
		candidates = append(candidates, candidate{self.ID, self.Capacity, s.selfRank})
	}
	for _, m := range s.members {
		if m.Zone == zone && s.live(now, m) {
			candidates = append(candidates, candidate{m.ID, m.Capacity, m.rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.rank, b.rank))
	})
	var ids []string
	for _, c := range candidates[:min(len(candidates), hubsPerZone)] {
		ids = append(ids, c.id)
	}
	return ids
}

// rotatingAddress returns the address of one known router of an availability zone. Consecutive
// turns select the routers one after another.
func (s *State) rotatingAddress(zone string, turn uint64) string {
	all := s.peerAddresses(func(m *Member) bool { return m.Zone == zone })
	return all[turn%uint64(len(all))]
}

func (s *State) otherZones(own string) []string {
	zones := map[string]bool{}
	for _, m := range s.members {
		if m.Zone != own {
			zones[m.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

func (s *State) peerAddressesOf(ids []string) []string {
	return s.peerAddresses(func(m *Member) bool { return slices.Contains(ids, m.ID) })
}

// peerAddresses returns the heartbeat addresses of the other routers that the filter selects. Lost
// routers are included, because the network may have failed in one direction only.
func (s *State) peerAddresses(filter func(*Member) bool) []string {
	var out []string
	for _, m := range s.members {
		if filter(m) {
			out = append(out, m.Peer)
		}
	}
	slices.Sort(out)
	return out
}
