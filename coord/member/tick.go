package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick advances the state to now. It must be called several times per PingTimeout.
func (s *State) Tick(now time.Time) []Action {
	s.checkPause(now)
	out := s.handleTimeouts(now)
	if !now.Before(s.nextExpire) {
		s.nextExpire = now.Add(expireInterval)
		out = append(out, s.expire(now)...)
	}
	if !now.Before(s.nextPing) {
		s.nextPing = s.nextPing.Add(s.cfg.Period)
		if s.nextPing.Before(now) {
			s.nextPing = now.Add(s.cfg.Period)
		}
		out = append(out, s.startPeriod(now)...)
	}
	if !now.Before(s.nextReconnect) {
		out = append(out, s.reconnect(now)...)
	}
	return out
}

// checkPause detects a pause of the process. Every event handler calls it, as messages may be
// handled before the first tick after a pause.
func (s *State) checkPause(now time.Time) {
	if now.Sub(s.lastEvent) > s.cfg.PauseThreshold {
		s.resume(now)
	}
	s.lastEvent = now
}

// resume discards pending pings and restarts the suspicion timeouts after a pause of the process.
func (s *State) resume(now time.Time) {
	s.resumedAt = now
	s.upToDate = false
	s.pendingPings = nil
	s.nextSync = now
	s.viewChanged = true
	s.restartSuspicionTimeouts(now)
}

// handleTimeouts requests indirect probes of members that did not answer, and marks members as
// suspect that no probe reached.
func (s *State) handleTimeouts(now time.Time) []Action {
	var out []Action
	for _, pending := range slices.Clone(s.pendingPings) {
		switch {
		case now.Before(pending.deadline):
		case !pending.indirect:
			out = append(out, s.requestProbes(now, pending)...)
		default:
			s.takePendingPing(pending.seq)
			out = append(out, s.suspectUnreached(now, pending)...)
		}
	}
	return out
}

func (s *State) requestProbes(now time.Time, pending *pendingPing) []Action {
	if pending.to.ID == "" {
		s.takePendingPing(pending.seq)
		return nil
	}
	pending.indirect = true
	pending.deadline = now.Add(2 * s.cfg.PingTimeout)
	out := s.sendEarlyPing(now)
	for _, id := range s.randomMembers(s.cfg.IndirectProbes, pending.to.ID) {
		out = append(out, Action{Kind: SendProbe, Seq: pending.seq, To: s.members[id].Member, Target: pending.to})
	}
	return out
}

// sendEarlyPing pings the next target in the current period instead of a later one. It does so at
// most maxEarlyPings times per period.
func (s *State) sendEarlyPing(now time.Time) []Action {
	if s.earlyPings >= maxEarlyPings {
		return nil
	}
	s.earlyPings++
	if id := s.nextTarget(); id != "" && !s.hasPendingPing(id) {
		return []Action{s.sendPing(now, s.members[id].Member)}
	}
	return nil
}

func (s *State) suspectUnreached(now time.Time, pending *pendingPing) []Action {
	e, ok := s.members[pending.to.ID]
	_, checking := s.findCheck(pending.to.ID)
	s.dropCheck(pending.to.ID)
	if !ok || e.Status != Alive || e.Boot != pending.to.Boot || e.Incarnation != pending.to.Incarnation {
		return nil
	}
	// This router itself may be isolated. It then suspects only members whose instances are gone.
	if !s.connected(now) && !s.delisted(now, e.Address) {
		return nil
	}
	out := s.markSuspect(now, e)
	if checking {
		out = append(out, s.handleFailedCheck(now, e.Zone)...)
	}
	return out
}

func (s *State) markSuspect(now time.Time, e *entry) []Action {
	u := e.Member
	u.Status = Suspect
	return s.applyUpdate(now, e, u)
}

// handleFailedCheck counts the failed checks of an availability zone. After two in a row, it marks
// all alive members of the zone whose checks are pending as suspect, because checking each of them
// would take too long if a zone or region has failed. The members can still refute that.
func (s *State) handleFailedCheck(now time.Time, zone string) []Action {
	s.failedChecks[zone]++
	if s.failedChecks[zone] < 2 {
		return nil
	}
	var out []Action
	for _, check := range slices.Clone(s.checks) {
		if e := s.members[check.id]; e.Zone == zone && e.Status == Alive {
			out = append(out, s.markSuspect(now, e)...)
		}
	}
	return out
}

// expire removes members whose suspicion has timed out, ends damping, and deletes members that have
// been removed or left for RemovedRetention.
func (s *State) expire(now time.Time) []Action {
	if !s.needsExpiry {
		return nil
	}
	s.needsExpiry = false
	var out []Action
	kept := s.list[:0]
	for _, e := range s.list {
		age := now.Sub(e.statusSince)
		if !e.Status.Live() && age >= s.cfg.RemovedRetention {
			delete(s.members, e.ID)
			continue
		}
		kept = append(kept, e)
		switch {
		case e.Damped && decayedPenalty(now, e) < dampReuseThreshold:
			e.Damped = false
			s.viewChanged = true
		case e.Status == Suspect && age >= s.cfg.SuspicionTimeout && (s.connected(now) || s.delisted(now, e.Address)):
			u := e.Member
			u.Status = Removed
			out = append(out, s.applyUpdate(now, e, u)...)
		}
		s.needsExpiry = s.needsExpiry || e.Damped || e.Status != Alive
	}
	s.list = kept
	return out
}

