package member_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/coord/member"
)

const (
	// Routers that start together know each other within half a minute. A lost router is removed
	// within 15 s: the suspicion timeout of 5 s plus the time to detect the loss and spread the
	// update. While a region is partitioned, up to two thirds of all pings are lost, so that
	// removal takes up to twice that time. Regions agree again within a minute after a partition.
	maxJoinTime      = 30 * time.Second
	maxRemovalTime   = 15 * time.Second
	maxPartitionTime = 2 * maxRemovalTime
	maxRejoinTime    = time.Minute
)

func startFleet(c *quicktest.C, size int, seed uint64) (*network, []member.Instance) {
	n := newNetwork(seed)
	list := n.addFleet(size)
	took := n.runUntil(maxJoinTime, n.converged)
	c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("%d members do not know each other after %s", size, maxJoinTime))
	c.Logf("%d members: joined in %s", size, took)
	n.assertNoRemovals(c, 20*time.Second)
	return n, list
}

// assertNoRemovals fails if a running member is removed within d.
func (n *network) assertNoRemovals(c *quicktest.C, d time.Duration) {
	n.run(d)
	for _, x := range n.nodes {
		c.Assert(x.removed, quicktest.HasLen, 0, quicktest.Commentf("%s removed a running member", x.self.ID))
	}
}

// Guards against killed members that stay in the views, and against the removal of running members.
func TestKillAndRestart(t *testing.T) {
	for name, size := range map[string]int{"6 members": 6, "340 members": 340} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			n, list := startFleet(c, size, 1)
			n.assertNoRemovals(c, time.Minute)
			n.nodes[2].dead = true
			took := n.runUntil(maxRemovalTime, n.converged)
			c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("killed member is still known after %s", maxRemovalTime))
			c.Logf("removed everywhere in %s", took)
			n.add(2, list)
			took = n.runUntil(maxRemovalTime, n.converged)
			c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("restarted member is not known after %s", maxRemovalTime))
			c.Logf("restarted member known in %s", took)
		})
	}
}

// Guards against peers that take a restarted router for an older process because its clock was set
// back.
func TestRestartWithClockBehind(t *testing.T) {
	c := quicktest.New(t)
	n, list := startFleet(c, 6, 13)
	n.nodes[2].dead = true
	c.Assert(n.runUntil(maxRemovalTime, n.converged) > 0, quicktest.IsTrue)
	n.bootSkew = -time.Hour
	restarted := n.add(2, list)
	took := n.runUntil(maxRemovalTime, n.converged)
	c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("restarted member is not known after %s", maxRemovalTime))
	c.Assert(restarted.superseded, quicktest.IsFalse)
}

// Guards against an old process that stays in the views after a new one started at its address, and
// against a new process that is known under another ID.
func TestImmediateRestartAtSameAddress(t *testing.T) {
	c := quicktest.New(t)
	n, list := startFleet(c, 8, 2)
	old := n.nodes[3]
	old.dead = true
	restarted := n.add(3, list)
	took := n.runUntil(maxRemovalTime, func(_ *node, v *member.View) bool {
		m, ok := v.Find("r003")
		return ok && m.Boot == restarted.self.Boot && m.Status == member.Alive
	})
	c.Assert(took > 0, quicktest.IsTrue)
}

// Guards against a router that stays in the view although a router with another ID answers at its
// address. The boot ID of the other router is lower because its clock is behind.
func TestAddressReusedByOtherIDWithClockBehind(t *testing.T) {
	c := quicktest.New(t)
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s := member.New(member.Config{Self: member.Member{ID: "a", Boot: 1, Address: "a:1"}}, now, rand.New(rand.NewPCG(1, 2)))
	s.HandlePing(now, member.Ping{From: member.Member{ID: "b", Boot: 5, Address: "x:1"}})
	now = now.Add(member.DefaultPeriod)
	for _, action := range s.Tick(now) {
		if action.To.ID == "b" {
			s.HandleAck(now, action.Seq, member.Ack{From: member.Member{ID: "c", Boot: 2, Address: "x:1"}})
		}
	}
	_, old := s.View(now).Find("b")
	_, other := s.View(now).Find("c")
	c.Assert([]bool{old, other}, quicktest.DeepEquals, []bool{false, true})
}

