package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind says which routers receive a message and whose records it holds.
type Kind uint8

// Routers send a Heartbeat in each interval and an Introduction when a router joins. In fleets with
// hubs, the hubs send a HubUpdate instead of a Heartbeat; see maxMeshSize.
const (
	// Heartbeat messages hold the record of their sender.
	Heartbeat Kind = iota
	// Introduction messages hold complete records, for a router that has just joined, does not know
	// the hubs or has asked for them.
	Introduction
	// HubUpdate messages are sent by the hubs of an availability zone. They state which routers are
	// live, and hold the records that changed recently and the loads that a hub has collected.
	HubUpdate
	// Request messages ask a hub for the records of processes that the sender does not know.
	Request
)

// Message is a message from one router to others.
type Message struct {
	Kind Kind
	// From is the ID of the sender.
	From string
	// Records holds the sender's record and, in introductions and hub updates, the records of other
	// routers.
	Records []AgedRecord
	// ZoneLoads holds the loads of whole availability zones. It is set only in fleets with hubs,
	// where the hubs sum the loads before relaying them.
	ZoneLoads []ZoneLoad
	// Liveness states which routers are live; nil if the message does not say.
	Liveness *Liveness
	// Wanted holds the processes whose records the sender asks for.
	Wanted []MemberKey
}

// AgedRecord is a record in a message, with its age.
type AgedRecord struct {
	Record
	// Age is the time since the described router sent the record, in milliseconds.
	Age int64
	// WithoutIdentity is true if the encoded record omits the availability zone, the region, the
	// addresses and the capacity. The receiver knows them from an earlier record of the same
	// process.
	WithoutIdentity bool
}

// ZoneLoad is the sum of the loads of the routers in one availability zone or in all of them.
type ZoneLoad struct {
	// Zone is empty for the sum over all availability zones.
	Zone string
	// Loads holds the number of requests in progress by backend server.
	Loads map[ServerKey]int
	// Down holds the number of routers that could not reach a backend server, by the server's ID.
	Down map[string]int
	// Leaving holds the backend servers that told a router that they are leaving; see
	// Record.Leaving.
	Leaving []string
	// Age is the time since the sum was computed, in milliseconds.
	Age int64
}

// OutgoingMessage is a message with the addresses to send it to.
type OutgoingMessage struct {
	To      []string
	Message Message
}

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
	if !s.usesHubs() {
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
	if !s.usesHubs() {
		return s.settings.MaxContactAge
	}
	return s.settings.MaxContactAge + 2*s.Interval()
}

func (s *State) usesHubs() bool { return len(s.members)+1 > maxMeshSize }

// Receive merges the records, the loads and the liveness of a message. joined holds the IDs of the
// routers that were lost or unknown before or have restarted. introduce holds the IDs of the
// routers for which the caller should call Introduce and send the message.
func (s *State) Receive(now time.Time, m Message) (joined, introduce []string) {
	for _, r := range m.Records {
		if s.mergeRecord(now.Add(-time.Duration(r.Age)*time.Millisecond), now, r) {
			joined = append(joined, r.ID)
		}
	}
	if m.Liveness != nil {
		joined = append(joined, s.mergeLiveness(now, m.From, m.Liveness)...)
	}
	if len(joined) > 0 {
		s.maxFleet = max(s.maxFleet, s.LiveCount(now)+1)
	}
	for _, z := range m.ZoneLoads {
		at := now.Add(-time.Duration(z.Age) * time.Millisecond)
		if old, known := s.zoneLoads[z.Zone]; !known || at.After(old.at) {
			s.zoneLoads[z.Zone] = timedZoneLoad{ZoneLoad: z, at: at}
		}
	}
	if s.needsIntroduction(now, m, slices.Contains(joined, m.From)) {
		introduce = []string{m.From}
	}
	return joined, introduce
}

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
	case !s.usesHubs(), !s.isMisdirected(now, m, sender):
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
	sameZone := sender.Zone == s.self.Zone
	return m.Kind == Heartbeat && !(isHub && sameZone) || m.Kind == HubUpdate && !isHub && !sameZone
}

