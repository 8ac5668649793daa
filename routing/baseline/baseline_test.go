package baseline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/baseline"
	"hornbeamstep.example/routing/placement"
)

// oracle is a baseline.Oracle with fixed cache contents and loads.
type oracle struct {
	cached map[string]int
	load   map[string]float64
}

func (o oracle) Cached(_ placement.Request, id string) int { return o.cached[id] }
func (o oracle) Load(id string) float64                    { return o.load[id] }

// Guards against placers that choose an engine out of service, or that ignore their criterion, such
// as the lowest load.
func TestBaselines(t *testing.T) {
	view := placement.NewView([]placement.Engine{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d", State: placement.Leaving}}).
		WithStatuses(map[string]placement.Status{"a": {Load: 8}, "b": {Load: 2}, "c": {Load: 5}})
	r := placement.Request{Model: "m", Chat: "x"}
	home := view.PreferenceList(nil, r, 1)[0]
	overloaded := view.WithStatus(home, placement.Status{Load: 90})
	oracleState := oracle{map[string]int{"a": 9, "c": 9, "b": 5}, map[string]float64{"a": 4, "b": 3, "c": 3}}
	cases := map[string]struct {
		placer placement.Placer
		view   placement.View
		// want holds the IDs of the engines that may be chosen, one letter each; empty for none.
		want string
	}{
		"random":         {baseline.NewRandom(1), view, "abc"},
		"round robin":    {&baseline.RoundRobin{}, view, "abc"},
		"least load":     {baseline.LeastLoad{}, view, "b"},
		"hash":           {baseline.ConsistentHash{}, overloaded, home},
		"bounded":        {baseline.BoundedConsistentHash{Bound: 1.25}, overloaded, view.PreferenceList(nil, r, 2)[1]},
		"omniscient":     {baseline.Omniscient{Oracle: oracleState, Bound: 1.25}, view, "c"},
		"no engine left": {baseline.LeastLoad{}, placement.NewView(nil), ""},
		"bounded, none":  {baseline.BoundedConsistentHash{Bound: 1.25}, placement.NewView(nil), ""},
		"omniscient, none": {
			baseline.Omniscient{Oracle: oracleState, Bound: 1.25}, placement.NewView(nil), "",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			decision := c.placer.Place(time.Time{}, r, c.view)
			if c.want == "" {
				qt.Assert(t, decision, qt.DeepEquals, placement.Decision{})
				return
			}
			got := decision.Engine
			qt.Assert(t, c.want, qt.Contains, got)
			qt.Assert(t, got, qt.Not(qt.Equals), "")
		})
	}
}