// Guards against the removal of a member that one other member cannot reach: indirect probes must
// reach it.
func TestFailedLinkBetweenTwoMembers(t *testing.T) {
	for name, drops := range map[string]func(n *network) func(a, b *node) bool{
		"one direction": func(n *network) func(a, b *node) bool {
			return func(a, b *node) bool { return a == n.nodes[1] && b == n.nodes[4] }
		},
		"both directions": func(n *network) func(a, b *node) bool {
			return func(a, b *node) bool {
				return (a == n.nodes[1] && b == n.nodes[4]) || (a == n.nodes[4] && b == n.nodes[1])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			n, _ := startFleet(c, 12, 3)
			n.drops = drops(n)
			n.run(5 * time.Minute)
			for _, x := range n.nodes {
				c.Assert(x.removed, quicktest.HasLen, 0, quicktest.Commentf("%s removed a member", x.self.ID))
				c.Assert(x.View(n.now).Trusted, quicktest.IsTrue)
			}
		})
	}
}

// Guards against a lost availability zone that stays in the views. With seeds 104, 304 and 404 the
// zone was still known after the limit when the members of a zone were not yet checked together.
func TestZoneLoss(t *testing.T) {
	for _, seed := range []uint64{4, 104, 304, 404} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			n, _ := startFleet(c, 340, seed)
			for _, x := range n.nodes {
				x.dead = x.self.Zone == "z4"
			}
			took := n.runUntil(maxRemovalTime, n.converged)
			c.Assert(took > 0, quicktest.IsTrue)
			c.Logf("zone removed in %s", took)
		})
	}
}

// Guards against the removal of running members when a few other members of their availability zone
// are lost.
func TestPartialZoneLoss(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	n, _ := startFleet(c, 70, 13)
	lost := map[string]bool{}
	for _, x := range n.nodes {
		if x.self.Zone == "z4" && len(lost) < 4 {
			x.dead = true
			lost[x.self.ID] = true
		}
	}
	c.Assert(n.runUntil(maxRemovalTime, n.converged) > 0, quicktest.IsTrue)
	for _, x := range n.nodes {
		for id := range x.removed {
			c.Assert(lost[id], quicktest.IsTrue, quicktest.Commentf("%s removed %s", x.self.ID, id))
		}
	}
}

// Guards against regions that do not find each other again after a partition, and against members
// that a region removes because of updates from the other one.
func TestRegionPartition(t *testing.T) {
	for name, partition := range map[string]struct {
		size     int
		duration time.Duration
	}{
		"8 members for an hour":  {8, time.Hour},
		"40 members for an hour": {40, time.Hour},
		// After two minutes all reports of removals are older than the suspicion timeout. A whole
		// hour would only take longer to simulate.
		"340 members for two minutes": {340, 2 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			size := partition.size
			n, _ := startFleet(c, size, 5)
			n.drops = func(a, b *node) bool { return (a.self.Region == "g0") != (b.self.Region == "g0") }
			took := n.runUntil(maxPartitionTime, func(x *node, v *member.View) bool {
				return v.Trusted && !slices.ContainsFunc(v.Members, func(m member.Member) bool {
					return (m.Region == "g0") != (x.self.Region == "g0")
				})
			})
			c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("partitioned regions still list each other after %s", maxPartitionTime))
			c.Logf("%d members: partition detected in %s", size, took)
			n.run(partition.duration - took)
			removals := map[string]int{}
			n.drops = func(_, _ *node) bool { return false }
			for _, x := range n.nodes {
				x.removed = map[string]int{}
			}
			took = n.runUntil(maxRejoinTime, n.converged)
			for _, x := range n.nodes {
				for id := range x.removed {
					removals[id]++
				}
			}
			c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("regions do not agree after %s", maxRejoinTime))
			c.Assert(removals, quicktest.HasLen, 0, quicktest.Commentf("running members were removed while the regions rejoined"))
			c.Logf("%d members: agree again in %s", size, took)
		})
	}
}

