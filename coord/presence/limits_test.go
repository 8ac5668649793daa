package presence_test

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against routers that use more than their part of a limit of the fleet because they no longer hear the others.
func TestPartsOfLimitAddUpWhileCutOff(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt; set KNOWN_RED=1 to run it")
	}
	c := qt.New(t)
	f := newFleet(6)
	f.run(5 * time.Second)
	sum := func() (parts float64) {
		for _, s := range f.states {
			parts += 1 / float64(s.FleetSize())
		}
		return parts
	}
	c.Check(sum() < 1.01, qt.IsTrue, qt.Commentf("in touch: %v", sum()))
	for _, s := range f.states {
		s.Tick(f.now.Add(61 * time.Second))
	}
	c.Check(sum() < 1.01, qt.IsTrue, qt.Commentf("cut off for 61 s: %v times the limit", sum()))
	fresh := newFleet(6)
	parts := 0.0
	for _, s := range fresh.states {
		s.Tick(fresh.now)
		parts += 1 / float64(s.FleetSize())
	}
	c.Check(parts < 1.01, qt.IsTrue, qt.Commentf("just started: %v times the limit", parts))
}
