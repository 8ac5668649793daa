package revision_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/revision"
)

// The fixed seed makes the test reproducible. The command-line flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// activationLimit is the maximum time until a new revision is active on every router (invariant 7).
const activationLimit = 7 * time.Second

// network simulates routers that exchange messages. Time advances in steps of 10 ms, and each
// message takes one step.
type network struct {
	now     time.Time
	rng     *rand.Rand
	ids     []string
	routers map[string]*revision.State
	failed  map[string]bool
	queue   []func()
	// activated holds the revisions that each router activated, including those before a restart.
	activated map[string][]int64
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(seed, 1)),
		routers: map[string]*revision.State{}, failed: map[string]bool{}, activated: map[string][]int64{},
	}
	for i := range size {
		id := fmt.Sprintf("r%03d", i)
		n.ids = append(n.ids, id)
		n.routers[id] = revision.New(revision.Config{}, n.now, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return n
}

// assignRelays spreads the routers over 7 availability zones and makes the first two running
// routers of each zone relays.
func (n *network) assignRelays() {
	zones := make([][]string, 7)
	for i, id := range n.ids {
		if !n.failed[id] {
			zones[i%7] = append(zones[i%7], id)
		}
	}
	for z, members := range zones {
		for rank, id := range members {
			topology := revision.Topology{Relay: rank < 2}
			if topology.Relay {
				topology.Zone = slices.DeleteFunc(slices.Clone(members), func(o string) bool { return o == id })
				for other, m := range zones {
					if other != z {
						topology.Relays = append(topology.Relays, m[:min(2, len(m))]...)
					}
				}
			}
			n.perform(id, n.routers[id].SetTopology(topology))
		}
	}
}

// perform carries out the actions that the state of a router returned.
func (n *network) perform(from string, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.Activated:
			n.activated[from] = append(n.activated[from], a.Manifest.Revision)
		case revision.SendAnnouncement:
			for _, to := range a.To {
				n.queue = append(n.queue, func() {
					if !n.failed[to] {
						n.perform(to, n.routers[to].HandlePeerRevision(n.now, from, a.Announcement.Revision))
					}
				})
			}
		case revision.SendFetch:
			to := a.To[0]
			n.queue = append(n.queue, func() {
				if n.failed[to] {
					return
				}
				reply := n.routers[to].HandleFetch(n.now, a.Fetch)
				n.queue = append(n.queue, func() {
					if !n.failed[from] {
						n.perform(from, n.routers[from].HandleReply(n.now, to, reply))
					}
				})
			})
		}
	}
}

// run advances the time. Once per second, each router exchanges its revision with a random router,
// as pings do.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		messages := n.queue
		n.queue = nil
		for _, deliver := range messages {
			deliver()
		}
		for i, id := range n.ids {
			if n.failed[id] || n.now.UnixMilli()/10%100 != int64(i%100) {
				continue
			}
			n.perform(id, n.routers[id].Tick(n.now))
			peer := n.ids[n.rng.IntN(len(n.ids))]
			if !n.failed[peer] {
				n.perform(id, n.routers[id].HandlePeerRevision(n.now, peer, n.routers[peer].Revision()))
				n.perform(peer, n.routers[peer].HandlePeerRevision(n.now, id, n.routers[id].Revision()))
			}
		}
	}
}

// outdated returns the running routers whose active revision is not rev.
func (n *network) outdated(rev int64) []string {
	var out []string
	for _, id := range n.ids {
		if !n.failed[id] && n.routers[id].Revision() != rev {
			out = append(out, id)
		}
	}
	return out
}

// newRevision returns a revision with count files. The content of the file with the index rev %
// count names the revision. The content of the other files depends only on their index.
func newRevision(rev int64, count int) (revision.Manifest, [][]byte) {
	m := revision.Manifest{Revision: rev}
	var contents [][]byte
	for i := range count {
		content := []byte(fmt.Sprintf("file %d", i))
		if i == int(rev)%count {
			content = append(content, fmt.Sprintf(" of revision %d", rev)...)
		}
		contents = append(contents, content)
		m.Files = append(m.Files, revision.File{Name: fmt.Sprintf("f%02d", i), Digest: revision.Digest(content)})
	}
	return m, contents
}

// load passes revision rev to a router as if it had read it from the object API.
func (n *network) load(id string, rev int64) {
	m, contents := newRevision(rev, 9)
	n.perform(id, n.routers[id].Load(n.now, m, contents))
}

// Guards against a revision that takes too long to reach all of 340 routers, the design maximum. It
// must also arrive in time if relays have failed, by the announcement of a remaining relay or by
// pings.
func TestActiveWithinLimit(t *testing.T) {
	for name, failed := range map[string][]string{
		"all relays running":                nil,
		"one relay of each zone fails":      {"r000", "r001", "r002", "r003", "r004", "r005", "r006"},
		"all relays but the announcer fail": {"r001", "r002", "r003", "r004", "r005", "r006", "r007", "r008", "r009", "r010", "r011", "r012", "r013"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n := newNetwork(340, 1)
			n.assignRelays()
			n.load("r000", 1)
			n.run(activationLimit)
			c.Assert(n.outdated(1), quicktest.HasLen, 0)
			announcer := "r000"
			if slices.Contains(failed, announcer) {
				announcer = "r007"
			}
			for _, id := range failed {
				n.failed[id] = true
			}
			n.load(announcer, 2)
			n.run(activationLimit)
			c.Assert(n.outdated(2), quicktest.HasLen, 0)
		})
	}
}

