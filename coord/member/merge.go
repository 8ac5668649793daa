package member

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Each return or restart of a member adds 1 to its penalty, up to dampMaxPenalty. The penalty
	// halves every dampHalfLife. A member whose penalty reaches dampThreshold owns nothing until
	// the penalty is below dampReuseThreshold.
	dampThreshold      = 2.5
	dampReuseThreshold = 1.0
	dampHalfLife       = time.Minute
	dampMaxPenalty     = 8.0
	// startGrace is the time after the start of a process during which a report with its own ID and
	// a higher boot ID is taken as the sign of a clock that was set back: the process raises its
	// boot ID. After that time, such a report means that a newer process has replaced this one.
	startGrace = time.Minute
	// maxFieldLength is the maximum length in bytes of a text field that is accepted from a peer.
	maxFieldLength = 255
)

// merge applies a peer's report about a member, unless the report is invalid or out of date.
func (s *State) merge(now time.Time, u Member) []Action {
	if !valid(u) {
		return nil
	}
	if u.ID == s.self.ID {
		return s.mergeSelf(now, u)
	}
	cur, ok := s.members[u.ID]
	switch {
	case !ok:
		return s.addMember(now, u)
	case u.Boot < cur.Boot:
		return nil
	case u.Boot > cur.Boot:
		return s.replaceProcess(now, cur, u)
	case u.Status == Left:
		// Left is final for a boot ID, so the incarnation does not matter.
		return s.applyUpdate(now, cur, u)
	case u.Status == Removed && cur.Status == Alive:
		// Perhaps only the reporter could not reach the member. Ping it to find out and to let it
		// refute the report.
		if u.Incarnation >= cur.Incarnation {
			s.queueCheck(u.ID)
		}
		return nil
	case cur.Status == Left:
		return nil
	case u.Incarnation > cur.Incarnation,
		u.Incarnation == cur.Incarnation && u.Status > cur.Status:
		return s.applyUpdate(now, cur, u)
	default:
		return nil
	}
}

// valid reports whether a report is well-formed. The limits of Incarnation and Boot prevent an
// overflow when mergeSelf adds 1 to them.
func valid(u Member) bool {
	tooLong := len(u.ID) > maxFieldLength || len(u.Address) > maxFieldLength || len(u.Zone) > maxFieldLength ||
		len(u.Region) > maxFieldLength || len(u.Caller) > maxFieldLength
	return u.ID != "" && !tooLong && u.Status <= Left && u.Incarnation < math.MaxUint32 && u.Boot < math.MaxInt64
}

// mergeSelf refutes reports that the router itself is suspect, removed or left, and detects a newer
// process with the same ID.
func (s *State) mergeSelf(now time.Time, u Member) []Action {
	switch {
	case s.self.Status == Left || u.Boot < s.self.Boot:
		return nil
	case u.Boot > s.self.Boot && now.Sub(s.start) > startGrace:
		return []Action{{Kind: Superseded, To: u}}
	case u.Boot > s.self.Boot:
		s.self.Boot = u.Boot + 1
	case u.Status == Alive && u.Incarnation <= s.self.Incarnation, u.Incarnation < s.self.Incarnation:
		return nil
	}
	s.self.Incarnation = max(s.self.Incarnation, u.Incarnation) + 1
	s.announceSelf()
	return nil
}

func (s *State) addMember(now time.Time, u Member) []Action {
	// A live member without an address cannot be pinged.
	if u.Status.Live() && u.Address == "" {
		return nil
	}
	u.Damped = false
	e := &entry{Member: u, statusSince: now, penalizedAt: now}
	s.members[u.ID] = e
	at, _ := slices.BinarySearchFunc(s.list, u.ID, func(e *entry, id string) int { return strings.Compare(e.ID, id) })
	s.list = slices.Insert(s.list, at, e)
	if !u.Status.Live() {
		return nil
	}
	s.announce(u)
	return append(s.removeOlderAtAddress(now, u), Action{Kind: StatusChanged, To: u, PreviousStatus: Removed})
}

// replaceProcess replaces an older process by a newer one with the same ID.
func (s *State) replaceProcess(now time.Time, e *entry, u Member) []Action {
	if u.Status.Live() && u.Address == "" {
		return nil
	}
	from := e.Status
	s.penalize(now, e)
	u.Damped = e.Damped
	if u.Address == "" {
		u.Address, u.Zone, u.Region, u.Caller = e.Address, e.Zone, e.Region, e.Caller
	}
	e.Member = u
	e.statusSince = now
	s.announce(u)
	out := []Action{{Kind: StatusChanged, To: u, PreviousStatus: from, Restarted: true}}
	if u.Status.Live() {
		out = append(s.removeOlderAtAddress(now, u), out...)
	}
	return out
}

// removeOlderAtAddress marks an older process at the address of a newer member as removed.
func (s *State) removeOlderAtAddress(now time.Time, u Member) []Action {
	for _, e := range s.list {
		if e.ID != u.ID && e.Status.Live() && e.Address == u.Address && e.Boot < u.Boot {
			removed := e.Member
			removed.Status = Removed
			return s.applyUpdate(now, e, removed)
		}
	}
	return nil
}

