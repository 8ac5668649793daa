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

// The seed is fixed so that the verdict never varies; the flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// inForce is invariant 7: a revision is in force on every router within 7 s.
const inForce = 7 * time.Second

// network delivers messages between states in steps of 10 ms; each message takes one step.
type network struct {
	now   time.Time
	rnd   *rand.Rand
	ids   []string
	nodes map[string]*revision.State
	dead  map[string]bool
	queue []func()
	// applied holds the revisions that each router put in force, over its restarts.
	applied map[string][]int64
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*revision.State{}, dead: map[string]bool{}, applied: map[string][]int64{},
	}
	for i := range size {
		id := fmt.Sprintf("r%03d", i)
		n.ids = append(n.ids, id)
		n.nodes[id] = revision.New(revision.Config{}, n.now, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return n
}

// place makes the first two running members of each of 7 availability zones relays.
func (n *network) place() {
	zones := make([][]string, 7)
	for i, id := range n.ids {
		if !n.dead[id] {
			zones[i%7] = append(zones[i%7], id)
		}
	}
	for z, members := range zones {
		for rank, id := range members {
			p := revision.Place{Relay: rank < 2}
			if p.Relay {
				p.Zone = slices.DeleteFunc(slices.Clone(members), func(o string) bool { return o == id })
				for other, m := range zones {
					if other != z {
						p.Relays = append(p.Relays, m[:min(2, len(m))]...)
					}
				}
			}
			n.do(id, n.nodes[id].Place(p))
		}
	}
}

func (n *network) do(from string, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.Apply:
			n.applied[from] = append(n.applied[from], a.Manifest.Revision)
		case revision.SendAnnounce:
			for _, to := range a.To {
				n.queue = append(n.queue, func() {
					if !n.dead[to] {
						n.do(to, n.nodes[to].Heard(n.now, from, a.Announce.Revision))
					}
				})
			}
		case revision.SendFetch:
			to := a.To[0]
			n.queue = append(n.queue, func() {
				if n.dead[to] {
					return
				}
				reply := n.nodes[to].Handle(n.now, a.Fetch)
				n.queue = append(n.queue, func() {
					if !n.dead[from] {
						n.do(from, n.nodes[from].Fetched(n.now, to, reply))
					}
				})
			})
		}
	}
}

// run advances the time; each node hears the revision of a random node each second.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		messages := n.queue
		n.queue = nil
		for _, deliver := range messages {
			deliver()
		}
		for i, id := range n.ids {
			if n.dead[id] || n.now.UnixMilli()/10%100 != int64(i%100) {
				continue
			}
			n.do(id, n.nodes[id].Tick(n.now))
			peer := n.ids[n.rnd.IntN(len(n.ids))]
			if !n.dead[peer] {
				n.do(id, n.nodes[id].Heard(n.now, peer, n.nodes[peer].Revision()))
				n.do(peer, n.nodes[peer].Heard(n.now, id, n.nodes[id].Revision()))
			}
		}
	}
}

func (n *network) behind(rev int64) []string {
	var out []string
	for _, id := range n.ids {
		if !n.dead[id] && n.nodes[id].Revision() != rev {
			out = append(out, id)
		}
	}
	return out
}

func files(rev int64, count int) (revision.Manifest, [][]byte) {
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

func (n *network) load(id string, rev int64) {
	m, contents := files(rev, 9)
	n.do(id, n.nodes[id].Load(n.now, m, contents))
}

// Guards against revisions that are late at the size to design for, with all relays well, and with relays that die at once
// after they read the new head, so that only one relay's announcement or the pings spread it.
func TestInForceInTime(t *testing.T) {
	for name, dead := range map[string][]string{
		"all well":                         nil,
		"one relay of each zone dies":      {"r000", "r001", "r002", "r003", "r004", "r005", "r006"},
		"all relays but the announcer die": {"r001", "r002", "r003", "r004", "r005", "r006", "r007", "r008", "r009", "r010", "r011", "r012", "r013"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n := newNetwork(340, 1)
			n.place()
			n.load("r000", 1)
			n.run(inForce)
			c.Assert(n.behind(1), quicktest.HasLen, 0)
			announcer := "r000"
			if slices.Contains(dead, announcer) {
				announcer = "r007"
			}
			for _, id := range dead {
				n.dead[id] = true
			}
			n.load(announcer, 2)
			n.run(inForce)
			c.Assert(n.behind(2), quicktest.HasLen, 0)
		})
	}
}