// Guards against a revision that does not reach all routers if the only router that has read it is
// not a relay and so announces it to nobody. Pings alone must distribute it.
func TestDistributionByPingsOnly(t *testing.T) {
	c := quicktest.New(t)
	n := newNetwork(340, 2)
	n.load("r050", 1)
	n.run(2 * activationLimit)
	c.Assert(n.outdated(1), quicktest.HasLen, 0)
}

// Guards against a restarted router that activates a lower revision than before, when the object
// API returns an older revision or is down.
func TestRestartNeverReverts(t *testing.T) {
	for name, olderRevision := range map[string]bool{"object API down": false, "object API returns an older revision": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n := newNetwork(12, 3)
			n.assignRelays()
			n.load("r000", 1)
			n.run(activationLimit)
			n.load("r000", 2)
			n.run(activationLimit)
			n.routers["r005"] = revision.New(revision.Config{}, n.now, rand.New(rand.NewPCG(9, 9)))
			if olderRevision {
				// The new process reads the older revision before it hears from a peer.
				n.load("r005", 1)
				c.Assert(n.routers["r005"].Revision(), quicktest.Equals, int64(0))
			}
			n.run(activationLimit)
			c.Assert(n.activated["r005"][1:], quicktest.DeepEquals, []int64{2, 2}, quicktest.Commentf("before and after the restart"))
			c.Assert(n.outdated(2), quicktest.HasLen, 0)
		})
	}
}

// Guards against a reply with all files when only some changed, and against one router serving more
// than its rate limit when many routers start at once.
func TestFetchChangedFilesWithinRate(t *testing.T) {
	c := quicktest.New(t)
	a := revision.New(revision.Config{BytesPerSecond: 20}, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	m, contents := newRevision(1, 9)
	a.Load(time.Time{}, m, contents)
	a.Tick(time.Time{}.Add(activationLimit))
	second, changed := newRevision(2, 9)
	c.Assert(a.MissingFiles(second), quicktest.HasLen, 2)
	a.Load(time.Time{}, second, changed)
	reply := a.HandleFetch(time.Time{}.Add(activationLimit), revision.Fetch{Revision: 2, Base: 1, BaseDigest: m.Digest()})
	c.Assert(reply.Base, quicktest.Equals, int64(1))
	c.Assert(reply.Files, quicktest.HasLen, 2)
	c.Assert(reply.Contents, quicktest.HasLen, 2)
	c.Assert(a.HandleFetch(time.Time{}.Add(activationLimit), revision.Fetch{Revision: 2}).Busy, quicktest.IsTrue)
	c.Assert(a.HandleFetch(time.Time{}.Add(activationLimit+time.Second), revision.Fetch{Revision: 2}).Busy, quicktest.IsFalse)
}

// Guards against two revisions with the same number and different content.
func TestConflict(t *testing.T) {
	c := quicktest.New(t)
	s := revision.New(revision.Config{}, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	m, contents := newRevision(1, 2)
	s.Load(time.Time{}, m, contents)
	s.Tick(time.Time{}.Add(activationLimit))
	other, contents := newRevision(2, 2)
	other.Revision = 1
	actions := s.Load(time.Time{}, other, contents)
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].Kind, quicktest.Equals, revision.Conflict)
}

// Guards against an active revision that decreases or lacks file contents, for any order of events
// from peers and the object API. The test compares it with the highest revision that has been
// active so far.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		peer := revision.New(revision.Config{}, now, rand.New(rand.NewPCG(1, 1)))
		s := revision.New(revision.Config{}, now, rand.New(rand.NewPCG(2, 2)))
		var pending []revision.Action
		highest := int64(0)
		check := func(actions []revision.Action) {
			for _, a := range actions {
				if a.Kind == revision.Activated && a.Manifest.Revision <= highest {
					t.Fatalf("revision %d activated after %d", a.Manifest.Revision, highest)
				}
				if a.Kind == revision.SendFetch {
					pending = append(pending, a)
				}
			}
			if s.Revision() < highest {
				t.Fatalf("revision %d is active after %d", s.Revision(), highest)
			}
			highest = s.Revision()
			for _, f := range s.Manifest().Files {
				if _, ok := s.Content(f.Digest); !ok {
					t.Fatalf("revision %d is active without the content of %s", highest, f.Name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"object API": func(t *rapid.T) {
				m, contents := newRevision(rapid.Int64Range(1, 9).Draw(t, "revision"), 4)
				check(s.Load(now, m, contents[:rapid.IntRange(0, 4).Draw(t, "contents")]))
			},
			"peer": func(t *rapid.T) {
				m, contents := newRevision(rapid.Int64Range(1, 9).Draw(t, "revision"), 4)
				peer.Load(now, m, contents)
				check(s.HandlePeerRevision(now, "p", rapid.Int64Range(0, 9).Draw(t, "heard")))
			},
			"reply": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no fetch is pending")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				check(s.HandleReply(now, pending[i].To[0], peer.HandleFetch(now, pending[i].Fetch)))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
				check(s.Tick(now))
			},
		})
	})
}