// applyUpdate applies a change of a member whose boot ID stays the same. The change comes from a
// report or was detected by this router.
func (s *State) applyUpdate(now time.Time, e *entry, u Member) []Action {
	from := e.Status
	if from == u.Status && e.Incarnation == u.Incarnation {
		return nil
	}
	if !from.Live() && u.Status.Live() {
		if e.Address == "" && u.Address == "" {
			return nil
		}
		s.penalize(now, e)
	}
	e.Incarnation, e.Status, e.Leaving = u.Incarnation, u.Status, u.Leaving
	if u.Address != "" {
		e.Address, e.Zone, e.Region, e.Caller = u.Address, u.Zone, u.Region, u.Caller
	}
	if from != u.Status {
		e.statusSince = now
	}
	s.announce(e.Member)
	if from == u.Status {
		return nil
	}
	if e.Status == Suspect {
		s.checkZone(now, e.Zone)
	}
	return []Action{{Kind: StatusChanged, To: e.Member, PreviousStatus: from}}
}

// announce queues an update about a changed member and drops the pending check of the member.
func (s *State) announce(m Member) {
	if m.Status != Alive {
		// Peers know the address from an earlier report or get it by a sync.
		m.Address, m.Zone, m.Region, m.Caller = "", "", "", ""
	}
	s.queue.put(m)
	s.dropCheck(m.ID)
	s.markChanged()
}

// pendingCheck is a live member that may have failed and must be pinged in addition to the regular
// pings.
type pendingCheck struct {
	id string
	// reported is true if a peer reported the member as removed, false if only other members of its
	// availability zone are suspect.
	reported bool
}

func (s *State) findCheck(id string) (pendingCheck, bool) {
	i := slices.IndexFunc(s.checks, func(check pendingCheck) bool { return check.id == id })
	if i < 0 {
		return pendingCheck{}, false
	}
	return s.checks[i], true
}

// queueCheck queues a ping to a member that a peer reported as removed.
func (s *State) queueCheck(id string) {
	if _, ok := s.findCheck(id); !ok {
		s.checks = append(s.checks, pendingCheck{id: id, reported: true})
	}
}

// dropCheck drops the pending check of a member.
func (s *State) dropCheck(id string) {
	s.checks = slices.DeleteFunc(s.checks, func(check pendingCheck) bool { return check.id == id })
}

// checkZone queues checks of the alive members of an availability zone, in random order, if at
// least zoneCheckSuspects of its members are suspect. The whole zone may have failed, and the
// regular pings alone would detect that for one member at a time.
func (s *State) checkZone(now time.Time, zone string) {
	if last, ok := s.zoneCheckedAt[zone]; ok && now.Sub(last) < zoneCheckInterval {
		return
	}
	var alive []string
	suspects := 0
	for _, e := range s.list {
		switch {
		case e.Zone != zone:
		case e.Status == Suspect:
			suspects++
		case e.Status == Alive:
			alive = append(alive, e.ID)
		}
	}
	if suspects < zoneCheckSuspects {
		return
	}
	s.zoneCheckedAt[zone] = now
	s.rnd.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, id := range alive {
		if _, ok := s.findCheck(id); !ok {
			s.checks = append(s.checks, pendingCheck{id: id, reported: false})
		}
	}
}

// handlePassedCheck drops the check of a member that answered. As its availability zone has not
// failed, it also drops the checks that checkZone queued for that zone.
func (s *State) handlePassedCheck(m Member) {
	if _, ok := s.findCheck(m.ID); !ok {
		return
	}
	s.dropCheck(m.ID)
	s.failedChecks[m.Zone] = 0
	s.checks = slices.DeleteFunc(s.checks, func(check pendingCheck) bool { return !check.reported && s.members[check.id].Zone == m.Zone })
}

// penalize counts a return or restart of a member and damps the member if it returned too often.
func (s *State) penalize(now time.Time, e *entry) {
	e.penalty = min(decayedPenalty(now, e)+1, dampMaxPenalty)
	e.penalizedAt = now
	if e.penalty >= dampThreshold {
		e.Damped = true
	}
}

func decayedPenalty(now time.Time, e *entry) float64 {
	return e.penalty * math.Exp2(-now.Sub(e.penalizedAt).Seconds()/dampHalfLife.Seconds())
}

// markChanged invalidates the cached view and digests after a change of the members.
func (s *State) markChanged() {
	s.viewChanged = true
	s.needsExpiry = true
	s.cachedDigests = nil
}

// digest returns the combined hash of the bucket digests.
func (s *State) digest() uint64 {
	var sum uint64
	for i, d := range s.digests() {
		sum ^= hashPair(uint64(d), uint64(i))
	}
	return sum
}

// digests returns one digest per bucket over the live members and the router itself.
func (s *State) digests() []uint32 {
	if s.cachedDigests != nil {
		return s.cachedDigests
	}
	out := make([]uint32, bucketCount)
	add := func(m Member) {
		h := hashPair(xxhash.Sum64String(m.ID), m.Boot)
		h = hashPair(h, uint64(m.Incarnation)<<2|uint64(m.Status))
		out[bucket(m.ID)] ^= uint32(h)
	}
	if s.self.Status.Live() {
		add(s.self)
	}
	for _, e := range s.list {
		if e.Status.Live() {
			add(e.Member)
		}
	}
	s.cachedDigests = out
	return out
}

func bucket(id string) int { return int(xxhash.Sum64String(id) >> 32 % bucketCount) }

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
