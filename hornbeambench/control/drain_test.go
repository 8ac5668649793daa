package control_test

import (
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/control"
)

// Guards against a router, out of 340, that still sends new work to a drained backend server 5 s
// after the operator's decision (invariant 5), while a fifth of the messages is lost, an
// availability zone is cut off, a router is paused and others restart.
func TestDrainedServerGetsNoWorkAfter5s(t *testing.T) {
	c := quicktest.New(t)
	r, err := (&control.DrainSimulation{Routers: 340, Seed: 1, LossRatio: 0.2}).Run()
	c.Assert(err, quicktest.IsNil)
	t.Logf("no router would send new work later than %s after the decision; %d routers know of the decision", r.MaxDelay, r.InformedRouters)
	c.Check(r.LateRouters, quicktest.HasLen, 0)
	c.Check(r.InformedRouters, quicktest.Equals, 340)
}

// Guards against a simulation that passes whether or not the mechanisms work. Without the object
// API, without the check after pauses, or without both and the digests, at least one router must
// still send new work to the backend server after the limit.
func TestDrainNeedsEachMechanism(t *testing.T) {
	const paused, cut = "router-007", "router-002"
	for name, test := range map[string]struct {
		without control.DrainSimulation
		late    string
	}{
		"messages only":         {control.DrainSimulation{NoDigests: true, NoObjectAPI: true, NoPauseCheck: true}, cut},
		"no object API":         {control.DrainSimulation{NoObjectAPI: true}, cut},
		"no check after pauses": {control.DrainSimulation{NoPauseCheck: true}, paused},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sim := test.without
			sim.Routers, sim.Seed, sim.LossRatio = 70, 1, 0.2
			r, err := sim.Run()
			c.Assert(err, quicktest.IsNil)
			t.Logf("%d routers would send new work after the limit, at the latest %s after the decision", len(r.LateRouters), r.MaxDelay)
			c.Check(slices.Contains(r.LateRouters, test.late), quicktest.IsTrue)
		})
	}
}
