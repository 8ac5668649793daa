package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/roster"
)

// listOf returns a server of the service "pool" for each version.
func listOf(versions ...string) []roster.Server {
	var out []roster.Server
	for _, v := range versions {
		out = append(out, roster.Server{ID: v, Service: "pool", Version: v})
	}
	return out
}

// registryHistory is the history in a registry that several recorders share.
type registryHistory struct {
	era    int64
	stored *roster.History
	writes int
}

// update does what a router does after each poll of the registry.
func (h *registryHistory) update(r *roster.Recorder, now time.Time, versions ...string) {
	servers := listOf(versions...)
	if !r.NeedsUpdate(now, h.era, servers) {
		return
	}
	r.Read(now, roster.Revision{Era: h.era, Number: int64(h.writes)})
	next, changed := r.Next(now, h.era, servers, h.stored)
	if changed {
		h.stored = &next
		h.writes++
		r.Written(roster.Revision{Era: h.era, Number: int64(h.writes)})
	}
	r.Confirm(now, next, servers)
}

// Guards against versions that are missing from the history while streams may be in progress at
// them, and against versions that stay in it forever.
func TestHistoryRetention(t *testing.T) {
	c := qt.New(t)
	var h registryHistory
	a, b := &roster.Recorder{IsFirstStart: true}, &roster.Recorder{IsFirstStart: true}
	step := func(seconds int, versions ...string) {
		for _, r := range []*roster.Recorder{a, b} {
			h.update(r, at(1000*seconds), versions...)
		}
	}
	step(0, "v1")
	c.Assert(h.stored.Settled, qt.IsTrue)
	step(1, "v1", "v2")
	step(5, "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v1", "v2"})
	c.Assert(h.writes, qt.Equals, 3)
	step(100, "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v1", "v2"})
	step(126, "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v2"})
	step(127, "v2", "v1")
	c.Assert(h.stored.HasServers(roster.ServiceVersion{Service: "pool", Version: "v1"}), qt.IsTrue)
}

// Guards against a version that a paused router removes although its servers have returned: the
// removal must be written on condition that the history is the one that was read.
func TestVersionReturnsBeforeItsRemoval(t *testing.T) {
	c := qt.New(t)
	var h registryHistory
	paused, other := &roster.Recorder{IsFirstStart: true}, &roster.Recorder{}
	h.update(paused, at(0), "v1", "v2")
	h.update(other, at(0), "v1", "v2")
	h.update(paused, at(1000), "v2")
	h.update(other, at(1000), "v2")
	read := *h.stored
	removal, changed := paused.Next(at(125_000), 0, listOf("v2"), &read)
	c.Assert(changed, qt.IsTrue)
	c.Assert(removal.VersionsOf("pool"), qt.DeepEquals, []string{"v2"})
	// The other router sees the version return, and so changes the history that was read.
	before := h.writes
	h.update(other, at(124_000), "v1", "v2")
	c.Assert(h.writes, qt.Equals, before+1)
}

// Guards against a version that a paused router removes too soon, because its servers returned and left again meanwhile.
func TestVersionLeavesAgainBeforeItsRemoval(t *testing.T) {
	c := qt.New(t)
	var h registryHistory
	paused, other := &roster.Recorder{IsFirstStart: true}, &roster.Recorder{}
	for _, r := range []*roster.Recorder{paused, other} {
		h.update(r, at(0), "v1", "v2")
		h.update(r, at(1000), "v2")
	}
	h.update(other, at(60_000), "v1", "v2")
	h.update(other, at(115_000), "v2")
	h.update(paused, at(125_000), "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v1", "v2"})
	h.update(other, at(236_000), "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v2"})
}

// Guards against a version that a router uses although another one has removed it from the history while this one was paused.
func TestPausedRouterUsesRecordedVersionsOnly(t *testing.T) {
	c := qt.New(t)
	var h registryHistory
	paused, other := &roster.Recorder{IsFirstStart: true}, &roster.Recorder{}
	for _, r := range []*roster.Recorder{paused, other} {
		h.update(r, at(0), "v1", "v2")
	}
	h.update(other, at(1000), "v2")
	h.update(other, at(125_000), "v2")
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v2"})
	// The servers of v1 have returned when the paused router looks again.
	h.update(paused, at(126_000), "v1", "v2")
	c.Assert(paused.Allowed(listOf("v1", "v2")), qt.HasLen, 2)
	c.Assert(h.stored.HasServers(roster.ServiceVersion{Service: "pool", Version: "v1"}), qt.IsTrue)
}

// Guards against a history that counts as complete although it lacks a version that was used while it could not be written.
func TestHistoryHasVersionThatWasUsed(t *testing.T) {
	for name, test := range map[string]struct{ recorded, want []string }{
		"no history":  {nil, []string{"v2", "v3"}},
		"one version": {[]string{"v1"}, []string{"v1", "v2", "v3"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var h registryHistory
			r := &roster.Recorder{IsFirstStart: true}
			if test.recorded != nil {
				h.update(r, at(0), test.recorded...)
			}
			// The registry lists v2, and the history can't be written.
			c.Assert(r.Allowed(listOf("v2")), qt.HasLen, 1)
			h.update(r, at(2000), "v3")
			c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, test.want)
			h.update(r, at(125_000), "v3")
			c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v3"})
		})
	}
}

// Guards against a history that counts as complete although the registry was restored from an older
// copy, or never had one.
func TestHistoryAfterRestore(t *testing.T) {
	c := qt.New(t)
	var h registryHistory
	live := &roster.Recorder{IsFirstStart: true}
	h.update(live, at(0), "v1")
	copied := *h.stored
	h.update(live, at(1000), "v1", "v2")
	h.stored, h.era = &copied, 1

	// A router that knew the history writes it again.
	h.update(live, at(2000), "v2")
	c.Assert(h.stored.Settled, qt.IsTrue)
	c.Assert(h.stored.VersionsOf("pool"), qt.DeepEquals, []string{"v1", "v2"})

	// Routers that have all started since know only the copy.
	h.stored = &copied
	started := &roster.Recorder{}
	h.update(started, at(3000), "v1")
	c.Assert(h.stored.Settled, qt.IsFalse)
	h.update(started, at(60_000), "v1")
	c.Assert(h.stored.Settled, qt.IsFalse)
	h.update(started, at(124_000), "v1")
	c.Assert(h.stored.Settled, qt.IsTrue)

	h.stored = nil
	h.update(&roster.Recorder{}, at(0), "v1")
	c.Assert(h.stored.Settled, qt.IsFalse)
}
