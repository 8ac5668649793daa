package owner_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/owner"
)

// The seed is fixed so that the result is reproducible. The flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

func fleet(n int) ([]owner.Router, []owner.Engine) {
	var routers []owner.Router
	var engines []owner.Engine
	for i := range n {
		zone := i % 7
		routers = append(routers, owner.Router{ID: fmt.Sprintf("r%03d", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("g", zone%3)})
	}
	for i := range 600 {
		zone := i % 7
		engines = append(engines, owner.Engine{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("g", zone%3)})
	}
	return routers, engines
}

// Guards against routers that compute different owners, or none, from equal inputs in different
// orders.
func TestEqualInputsGiveEqualOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers, engines := fleet(rapid.IntRange(1, 40).Draw(t, "routers"))
		permuted := rapid.Permutation(routers).Draw(t, "order")
		pools := []string{"chat", "small"}
		a := owner.Compute(owner.Input{Self: routers[0].ID, Routers: routers, Engines: engines, Pools: pools}).WithTrust(true)
		b := owner.Compute(owner.Input{Self: permuted[0].ID, Routers: permuted, Engines: engines, Pools: pools}).WithTrust(true)
		if changes := owner.Changes(a, b); len(changes) > 0 {
			t.Fatalf("snapshots of equal inputs differ: %v", changes)
		}
		for _, e := range engines {
			if a.EngineOwner(e.ID) == "" {
				t.Fatalf("engine %s has no owner", e.ID)
			}
		}
	})
}

// Guards against changes of owner for engines and shards that the lost router did not own, and
// against uneven shares.
func TestRouterLossMovesOnlyItsEnginesAndShards(t *testing.T) {
	c := quicktest.New(t)
	routers, engines := fleet(340)
	before := owner.Compute(owner.Input{Self: "r005", Routers: routers, Engines: engines}).WithTrust(true)
	after := owner.Compute(owner.Input{Self: "r005", Routers: slices.Delete(slices.Clone(routers), 17, 18), Engines: engines})
	for _, change := range owner.Changes(before, after) {
		if change.Kind == owner.KindRelay {
			c.Assert(change.Name, quicktest.Equals, "z3")
			continue
		}
		c.Assert(change.From, quicktest.Equals, "r017", quicktest.Commentf("%v", change))
	}
	owned := map[string]int{}
	for _, e := range engines {
		owned[before.EngineOwner(e.ID)]++
	}
	for id, n := range owned {
		c.Assert(n < 12, quicktest.IsTrue, quicktest.Commentf("%s owns %d of 600 engines", id, n))
	}
}

// Guards against owners outside the availability zone of the engine while that zone has routers,
// against owners outside its region while the region has routers, and against an engine without
// owner if neither has any.
func TestZonePreference(t *testing.T) {
	c := quicktest.New(t)
	routers, engines := fleet(21)
	s := owner.Compute(owner.Input{Routers: routers, Engines: engines, Pools: []string{"chat"}})
	zones := map[string]string{}
	for _, r := range routers {
		zones[r.ID] = r.Zone
	}
	for _, e := range engines {
		c.Assert(zones[s.EngineOwner(e.ID)], quicktest.Equals, e.Zone)
	}
	c.Assert(zones[s.Aggregator("chat", "z4")], quicktest.Equals, "z4")
	c.Assert(s.Relays("z4"), quicktest.HasLen, 2)

	remaining := slices.DeleteFunc(slices.Clone(routers), func(r owner.Router) bool { return r.Zone == "z4" })
	s = owner.Compute(owner.Input{Routers: remaining, Engines: engines})
	regions := map[string]string{}
	for _, r := range remaining {
		regions[r.ID] = r.Region
	}
	for _, e := range engines {
		c.Assert(regions[s.EngineOwner(e.ID)], quicktest.Equals, e.Region)
	}
	distant := []owner.Router{{ID: "r", Zone: "other", Region: "other"}}
	c.Assert(owner.Compute(owner.Input{Routers: distant, Engines: engines}).EngineOwner("e000"), quicktest.Equals, "r")
}

// Guards against a paused or isolated router that acts as an owner.
func TestUntrustedSnapshotOwnsNothing(t *testing.T) {
	c := quicktest.New(t)
	s := owner.Compute(owner.Input{Self: "a", Routers: []owner.Router{{ID: "a"}}, Engines: []owner.Engine{{ID: "e"}}})
	c.Assert(s.OwnsEngine("e"), quicktest.IsFalse)
	c.Assert(s.OwnsShard(0), quicktest.IsFalse)
	c.Assert(s.OwnedEngines(), quicktest.HasLen, 0)
	c.Assert(s.WithTrust(true).OwnedEngines(), quicktest.DeepEquals, []string{"e"})
}

// Guards against ignored weights: a router of weight 3 must own about three times as many engines
// as one of weight 1.
func TestWeights(t *testing.T) {
	c := quicktest.New(t)
	var engines []owner.Engine
	for i := range 4000 {
		engines = append(engines, owner.Engine{ID: fmt.Sprint(i)})
	}
	s := owner.Compute(owner.Input{Self: "a", Routers: []owner.Router{{ID: "a", Weight: 3}, {ID: "b"}}, Engines: engines})
	share := float64(len(s.WithTrust(true).OwnedEngines())) / 4000
	c.Assert(share > 0.72 && share < 0.78, quicktest.IsTrue, quicktest.Commentf("share is %v, want about 0.75", share))
}
