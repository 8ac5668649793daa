package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick advances the state to now. Call it several times in a Direct timeout.
func (s *State) Tick(now time.Time) []Action {
	s.enter(now)
	out := s.timeouts(now)
	if !now.Before(s.nextExpire) {
		s.nextExpire = now.Add(expireEvery)
		out = append(out, s.expire(now)...)
	}
	if !now.Before(s.nextPing) {
		s.nextPing = s.nextPing.Add(s.cfg.Period)
		if s.nextPing.Before(now) {
			s.nextPing = now.Add(s.cfg.Period)
		}
		out = append(out, s.period(now)...)
	}
	if !now.Before(s.nextContact) {
		out = append(out, s.contact(now)...)
	}
	return out
}

// enter notices a pause of the process. Every event calls it: after a pause, messages may be handled before the first tick.
func (s *State) enter(now time.Time) {
	if now.Sub(s.entered) > s.cfg.Gap {
		s.resume(now)
	}
	s.entered = now
}

// resume drops what the router concluded before a pause of its process.
func (s *State) resume(now time.Time) {
	s.resumed = now
	s.fresh = false
	s.pings = nil
	s.nextSync = now
	s.changed = true
	s.resuspect(now)
}

// timeouts asks others about members that did not answer, and suspects those that nobody reached.
func (s *State) timeouts(now time.Time) []Action {
	var out []Action
	for _, f := range slices.Clone(s.pings) {
		switch {
		case now.Before(f.deadline):
		case !f.indirect:
			out = append(out, s.askOthers(now, f)...)
		default:
			s.land(f.seq)
			out = append(out, s.suspect(now, f)...)
		}
	}
	return out
}

func (s *State) askOthers(now time.Time, f *flight) []Action {
	if f.to.ID == "" {
		s.land(f.seq)
		return nil
	}
	f.indirect = true
	f.deadline = now.Add(2 * s.cfg.Direct)
	out := s.early(now)
	for _, id := range s.pick(s.cfg.Indirect, f.to.ID) {
		out = append(out, Action{Kind: SendProbe, Seq: f.seq, To: s.members[id].Member, Target: f.to})
	}
	return out
}

// early sends a ping before its period, within the limit.
func (s *State) early(now time.Time) []Action {
	if s.burst >= burstLimit {
		return nil
	}
	s.burst++
	if id := s.nextTarget(); id != "" && !s.flying(id) {
		return []Action{s.send(now, s.members[id].Member)}
	}
	return nil
}

func (s *State) suspect(now time.Time, f *flight) []Action {
	e, ok := s.members[f.to.ID]
	doubted := slices.Contains(s.doubts, f.to.ID)
	s.doubts = slices.DeleteFunc(s.doubts, func(id string) bool { return id == f.to.ID })
	if !ok || e.Status != Alive || e.Boot != f.to.Boot || e.Incarnation != f.to.Incarnation {
		return nil
	}
	if !s.connected(now) && !s.delisted(now, e.Address) {
		return nil
	}
	out := s.setSuspect(now, e)
	if doubted {
		out = append(out, s.confirm(now, e.Zone)...)
	}
	return out
}

func (s *State) setSuspect(now time.Time, e *entry) []Action {
	u := e.Member
	u.Status = Suspect
	return s.set(now, e, u)
}

// confirm suspects all doubted members of an availability zone when the reports about two of them proved right in a row:
// checking each of them takes too long when a zone or region is lost. They can still refute.
func (s *State) confirm(now time.Time, zone string) []Action {
	s.confirmed[zone]++
	if s.confirmed[zone] < 2 {
		return nil
	}
	var out []Action
	for _, id := range slices.Clone(s.doubts) {
		if e := s.members[id]; e.Zone == zone && e.Status == Alive {
			out = append(out, s.setSuspect(now, e)...)
		}
	}
	return out
}

