// Package reach determines whether a router has lost its path to the backend servers of a service,
// and through which other router it reaches them.
//
// A router can't tell from one server that it does not reach whether the server or its own path has
// failed. If it can't connect to several servers of a service, and to none in between, the path has
// most likely failed; see Tracker. Other routers usually still reach the servers then, so requests
// go through one of them; see ChoosePeer.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings are the thresholds of a Tracker.
type Settings struct {
	// Quorum is the number of servers to which connections must fail before the path to their
	// service counts as lost. All servers count if the service has fewer.
	Quorum int
	// ConfirmAfter is the minimum time from the first of these failures, so that probes of other
	// servers can succeed. Failures count for FailureTTL.
	ConfirmAfter, FailureTTL time.Duration
	// SilentAfter is the time without any data from the servers of a service after which servers
	// are probed, although requests wait for them.
	SilentAfter time.Duration
	// ProbeInterval is the time between two rounds of probes.
	ProbeInterval time.Duration
	// SettleTime is how long connections must succeed until a lost path counts as regained.
	SettleTime time.Duration
}

// DefaultSettings returns the default settings. A connection takes a few milliseconds, and an
// attempt to connect ends within a fraction of a second.
func DefaultSettings() Settings {
	return Settings{
		Quorum: 3, ConfirmAfter: 100 * time.Millisecond, FailureTTL: 2 * time.Second, SilentAfter: 400 * time.Millisecond,
		ProbeInterval: 250 * time.Millisecond, SettleTime: 200 * time.Millisecond,
	}
}

// Server is a backend server.
type Server struct{ Service, Address string }

// Change is a path that was lost or regained.
type Change struct {
	Service string
	Lost    bool
	// Unreached is the number of servers to which the latest connection failed, of all servers of
	// the service. Since is the time since the path was lost, or since the first of the failures
	// that led to the loss.
	Unreached, Servers int
	Since              time.Duration
}

// Tracker tracks the paths from one router to the servers of all services. It is not safe for
// concurrent use.
type Tracker struct {
	settings Settings
	services map[string]*service
	// serviceOf holds the service of each address.
	serviceOf map[string]string
}

// service is the path to the servers of one service.
type service struct {
	// addresses is sorted; next is the index of the one to probe next.
	addresses []string
	next      int
	// dials holds the result of the latest connection to each address.
	dials map[string]dial
	// failingSince is the time of the first failure since the latest success; zero if there is
	// none.
	failingSince time.Time
	// lostAt is when the path was lost; zero if it is not. settlingSince is the time of the first
	// success since the latest failed round of probes of a lost path.
	lostAt, settlingSince time.Time
	// waiting is the number of requests that wait for data, waitingSince when it was last zero, and
	// lastData when the latest data arrived.
	waiting                int
	waitingSince, lastData time.Time
	probedAt               time.Time
}

// dial is the result of an attempt to connect.
type dial struct {
	at time.Time
	ok bool
}

// New returns a tracker that knows no servers.
func New(s Settings) *Tracker {
	return &Tracker{settings: s, services: map[string]*service{}, serviceOf: map[string]string{}}
}

// SetServers replaces the list of servers.
func (t *Tracker) SetServers(servers []Server) {
	addresses := map[string][]string{}
	t.serviceOf = map[string]string{}
	for _, s := range servers {
		addresses[s.Service] = append(addresses[s.Service], s.Address)
		t.serviceOf[s.Address] = s.Service
	}
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return len(addresses[name]) == 0 })
	for name, list := range addresses {
		s := t.services[name]
		if s == nil {
			s = &service{dials: map[string]dial{}}
			t.services[name] = s
		}
		slices.Sort(list)
		s.addresses = list
		maps.DeleteFunc(s.dials, func(address string, _ dial) bool { return t.serviceOf[address] != name })
	}
}

// RecordDial records whether a connection to a server could be established, and returns the change
// that follows from it.
func (t *Tracker) RecordDial(now time.Time, address string, ok bool) []Change {
	name, known := t.serviceOf[address]
	if !known {
		return nil
	}
	s := t.services[name]
	s.dials[address] = dial{now, ok}
	switch {
	case ok:
		s.failingSince = time.Time{}
		if s.settlingSince.IsZero() {
			s.settlingSince = now
		}
	case s.failingSince.IsZero():
		s.failingSince = now
		// Other servers are probed at once.
		s.probedAt = time.Time{}
	}
	return t.update(now, name, s)
}

