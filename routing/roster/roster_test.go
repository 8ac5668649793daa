package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/roster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func snapshot(revision int64, ids ...string) roster.Snapshot {
	var servers []roster.Server
	for _, id := range ids {
		servers = append(servers, roster.Server{ID: id})
	}
	return roster.Snapshot{Revision: roster.Revision{Number: revision}, Servers: servers}
}

func serverIDs(r *roster.Roster) string {
	out := ""
	for _, s := range r.Servers() {
		out += s.ID
	}
	return out
}

// Guards against using a server after its entry was removed while the registry was available.
func TestRemovedServer(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.RecordResponse(at(0))
	c.Assert(r.Update(at(0), snapshot(5, "a", "b")), qt.IsTrue)
	r.RecordResponse(at(500))
	c.Assert(r.Update(at(500), snapshot(6, "a")), qt.IsTrue)
	c.Assert(serverIDs(r), qt.Equals, "a")
}

// Guards against dropping all servers whose entries expired during an outage, and against using
// them forever.
func TestRetainsServersAfterOutage(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.RecordResponse(at(0))
	r.Update(at(0), snapshot(5, "a", "b", "c"))
	r.RecordResponse(at(8000))
	r.Update(at(8000), snapshot(9, "a"))
	c.Assert(serverIDs(r), qt.Equals, "abc")
	r.RecordResponse(at(9000))
	r.Update(at(9000), snapshot(11, "a", "b"))
	c.Assert(r.Tick(at(9900)), qt.IsFalse)
	c.Assert(serverIDs(r), qt.Equals, "abc")
	r.RecordResponse(at(9950))
	c.Assert(r.Tick(at(10001)), qt.IsTrue)
	c.Assert(serverIDs(r), qt.Equals, "ab")
}

// Guards against retaining a draining server after an outage.
func TestDrainingServerIsNotRetained(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.RecordResponse(at(0))
	next := snapshot(5, "a")
	next.Servers = append(next.Servers, roster.Server{ID: "b", Leaving: true})
	r.Update(at(0), next)
	r.RecordResponse(at(8000))
	r.Update(at(8000), snapshot(9, "a"))
	c.Assert(serverIDs(r), qt.Equals, "a")
}

// Guards against replacing a snapshot by an older one.
func TestIgnoresOlderRevision(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.Update(at(0), snapshot(5, "a"))
	c.Assert(r.Update(at(1), snapshot(4, "b")), qt.IsFalse)
	c.Assert(r.Update(at(1), snapshot(5, "b")), qt.IsFalse)
	c.Assert(serverIDs(r), qt.Equals, "a")
}

// Guards against using a server for seconds after its entry was removed, because a registry watch
// without changes answered a little late or another router had to take over the watch. No entry
// expires within two heartbeats, so such a gap is not an outage.
func TestShortSilenceIsNoOutage(t *testing.T) {
	c := qt.New(t)
	r := roster.New(roster.DefaultSettings(1200 * time.Millisecond))
	r.RecordResponse(at(0))
	r.Update(at(0), snapshot(5, "a", "b"))
	r.RecordResponse(at(2300))
	r.Update(at(2350), snapshot(6, "a"))
	c.Assert(serverIDs(r), qt.Equals, "a")
}
