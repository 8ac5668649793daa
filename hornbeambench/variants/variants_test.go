package variants_test

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/variants"
)

// Guards against results that differ between two runs with the same seed.
func TestSameSeedSameResult(t *testing.T) {
	c := quicktest.New(t)
	for _, design := range variants.Designs {
		parameters := variants.Parameters{Design: design, Routers: 6, Seed: 1, DurationSeconds: 12, NonOwnerRatio: 0.1}
		c.Assert(variants.Simulate(parameters), quicktest.Equals, variants.Simulate(parameters))
	}
}

// Guards against a design whose simulation starts no requests, and against a table without one of
// the designs.
func TestEachDesignServes(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	c.Assert((&variants.Command{Sizes: []int{6}, Seeds: []int{1}, Seconds: 12}).Compare(&out), quicktest.IsNil)
	for _, design := range variants.Designs {
		c.Assert(out.String(), quicktest.Contains, design)
		r := variants.Simulate(variants.Parameters{Design: design, Routers: 6, Seed: 1, DurationSeconds: 12})
		c.Assert(r.HomeRatio > 0.1 && r.MeanSkew >= 1, quicktest.IsTrue, quicktest.Commentf("%+v", r))
	}
}