// RecordWaiting records that n more requests wait for data of a service; n is negative for requests
// that have ended.
func (t *Tracker) RecordWaiting(now time.Time, name string, n int) {
	s := t.services[name]
	if s == nil {
		return
	}
	if s.waiting == 0 {
		s.waitingSince = now
	}
	// Requests that began before the service was removed and listed again are not counted.
	s.waiting = max(0, s.waiting+n)
}

// RecordData records that data of a server of a service has arrived.
func (t *Tracker) RecordData(now time.Time, name string) {
	if s := t.services[name]; s != nil {
		s.lastData = now
	}
}

// Tick returns the addresses to probe now, and the paths that were lost or regained. The caller
// must report the results of the probes to RecordDial.
func (t *Tracker) Tick(now time.Time) (probes []string, changes []Change) {
	for name, s := range t.services {
		changes = append(changes, t.update(now, name, s)...)
		isSuspect := !s.lostAt.IsZero() || !s.failingSince.IsZero() && now.Sub(s.failingSince) <= t.settings.FailureTTL || t.isSilent(now, s)
		if isSuspect && now.Sub(s.probedAt) >= t.settings.ProbeInterval {
			s.probedAt = now
			probes = append(probes, t.nextProbes(s)...)
		}
	}
	slices.Sort(probes)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return probes, changes
}

// isSilent reports whether requests wait, and no server of the service has sent any data.
func (t *Tracker) isSilent(now time.Time, s *service) bool {
	return s.waiting > 0 && now.Sub(s.waitingSince) >= t.settings.SilentAfter && now.Sub(s.lastData) >= t.settings.SilentAfter
}

// nextProbes returns the addresses for a round of probes.
func (t *Tracker) nextProbes(s *service) []string {
	var out []string
	for range t.quorum(s) {
		out = append(out, s.addresses[s.next%len(s.addresses)])
		s.next++
	}
	return out
}

func (t *Tracker) quorum(s *service) int { return min(t.settings.Quorum, len(s.addresses)) }

// update decides whether a path is lost or regained.
func (t *Tracker) update(now time.Time, name string, s *service) []Change {
	if !s.lostAt.IsZero() {
		return t.updateLost(now, name, s)
	}
	if s.failingSince.IsZero() || now.Sub(s.failingSince) < t.settings.ConfirmAfter {
		return nil
	}
	_, failed := s.results(later(now.Add(-t.settings.FailureTTL), s.failingSince))
	if failed < t.quorum(s) {
		return nil
	}
	s.lostAt, s.settlingSince = now, time.Time{}
	return []Change{{Service: name, Lost: true, Unreached: failed, Servers: len(s.addresses), Since: now.Sub(s.failingSince)}}
}

// updateLost decides whether a lost path is regained. One server that accepts connections shows that
// it is, because the others may have failed.
func (t *Tracker) updateLost(now time.Time, name string, s *service) []Change {
	succeeded, failed := s.results(later(now.Add(-t.settings.FailureTTL), s.lostAt))
	if succeeded == 0 {
		s.settlingSince = time.Time{}
		return nil
	}
	if s.settlingSince.IsZero() || now.Sub(s.settlingSince) < t.settings.SettleTime {
		return nil
	}
	change := Change{Service: name, Unreached: failed, Servers: len(s.addresses), Since: now.Sub(s.lostAt)}
	s.lostAt, s.failingSince = time.Time{}, time.Time{}
	return []Change{change}
}

// results returns to how many servers the latest connection since the given time succeeded, and to
// how many it failed.
func (s *service) results(since time.Time) (succeeded, failed int) {
	for _, d := range s.dials {
		switch {
		case d.at.Before(since):
		case d.ok:
			succeeded++
		default:
			failed++
		}
	}
	return succeeded, failed
}

// IsLost reports whether the path to the servers of a service is lost.
func (t *Tracker) IsLost(name string) bool {
	s := t.services[name]
	return s != nil && !s.lostAt.IsZero()
}

// Lost returns the services to which the path is lost, sorted.
func (t *Tracker) Lost() []string {
	var out []string
	for name, s := range t.services {
		if !s.lostAt.IsZero() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