// Guards against regions that find each other after a partition only by the instance list, which
// may be incomplete.
func TestRejoinWithoutInstanceList(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 8, 16)
	for _, x := range n.nodes {
		x.UpdateInstances(n.now, nil)
	}
	n.drops = func(a, b *node) bool { return (a.self.Region == "g0") != (b.self.Region == "g0") }
	n.run(2 * time.Minute)
	n.drops = func(_, _ *node) bool { return false }
	took := n.runUntil(maxRejoinTime, n.converged)
	c.Assert(took > 0, quicktest.IsTrue, quicktest.Commentf("regions do not agree after %s", maxRejoinTime))
}

// Guards against the removal of a member that does not answer for less than the suspicion timeout.
func TestShortSilenceKeepsMember(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 12, 14)
	n.nodes[5].paused = true
	n.run(member.DefaultSuspicionTimeout - time.Second)
	n.nodes[5].paused = false
	n.assertNoRemovals(c, maxRemovalTime)
}

// Guards against suspicion of a member that only one other member cannot reach: indirect probes
// must reach it.
func TestIndirectProbesPreventSuspicion(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 12, 15)
	n.drops = func(a, b *node) bool { return a == n.nodes[2] && b == n.nodes[3] || a == n.nodes[7] && b == n.nodes[1] }
	for range 600 {
		n.run(100 * time.Millisecond)
		for _, x := range n.nodes {
			c.Assert(hasSuspect(x.View(n.now)), quicktest.IsFalse, quicktest.Commentf("at %s", x.self.ID))
		}
	}
}

// Guards against a router that relies on its old ownership after a pause of its process, when the
// ownership has moved.
func TestPausedRouterIsNotTrusted(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 12, 6)
	x := n.nodes[5]
	x.paused = true
	n.run(maxRemovalTime)
	// A message is handled before the first tick after the pause.
	ack, _ := x.HandlePing(n.now, n.nodes[0].ProbePing(n.now, x.self))
	c.Assert(ack.From.ID, quicktest.Equals, "r005")
	c.Assert(x.View(n.now).Trusted, quicktest.IsFalse)
	x.paused = false
	took := n.runUntil(maxRemovalTime, n.converged)
	c.Assert(took > 0, quicktest.IsTrue)
	c.Assert(x.removed, quicktest.HasLen, 0, quicktest.Commentf("the resumed router removed running members"))
}

// Guards against an isolated router that removes the others or relies on its ownership, and against
// removals when it reconnects.
func TestIsolatedRouter(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 12, 7)
	x := n.nodes[5]
	n.drops = func(a, b *node) bool { return a == x || b == x }
	n.run(time.Minute)
	c.Assert(x.View(n.now).Trusted, quicktest.IsFalse)
	c.Assert(len(x.View(n.now).Members) > 1, quicktest.IsTrue)
	c.Assert(x.removed, quicktest.HasLen, 0)
	n.drops = func(_, _ *node) bool { return false }
	for _, y := range n.nodes {
		y.removed = map[string]int{}
	}
	c.Assert(n.runUntil(maxRejoinTime, n.converged) > 0, quicktest.IsTrue)
	for _, y := range n.nodes {
		c.Assert(y.removed, quicktest.HasLen, 0)
	}
}

