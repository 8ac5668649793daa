package control

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against wrong revisions, members or owners under combinations of one to three fault files.
// It also guards against checks that never fail: each outcome listed below must fail once the
// mechanism it depends on is disabled.
func TestDrills(t *testing.T) {
	drills := map[string]map[Mechanism]string{
		"operators":             {ConditionalUpdate: outcomeSingleWinner, RevisionSpread: outcomeTimelyActivated},
		"operators reply":       {ReadBack: outcomePushesSettled},
		"operators stale":       {MonotonicRevisions: outcomeNoRollback},
		"part":                  {Rejoin: outcomeMembersAgree},
		"part parted-operators": {Rejoin: outcomeMembersAgree},
		"cut":                   {IndirectProbes: outcomeNoFalseRemoval},
		"cut operators":         {IndirectProbes: outcomeNoFalseRemoval, RevisionSpread: outcomeTimelyActivated},
		"cut operators reply":   {ReadBack: outcomePushesSettled},
		"clock kill operators":  {ConditionalUpdate: outcomeSingleWinner, RevisionSpread: outcomeTimelyActivated},
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
				// The partition lasts an hour of virtual time, which takes long with 28 routers.
				routers = 7
			}
			var out bytes.Buffer
			c.Check((&Drill{Faults: names, Routers: routers, Seed: 1}).Write(context.Background(), &out), quicktest.IsNil, quicktest.Commentf("%s", &out))
			for m, outcome := range without {
				out.Reset()
				err := (&Drill{Faults: names, Routers: routers, Seed: 1, Without: m}).Write(context.Background(), &out)
				c.Check(err, quicktest.Equals, ErrOutcomeFailed, quicktest.Commentf("without %s", m))
				c.Check(out.String(), quicktest.Contains, "short: "+outcome, quicktest.Commentf("without %s", m))
				t.Logf("without %s: %s", m, &out)
			}
		})
	}
}