// IsAuthentic reports whether a message was sent from the heartbeat address of the router that it
// names as its sender, which is that of the sender's own record in the message, or else the known
// one. source is the address that the message came from, as ip:port.
func (s *State) IsAuthentic(m Message, source string) bool {
	for _, r := range m.Records {
		if r.ID == m.From && !r.WithoutIdentity {
			return r.Peer == source
		}
	}
	sender := s.members[m.From]
	return sender != nil && sender.Peer == source
}

// mergeRecord merges a record. sent is when the described router sent it. mergeRecord reports
// whether that router was lost or unknown before, or has restarted.
func (s *State) mergeRecord(sent, now time.Time, a AgedRecord) bool {
	r := a.Record
	if r.ID == "" || r.ID == s.self.ID || now.Sub(sent) > s.lostAfter() {
		return false
	}
	old, known := s.members[r.ID]
	if !known {
		old = &Member{}
	}
	// If the machine's clock was set back before the process restarted, the new process has the
	// lower boot time. It replaces the earlier process once that process counts as lost.
	successor := r.Boot != old.Boot && !s.live(now, old) && sent.After(old.SentAt)
	if known && !r.newer(old.Record) && !successor {
		return false
	}
	if a.WithoutIdentity {
		if !known || old.Boot != r.Boot {
			return false
		}
		r = r.withIdentity(old.Record)
	}
	// Records of other routers are relayed without their loads; see newsOf.
	if r.Loads == nil && known && r.Boot == old.Boot {
		r.Loads, r.Down, r.Leaving = old.Loads, old.Down, old.Leaving
	}
	joined := !known || r.Boot != old.Boot || !s.live(now, old)
	next := &Member{Record: r, SentAt: sent, joinedAt: old.joinedAt, changedAt: old.changedAt, key: keyOf(r), rank: rank(r.ID)}
	if r.StoreContactAge >= 0 {
		next.storeContactAt = sent.Add(-time.Duration(r.StoreContactAge) * time.Millisecond)
	}
	if old.SentAt.After(sent) && !joined {
		// A hub has reported a later state of the member; see mergeLiveness.
		next.SentAt, next.Ready, next.StoreLost = old.SentAt, old.Ready, old.StoreLost
		next.Config = max(next.Config, old.Config)
		if old.Servers.After(next.Servers) {
			next.Servers = old.Servers
		}
	}
	if joined {
		next.joinedAt = now
	}
	if joined || !sameCrashes(r.Crashes, old.Crashes) {
		next.changedAt = now
	}
	delete(s.byKey, old.key)
	s.members[r.ID], s.byKey[next.key] = next, next
	delete(s.missing, next.key)
	return joined
}

func sameCrashes(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(x, y Crash) bool { return x.Fingerprint == y.Fingerprint && slices.Equal(x.Servers, y.Servers) })
}

// Introduce returns the message that introduces other live routers, including this one, to the
// router with the ID to: those that it has asked for, with the liveness of all, or else all in a fleet without hubs, and the
// hubs and the routers of its availability zone in a fleet with hubs. The message has no addresses
// if that router is unknown.
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
	case s.usesHubs():
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
		r.Loads, r.Down, r.Leaving = nil, nil, nil
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
	if !s.usesHubs() {
		return []OutgoingMessage{{To: s.peerAddresses(func(*Member) bool { return true }), Message: own}}
	}
	hubs := s.hubsOf(now, self, self.Zone)
	if !slices.Contains(hubs, self.ID) {
		return []OutgoingMessage{{To: s.peerAddressesOf(hubs), Message: own}}
	}
	return s.hubUpdates(now, self)
}

// hubUpdates returns the two messages of a hub. The routers in its own zone learn which routers of
// all zones are live, and the sum of their loads. The hubs of the other zones learn which routers of
// the hub's own zone are live, and their load; if a zone has no live routers, one of its lost
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