// Guards against ownership that moves with each restart of a flapping member, and against damping
// that never ends.
func TestFlappingIsDamped(t *testing.T) {
	c := quicktest.New(t)
	n, list := startFleet(c, 8, 8)
	for range 4 {
		n.nodes[len(n.nodes)-1].dead = true
		n.run(10 * time.Second)
		n.add(7, list)
		n.run(10 * time.Second)
	}
	for _, x := range n.nodes[:7] {
		m, ok := x.View(n.now).Find("r007")
		c.Assert(ok, quicktest.IsTrue)
		c.Assert(m.Damped, quicktest.IsTrue, quicktest.Commentf("at %s", x.self.ID))
		c.Assert(m.Eligible(), quicktest.IsFalse)
	}
	n.run(5 * time.Minute)
	m, _ := n.nodes[0].View(n.now).Find("r007")
	c.Assert(m.Eligible(), quicktest.IsTrue)
}

// Guards against a leaving router that stays eligible as an owner, and against a stopped one that
// stays in the views until its suspicion times out.
func TestLeave(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 12, 9)
	x := n.nodes[3]
	x.Leave()
	took := n.runUntil(5*time.Second, func(_ *node, v *member.View) bool {
		m, ok := v.Find("r003")
		return ok && !m.Eligible()
	})
	c.Assert(took > 0, quicktest.IsTrue)
	n.perform(x, x.Stop(n.now))
	n.run(10 * time.Millisecond)
	x.dead = true
	c.Assert(n.runUntil(5*time.Second, n.converged) > 0, quicktest.IsTrue)
}

// Guards against an outdated instance list that removes members or adds lost ones, and against a
// router that cannot join when its list holds only one other router.
func TestOutdatedInstanceList(t *testing.T) {
	c := quicktest.New(t)
	n, list := startFleet(c, 8, 10)
	for _, x := range n.nodes {
		x.UpdateInstances(n.now, list[:2])
	}
	n.run(time.Minute)
	for _, x := range n.nodes {
		c.Assert(x.View(n.now).Members, quicktest.HasLen, 8)
		x.UpdateInstances(n.now, append(list[:8:8], member.Instance{Address: "10.9.9.9:7000"}))
	}
	n.run(time.Minute)
	for _, x := range n.nodes {
		c.Assert(x.View(n.now).Members, quicktest.HasLen, 8)
	}
	n.add(20, list[6:7])
	c.Assert(n.runUntil(maxJoinTime, n.converged) > 0, quicktest.IsTrue)
}

// Guards against an older process that continues to run beside a newer one with the same ID.
func TestSuperseded(t *testing.T) {
	c := quicktest.New(t)
	n, list := startFleet(c, 6, 11)
	// In its first minute, a process raises its own boot ID instead, as its clock may have been set
	// back.
	n.run(time.Minute)
	old := n.nodes[2]
	restarted := n.add(2, list)
	restarted.self.Address = "10.0.0.99:7000"
	n.run(30 * time.Second)
	_, actions := old.HandlePing(n.now, member.Ping{From: member.Member{ID: "r002", Boot: restarted.self.Boot, Address: "10.0.0.99:7000"}})
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].Kind, quicktest.Equals, member.Superseded)
}

// Guards against numbers from a peer that make the router's own incarnation or boot ID overflow to
// 0, after which its peers would ignore its reports.
func TestIncarnationAndBootDoNotOverflow(t *testing.T) {
	c := quicktest.New(t)
	n, _ := startFleet(c, 2, 12)
	x := n.nodes[0]
	x.HandlePing(n.now, member.Ping{From: n.nodes[1].self, Updates: []member.Member{
		{ID: "r000", Boot: x.self.Boot, Incarnation: 3, Status: member.Suspect},
	}})
	before := x.View(n.now).Self
	for _, u := range []member.Member{
		{ID: "r000", Boot: math.MaxUint64, Status: member.Removed},
		{ID: "r000", Boot: before.Boot, Incarnation: math.MaxUint32, Status: member.Removed},
	} {
		x.HandlePing(n.now, member.Ping{From: n.nodes[1].self, Updates: []member.Member{u}})
		c.Assert(x.View(n.now).Self, quicktest.Equals, before)
	}
}