// Guards against a revision that one relay learned and told nobody of before it died, except one ping.
func TestSpreadByPingsAlone(t *testing.T) {
	c := quicktest.New(t)
	n := newNetwork(340, 2)
	n.load("r050", 1)
	n.run(2 * inForce)
	c.Assert(n.behind(1), quicktest.HasLen, 0)
}

// Guards against a lower revision after a restart, where the object API's read lags or is down, and where peers are behind.
func TestRestartNeverReverts(t *testing.T) {
	for name, lagging := range map[string]bool{"object API down": false, "object API lags": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n := newNetwork(12, 3)
			n.place()
			n.load("r000", 1)
			n.run(inForce)
			n.load("r000", 2)
			n.run(inForce)
			n.nodes["r005"] = revision.New(revision.Config{}, n.now, rand.New(rand.NewPCG(9, 9)))
			if lagging {
				// The first thing that the new process learns is the older revision.
				n.load("r005", 1)
				c.Assert(n.nodes["r005"].Revision(), quicktest.Equals, int64(0))
			}
			n.run(inForce)
			c.Assert(n.applied["r005"][1:], quicktest.DeepEquals, []int64{2, 2}, quicktest.Commentf("before and after the restart"))
			c.Assert(n.behind(2), quicktest.HasLen, 0)
		})
	}
}

// Guards against whole copies where one file changed, and against a herd that one router serves alone.
func TestFetchOfChangedFilesWithinBudget(t *testing.T) {
	c := quicktest.New(t)
	a := revision.New(revision.Config{Rate: 20}, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	m, contents := files(1, 9)
	a.Load(time.Time{}, m, contents)
	a.Tick(time.Time{}.Add(inForce))
	second, changed := files(2, 9)
	c.Assert(a.Missing(second), quicktest.HasLen, 2)
	a.Load(time.Time{}, second, changed)
	reply := a.Handle(time.Time{}.Add(inForce), revision.Fetch{Revision: 2, Base: 1, Known: m.Digest()})
	c.Assert(reply.Base, quicktest.Equals, int64(1))
	c.Assert(reply.Files, quicktest.HasLen, 2)
	c.Assert(reply.Contents, quicktest.HasLen, 2)
	c.Assert(a.Handle(time.Time{}.Add(inForce), revision.Fetch{Revision: 2}).Busy, quicktest.IsTrue)
	c.Assert(a.Handle(time.Time{}.Add(inForce+time.Second), revision.Fetch{Revision: 2}).Busy, quicktest.IsFalse)
}

// Guards against two contents under one number.
func TestConflict(t *testing.T) {
	c := quicktest.New(t)
	s := revision.New(revision.Config{}, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	m, contents := files(1, 2)
	s.Load(time.Time{}, m, contents)
	s.Tick(time.Time{}.Add(inForce))
	other, contents := files(2, 2)
	other.Revision = 1
	actions := s.Load(time.Time{}, other, contents)
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].Kind, quicktest.Equals, revision.Conflict)
}

// Guards against a revision that reverts or is incomplete, whatever peers and the object API say in whatever order. The oracle
// is the highest revision in force so far.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		peer := revision.New(revision.Config{}, now, rand.New(rand.NewPCG(1, 1)))
		s := revision.New(revision.Config{}, now, rand.New(rand.NewPCG(2, 2)))
		var pending []revision.Action
		highest := int64(0)
		take := func(actions []revision.Action) {
			for _, a := range actions {
				if a.Kind == revision.Apply && a.Manifest.Revision <= highest {
					t.Fatalf("revision %d in force after %d", a.Manifest.Revision, highest)
				}
				if a.Kind == revision.SendFetch {
					pending = append(pending, a)
				}
			}
			if s.Revision() < highest {
				t.Fatalf("revision %d after %d", s.Revision(), highest)
			}
			highest = s.Revision()
			for _, f := range s.Manifest().Files {
				if _, ok := s.Content(f.Digest); !ok {
					t.Fatalf("revision %d in force without %s", highest, f.Name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"object API": func(t *rapid.T) {
				m, contents := files(rapid.Int64Range(1, 9).Draw(t, "revision"), 4)
				take(s.Load(now, m, contents[:rapid.IntRange(0, 4).Draw(t, "contents")]))
			},
			"peer": func(t *rapid.T) {
				m, contents := files(rapid.Int64Range(1, 9).Draw(t, "revision"), 4)
				peer.Load(now, m, contents)
				take(s.Heard(now, "p", rapid.Int64Range(0, 9).Draw(t, "heard")))
			},
			"reply": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("nothing asked")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				take(s.Fetched(now, pending[i].To[0], peer.Handle(now, pending[i].Fetch)))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
				take(s.Tick(now))
			},
		})
	})
}