// expire removes members that stayed suspect, and forgets members that were removed long ago.
func (s *State) expire(now time.Time) []Action {
	if !s.unsteady {
		return nil
	}
	s.unsteady = false
	var out []Action
	kept := s.list[:0]
	for _, e := range s.list {
		age := now.Sub(e.since)
		if !e.Status.Live() && age >= s.cfg.Keep {
			delete(s.members, e.ID)
			continue
		}
		kept = append(kept, e)
		switch {
		case e.Damped && decayed(now, e) < dampReuse:
			e.Damped = false
			s.changed = true
		case e.Status == Suspect && age >= s.cfg.Suspicion && (s.connected(now) || s.delisted(now, e.Address)):
			u := e.Member
			u.Status = Removed
			out = append(out, s.set(now, e, u)...)
		}
		s.unsteady = s.unsteady || e.Damped || e.Status != Alive
	}
	s.list = kept
	return out
}

// period sends the ping of a period and the pings that check doubtful reports.
func (s *State) period(now time.Time) []Action {
	s.burst = 0
	var out []Action
	for range s.queue.waiting() / MaxUpdates {
		out = append(out, s.early(now)...)
	}
	if id := s.nextTarget(); id != "" {
		out = append(out, s.send(now, s.members[id].Member))
	}
	for _, id := range slices.Clone(s.doubts[:min(doubtsLimit, len(s.doubts))]) {
		if s.flying(id) {
			continue
		}
		out = append(out, s.send(now, s.members[id].Member))
	}
	return out
}

func (s *State) flying(id string) bool {
	return slices.ContainsFunc(s.pings, func(f *flight) bool { return f.to.ID == id })
}

func (s *State) send(now time.Time, to Member) Action {
	s.sent++
	f := &flight{seq: s.sent, to: to, sent: now, deadline: now.Add(s.cfg.Direct)}
	s.pings = append(s.pings, f)
	return Action{Kind: SendPing, Seq: f.seq, To: to, Ping: s.ping(now, to)}
}

// nextTarget goes through the peers in a random order, so that the time until a peer is pinged again is bounded.
func (s *State) nextTarget() string {
	if !s.cfg.Uniform && s.rnd.IntN(s.cfg.Wander) == 0 {
		if ids := s.pick(1, ""); len(ids) == 1 {
			return ids[0]
		}
	}
	for range 2 {
		for len(s.targets) > 0 {
			id := s.targets[0]
			s.targets = s.targets[1:]
			if e, ok := s.members[id]; ok && e.Status.Live() {
				return id
			}
		}
		s.targets = s.Peers()
		s.rnd.Shuffle(len(s.targets), func(i, j int) { s.targets[i], s.targets[j] = s.targets[j], s.targets[i] })
	}
	return ""
}

// Peers returns the IDs of the members that the router pings regularly.
func (s *State) Peers() []string {
	live := s.live("")
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

// position is the place of a member in the order of hashed IDs.
type position struct {
	id   string
	hash uint64
}

func (p position) compare(q position) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.id, q.id))
}

func (s *State) live(except string) []string {
	var out []string
	for _, e := range s.list {
		if e.ID != except && e.Status.Live() {
			out = append(out, e.ID)
		}
	}
	return out
}

// pick returns up to n random live members.
func (s *State) pick(n int, except string) []string {
	live := s.live(except)
	s.rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// contact pings an address at which a router may have come back or started. A router that knows no peer tries several
// addresses each period.
func (s *State) contact(now time.Time) []Action {
	addresses := s.missing()
	s.rnd.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	tries, wait := 1, contactEvery
	if s.alone() {
		tries, wait = s.cfg.Indirect, s.cfg.Period
	}
	s.nextContact = now.Add(wait + s.jitter(wait/4))
	var out []Action
	for _, address := range addresses[:min(tries, len(addresses))] {
		out = append(out, s.send(now, Member{Address: address}))
	}
	return out
}

// missing returns the addresses of removed members and listed instances where no live member is known.
func (s *State) missing() []string {
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
	for _, i := range s.listed {
		if !i.Leaving {
			add(i.Address)
		}
	}
	return out
}
