package control_test

import (
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/control"
)

// Guards against new work for a drained backend server 5 s after the order (invariant 5), on any of 340 routers, while a fifth of the
// messages is lost, an availability zone is cut off, a router is paused and others restart.
func TestLeavingServerGetsNoWorkAfter5s(t *testing.T) {
	c := quicktest.New(t)
	r, err := (&control.Leaving{Routers: 340, Seed: 1, Loss: 0.2}).Run()
	c.Assert(err, quicktest.IsNil)
	t.Logf("last ready to give work %s after the order, %d know it", r.Last, r.Known)
	c.Check(r.Late, quicktest.HasLen, 0)
	c.Check(r.Known, quicktest.Equals, 340)
}

// Guards against a proof that would hold without the mechanisms: each one taken away lets a router give late work.
func TestLeavingServerNeedsEachMechanism(t *testing.T) {
	const paused, cut = "router-007", "router-002"
	for name, run := range map[string]struct {
		without control.Leaving
		late    string
	}{
		"messages only":         {control.Leaving{NoDigests: true, NoObjects: true, NoGate: true}, cut},
		"no looks at objects":   {control.Leaving{NoObjects: true}, cut},
		"no check after pauses": {control.Leaving{NoGate: true}, paused},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l := run.without
			l.Routers, l.Seed, l.Loss = 70, 1, 0.2
			r, err := l.Run()
			c.Assert(err, quicktest.IsNil)
			t.Logf("%d routers give late work, the last one %s after the order", len(r.Late), r.Last)
			c.Check(slices.Contains(r.Late, run.late), quicktest.IsTrue)
		})
	}
}