// startPeriod sends the regular ping of a period, extra pings if many updates have to be spread,
// and the pings to members that may have failed.
func (s *State) startPeriod(now time.Time) []Action {
	s.earlyPings = 0
	var out []Action
	for range s.queue.countRarelySent() / MaxUpdates {
		out = append(out, s.sendEarlyPing(now)...)
	}
	if id := s.nextTarget(); id != "" {
		out = append(out, s.sendPing(now, s.members[id].Member))
	}
	for _, check := range slices.Clone(s.checks[:min(maxChecksPerPeriod, len(s.checks))]) {
		if !s.hasPendingPing(check.id) {
			out = append(out, s.sendPing(now, s.members[check.id].Member))
		}
	}
	return out
}

func (s *State) hasPendingPing(id string) bool {
	return slices.ContainsFunc(s.pendingPings, func(pending *pendingPing) bool { return pending.to.ID == id })
}

func (s *State) sendPing(now time.Time, to Member) Action {
	s.lastSeq++
	pending := &pendingPing{seq: s.lastSeq, to: to, sent: now, deadline: now.Add(s.cfg.PingTimeout)}
	s.pendingPings = append(s.pendingPings, pending)
	return Action{Kind: SendPing, Seq: pending.seq, To: to, Ping: s.ping(now, to)}
}

// nextTarget returns the next member to ping, or "" if there is none. Apart from the pings to
// random members, it goes through all of PingTargets in random order before it repeats one, so that
// the time between two pings of the same target is bounded.
func (s *State) nextTarget() string {
	if !s.cfg.Uniform && s.rnd.IntN(s.cfg.RandomPingEvery) == 0 {
		if ids := s.randomMembers(1, ""); len(ids) == 1 {
			return ids[0]
		}
	}
	// The second pass uses the new list if the old one holds no more live members.
	for range 2 {
		for len(s.pingTargets) > 0 {
			id := s.pingTargets[0]
			s.pingTargets = s.pingTargets[1:]
			if e, ok := s.members[id]; ok && e.Status.Live() {
				return id
			}
		}
		s.pingTargets = s.PingTargets()
		s.rnd.Shuffle(len(s.pingTargets), func(i, j int) { s.pingTargets[i], s.pingTargets[j] = s.pingTargets[j], s.pingTargets[i] })
	}
	return ""
}

// PingTargets returns the IDs of the members that the router pings regularly: those at distances 1,
// 2, 4 and so on in the order of hashed IDs, or all live members if Config.Uniform is true.
func (s *State) PingTargets() []string {
	live := s.liveIDs("")
	if s.cfg.Uniform || len(live) <= 2 {
		return live
	}
	self := position{s.self.ID, xxhash.Sum64String(s.self.ID)}
	ring := make([]position, 0, len(live)+1)
	ring = append(ring, self)
	for _, id := range live {
		ring = append(ring, position{id, xxhash.Sum64String(id)})
	}
	slices.SortFunc(ring, position.compare)
	at, _ := slices.BinarySearchFunc(ring, self, position.compare)
	var out []string
	for step := 1; step < len(ring); step *= 2 {
		out = append(out, ring[(at+step)%len(ring)].id)
	}
	return out
}

// position is the position of a member in the order of hashed IDs.
type position struct {
	id   string
	hash uint64
}

func (p position) compare(q position) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.id, q.id))
}

func (s *State) liveIDs(except string) []string {
	var out []string
	for _, e := range s.list {
		if e.ID != except && e.Status.Live() {
			out = append(out, e.ID)
		}
	}
	return out
}

// randomMembers returns the IDs of up to n random live members.
func (s *State) randomMembers(n int, except string) []string {
	live := s.liveIDs(except)
	s.rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// reconnect pings a random one of the reconnectAddresses, at which a router may have started, have
// restarted, or be reachable again. Without live peers, it pings up to Config.IndirectProbes of
// them in each period.
func (s *State) reconnect(now time.Time) []Action {
	addresses := s.reconnectAddresses()
	s.rnd.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	attempts, interval := 1, reconnectInterval
	if s.noLivePeers() {
		attempts, interval = s.cfg.IndirectProbes, s.cfg.Period
	}
	s.nextReconnect = now.Add(interval + s.jitter(interval/4))
	var out []Action
	for _, address := range addresses[:min(attempts, len(addresses))] {
		out = append(out, s.sendPing(now, Member{Address: address}))
	}
	return out
}

// reconnectAddresses returns the addresses of removed members and listed instances, except for
// addresses of live members, members that left and the router itself.
func (s *State) reconnectAddresses() []string {
	known := map[string]bool{s.self.Address: true, "": true}
	for _, e := range s.list {
		if e.Status.Live() || e.Status == Left {
			known[e.Address] = true
		}
	}
	var out []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	for _, e := range s.list {
		add(e.Address)
	}
	for _, i := range s.instances {
		if !i.Leaving {
			add(i.Address)
		}
	}
	return out
}
