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
	// A member that returned dampLimit times within about dampHalf owns nothing until its penalty is below dampReuse.
	dampLimit = 2.5
	dampReuse = 1.0
	dampHalf  = time.Minute
	dampMax   = 8.0
	// startGrace is the age up to which a process that meets a higher boot id of its own ID takes its clock for stepped
	// back, and raises its boot id. An older process was replaced.
	startGrace = time.Minute
	// maxField bounds the text fields that are accepted from a peer.
	maxField = 255
)

// merge takes a report about a member from a peer.
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
		return s.add(now, u)
	case u.Boot < cur.Boot:
		return nil
	case u.Boot > cur.Boot:
		return s.replace(now, cur, u)
	case u.Status == Left:
		return s.set(now, cur, u)
	case u.Status == Removed && cur.Status == Alive:
		// The reporter may have been cut off from the member. A ping decides, and lets the member refute.
		if u.Incarnation >= cur.Incarnation {
			s.doubt(u.ID)
		}
		return nil
	case cur.Status == Left:
		return nil
	case u.Incarnation > cur.Incarnation,
		u.Incarnation == cur.Incarnation && u.Status > cur.Status:
		return s.set(now, cur, u)
	default:
		return nil
	}
}

func valid(u Member) bool {
	long := len(u.ID) > maxField || len(u.Address) > maxField || len(u.Zone) > maxField || len(u.Region) > maxField || len(u.Caller) > maxField
	return u.ID != "" && !long && u.Status <= Left && u.Incarnation < math.MaxUint32 && u.Boot < math.MaxInt64
}

// mergeSelf refutes reports that the router itself is suspect or gone.
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

func (s *State) add(now time.Time, u Member) []Action {
	if u.Status.Live() && u.Address == "" {
		return nil
	}
	u.Damped = false
	e := &entry{Member: u, since: now, penalized: now}
	s.members[u.ID] = e
	at, _ := slices.BinarySearchFunc(s.list, u.ID, func(e *entry, id string) int { return strings.Compare(e.ID, id) })
	s.list = slices.Insert(s.list, at, e)
	if !u.Status.Live() {
		return nil
	}
	s.touched(u)
	return append(s.takeover(now, u), Action{Kind: Changed, To: u, From: Removed})
}

// replace takes a newer process in place of an older one with the same ID.
func (s *State) replace(now time.Time, e *entry, u Member) []Action {
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
	e.since = now
	s.touched(u)
	out := []Action{{Kind: Changed, To: u, From: from, Restarted: true}}
	if u.Status.Live() {
		out = append(s.takeover(now, u), out...)
	}
	return out
}

// takeover removes an older process at the address of a newer member.
func (s *State) takeover(now time.Time, u Member) []Action {
	for _, e := range s.list {
		if e.ID != u.ID && e.Status.Live() && e.Address == u.Address && e.Boot < u.Boot {
			gone := e.Member
			gone.Status = Removed
			return s.set(now, e, gone)
		}
	}
	return nil
}

// set takes a newer report about the same boot.
func (s *State) set(now time.Time, e *entry, u Member) []Action {
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
		e.since = now
	}
	s.touched(e.Member)
	if from == u.Status {
		return nil
	}
	if e.Status == Suspect {
		s.alarm(now, e.Zone)
	}
	return []Action{{Kind: Changed, To: e.Member, From: from}}
}

// touched queues news about a member and drops what it settles.
func (s *State) touched(m Member) {
	if m.Status != Alive {
		// Others know the address of an earlier report, or ask for it by sync.
		m.Address, m.Zone, m.Region, m.Caller = "", "", "", ""
	}
	s.queue.put(m)
	s.settle(m.ID)
	s.mark()
}

// doubt is a live member that may be lost.
type doubt struct {
	id string
	// reported is true if a peer reported the member as removed, false if only others of its zone are lost.
	reported bool
}

func (s *State) doubted(id string) (doubt, bool) {
	i := slices.IndexFunc(s.doubts, func(d doubt) bool { return d.id == id })
	if i < 0 {
		return doubt{}, false
	}
	return s.doubts[i], true
}

// doubt has a member pinged that a peer reported as removed.
func (s *State) doubt(id string) {
	if _, ok := s.doubted(id); !ok {
		s.doubts = append(s.doubts, doubt{id, true})
	}
}

// settle ends the doubt about a member.
func (s *State) settle(id string) {
	s.doubts = slices.DeleteFunc(s.doubts, func(d doubt) bool { return d.id == id })
}

// alarm doubts all members of an availability zone, in random order, when several of them are suspect: the zone may be lost,
// and heartbeats alone find its members one by one.
func (s *State) alarm(now time.Time, zone string) {
	if last, ok := s.alarmed[zone]; ok && now.Sub(last) < alarmEvery {
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
	if suspects < alarmLimit {
		return
	}
	s.alarmed[zone] = now
	s.rnd.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, id := range alive {
		if _, ok := s.doubted(id); !ok {
			s.doubts = append(s.doubts, doubt{id, false})
		}
	}
}

// reassure ends the doubt about a member that answered, and the alarm about its zone.
func (s *State) reassure(m Member) {
	if _, ok := s.doubted(m.ID); !ok {
		return
	}
	s.settle(m.ID)
	s.confirmed[m.Zone] = 0
	s.doubts = slices.DeleteFunc(s.doubts, func(d doubt) bool { return !d.reported && s.members[d.id].Zone == m.Zone })
}

// penalize counts a return of a member.
func (s *State) penalize(now time.Time, e *entry) {
	e.penalty = min(decayed(now, e)+1, dampMax)
	e.penalized = now
	if e.penalty >= dampLimit {
		e.Damped = true
	}
}

func decayed(now time.Time, e *entry) float64 {
	return e.penalty * math.Exp2(-now.Sub(e.penalized).Seconds()/dampHalf.Seconds())
}

// mark records that the live members changed.
func (s *State) mark() {
	s.changed = true
	s.unsteady = true
	s.sums = nil
}

// digest is the sum of the bucket digests.
func (s *State) digest() uint64 {
	var sum uint64
	for i, d := range s.digests() {
		sum ^= mix(uint64(d), uint64(i))
	}
	return sum
}

// digests returns one digest per bucket over the live members and the router itself.
func (s *State) digests() []uint32 {
	if s.sums != nil {
		return s.sums
	}
	out := make([]uint32, buckets)
	add := func(m Member) {
		h := mix(xxhash.Sum64String(m.ID), m.Boot)
		h = mix(h, uint64(m.Incarnation)<<2|uint64(m.Status))
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
	s.sums = out
	return out
}

func bucket(id string) int { return int(xxhash.Sum64String(id) >> 32 % buckets) }

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