// sumZoneLoads returns the sum over all availability zones. Its age is that of the first element,
// this router's own zone.
func sumZoneLoads(zones []ZoneLoad) ZoneLoad {
	all := ZoneLoad{Loads: map[ServerKey]int{}, Down: map[string]int{}, Age: zones[0].Age}
	for _, z := range zones {
		addCounts(all.Loads, z.Loads)
		addCounts(all.Down, z.Down)
		all.Leaving = addMissing(all.Leaving, z.Leaving)
	}
	return all
}

// currentZoneLoads returns the load of this router's availability zone, summed from the records of
// its routers, followed by the loads of the other zones as their hubs reported them.
func (s *State) currentZoneLoads(now time.Time, self Record) []ZoneLoad {
	own := ZoneLoad{Zone: self.Zone, Loads: maps.Clone(self.Loads), Down: map[string]int{}, Leaving: slices.Clone(self.Leaving)}
	if own.Loads == nil {
		own.Loads = map[ServerKey]int{}
	}
	for _, id := range self.Down {
		own.Down[id]++
	}
	for _, m := range s.members {
		if m.Zone == self.Zone && s.live(now, m) {
			addCounts(own.Loads, m.Loads)
			for _, id := range m.Down {
				own.Down[id]++
			}
			own.Leaving = addMissing(own.Leaving, m.Leaving)
		}
	}
	out := []ZoneLoad{own}
	for _, z := range s.zoneLoads {
		if z.Zone != self.Zone && z.Zone != "" && now.Sub(z.at) <= s.lostAfter() {
			z.Age = now.Sub(z.at).Milliseconds()
			out = append(out, z.ZoneLoad)
		}
	}
	return out
}

// addMissing appends the elements of add that list lacks.
func addMissing(list, add []string) []string {
	for _, s := range add {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

func addCounts[K comparable](total, counts map[K]int) {
	for key, n := range counts {
		total[key] += n
	}
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

// IsPeerLive reports whether the router with the given heartbeat address is known and not lost.
func (s *State) IsPeerLive(now time.Time, peer string) bool {
	for _, m := range s.members {
		if m.Peer == peer {
			return s.live(now, m)
		}
	}
	return false
}

// Reports holds what the other routers report about backend servers.
type Reports struct {
	// Loads holds the number of requests that they have in progress, by backend server.
	Loads map[ServerKey]int
	// Down holds the number of them that could not reach a backend server, by the server's ID.
	Down map[string]int
	// Leaving holds the backend servers that told one of them that they are leaving; see
	// Record.Leaving.
	Leaving []string
}

func (r *Reports) addZone(z ZoneLoad) {
	addCounts(r.Loads, z.Loads)
	addCounts(r.Down, z.Down)
	r.Leaving = addMissing(r.Leaving, z.Leaving)
}

// OtherReports returns what the other routers report about backend servers.
func (s *State) OtherReports(now time.Time, self Record) Reports {
	reports := Reports{Loads: map[ServerKey]int{}, Down: map[string]int{}}
	isHub := slices.Contains(s.hubsOf(now, self, self.Zone), self.ID)
	if s.usesHubs() && !isHub {
		z, known := s.zoneLoads[""]
		if !known || now.Sub(z.at) > s.lostAfter() {
			return reports
		}
		reports.addZone(z.ZoneLoad)
		// The sum over all zones includes this router's own load.
		for key, n := range s.lastSent.Loads {
			reports.Loads[key] = max(0, reports.Loads[key]-n)
		}
		return reports
	}
	for _, m := range s.members {
		if !s.live(now, m) || s.usesHubs() && m.Zone != self.Zone {
			continue
		}
		addCounts(reports.Loads, m.Loads)
		for _, id := range m.Down {
			reports.Down[id]++
		}
		reports.Leaving = addMissing(reports.Leaving, m.Leaving)
	}
	for _, z := range s.zoneLoads {
		if s.usesHubs() && z.Zone != self.Zone && z.Zone != "" && now.Sub(z.at) <= s.lostAfter() {
			reports.addZone(z.ZoneLoad)
		}
	}
	return reports
}
