package control

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against revisions, members or owners that go wrong under each failure of the files alone and together with a second one, and
// against outcomes that hold whatever happens: each named outcome falls short once the mechanism behind it is taken out.
func TestDrills(t *testing.T) {
	drills := map[string]map[Mechanism]string{
		"operators":             {Conditional: oneWinner, Spread: inForce},
		"operators reply":       {ReadBack: settled},
		"operators stale":       {Growing: growing},
		"part":                  {Rejoin: allAgree},
		"part parted-operators": {Rejoin: allAgree},
		"cut":                   {Helpers: noneLost},
		"cut operators":         {Helpers: noneLost, Spread: inForce},
		"cut operators reply":   {ReadBack: settled},
		"clock kill operators":  {Conditional: oneWinner, Spread: inForce},
	}
	for files, without := range drills {
		t.Run(files, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var names []string
			for _, name := range strings.Fields(files) {
				names = append(names, "testdata/faults/"+name+".jsonl")
			}
			routers := 28
			if strings.HasPrefix(files, "part") {
				// An hour takes long to compute.
				routers = 7
			}
			var out bytes.Buffer
			c.Check((&Drill{Faults: names, Routers: routers, Seed: 1}).Write(context.Background(), &out), quicktest.IsNil, quicktest.Commentf("%s", &out))
			for m, outcome := range without {
				out.Reset()
				err := (&Drill{Faults: names, Routers: routers, Seed: 1, Without: m}).Write(context.Background(), &out)
				c.Check(err, quicktest.Equals, ErrShort, quicktest.Commentf("without %s", m))
				c.Check(out.String(), quicktest.Contains, "short: "+outcome, quicktest.Commentf("without %s", m))
				t.Logf("without %s: %s", m, &out)
			}
		})
	}
}
