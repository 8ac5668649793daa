package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/roster"
)

// snapshotInEra returns a snapshot of servers, whose IDs in lower case are those of running servers
// and in upper case those of draining ones.
func snapshotInEra(era, number int64, ids string) roster.Snapshot {
	s := roster.Snapshot{Revision: roster.Revision{Era: era, Number: number}}
	for _, id := range ids {
		leaving := id >= 'A' && id <= 'Z'
		if leaving {
			id += 'a' - 'A'
		}
		s.Servers = append(s.Servers, roster.Server{ID: string(id), Born: 1, Leaving: leaving})
	}
	return s
}

// usedIDs returns the IDs of the servers that are not draining.
func usedIDs(r *roster.Roster) string {
	out := ""
	for _, s := range r.Servers() {
		if !s.Leaving {
			out += s.ID
		}
	}
	return out
}

// Guards against servers that a registry restored from a copy some seconds old gets wrong: those
// that it lacks although they run, those that have ended since, and those that drain.
func TestRestoredRegistry(t *testing.T) {
	for name, test := range map[string]struct {
		before, restored string
		// atOnce, afterReturn and afterExpiry are the servers in use right after the restore, after
		// the entries of running servers must be back, and after those of ended servers must have
		// expired. Neither happens in these cases.
		atOnce, afterReturn, afterExpiry string
	}{
		"copy lacks a running server": {"abc", "ab", "abc", "ab", "ab"},
		"copy lists an ended server":  {"ab", "abc", "ab", "ab", "abc"},
		"copy lists a draining one":   {"abC", "abc", "ab", "ab", "ab"},
		"copy lacks a draining one":   {"abC", "ab", "ab", "ab", "ab"},
		"copy is empty":               {"ab", "", "ab", "", ""},
		"same servers":                {"ab", "ab", "ab", "ab", "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
			r.RecordResponse(at(0))
			c.Assert(r.Update(at(0), snapshotInEra(1, 500, test.before)), qt.IsTrue)
			r.RecordResponse(at(1000))
			c.Assert(r.Update(at(1000), snapshotInEra(2, 400, test.restored)), qt.IsTrue)
			c.Assert(r.Update(at(1000), snapshotInEra(1, 501, "xyz")), qt.IsFalse, qt.Commentf("list of the former era"))
			c.Assert(usedIDs(r), qt.Equals, test.atOnce)
			r.RecordResponse(at(3100))
			r.Tick(at(3100))
			c.Assert(usedIDs(r), qt.Equals, test.afterReturn)
			r.RecordResponse(at(6000))
			r.Tick(at(6000))
			c.Assert(usedIDs(r), qt.Equals, test.afterExpiry)
		})
	}
}

// Guards against a server that starts again under its ID and counts as draining, because its former
// process was.
func TestRestartedServerIsNotDraining(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.Update(at(0), snapshotInEra(1, 1, "aB"))
	next := snapshotInEra(2, 1, "ab")
	next.Servers[1].Born = 2
	r.Update(at(100), next)
	r.Tick(at(100))
	c.Assert(usedIDs(r), qt.Equals, "ab")
}
