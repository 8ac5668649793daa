package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamstep.example/routing/placement"
)

// drawEngine draws a random configuration of an engine.
func drawEngine(t *rapid.T, id string) placement.Engine {
	return placement.Engine{
		ID: id, Weight: rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "weight"),
		State:    placement.State(rapid.IntRange(0, 4).Draw(t, "state")),
		Models:   rapid.SampledFrom([][]string{nil, {"m"}, {"n"}, {"m", "n"}}).Draw(t, "models"),
		Adapters: rapid.SampledFrom([][]string{nil, {"x"}}).Draw(t, "adapters"),
	}
}

// serves reports whether an engine serves a model. An engine that lists no models serves all of
// them.
func serves(e placement.Engine, model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}

// Guards against the choice of an engine that cannot serve the request, against decisions that
// depend on the order in which a router learns of the engines, and against a chat whose new home is
// not its second home after its home is gone.
func TestPlaceAgainstOracle(t *testing.T) {
	rule := placement.New(placement.Defaults())
	rapid.Check(t, func(t *rapid.T) {
		engines := map[string]placement.Engine{}
		v := placement.NewView(nil)
		statuses := map[string]placement.Status{}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 7).Draw(t, "id")) })
		list := func() []placement.Engine {
			var all []placement.Engine
			for _, e := range engines {
				all = append(all, e)
			}
			return all
		}
		t.Repeat(map[string]func(*rapid.T){
			"engine": func(t *rapid.T) {
				e := drawEngine(t, id.Draw(t, "engine"))
				engines[e.ID] = e
				v = v.WithEngines(list())
			},
			"state": func(t *rapid.T) {
				i, s := id.Draw(t, "engine"), placement.State(rapid.IntRange(0, 4).Draw(t, "state"))
				v = v.WithState(i, s)
				if e, ok := engines[i]; ok {
					e.State = s
					engines[i] = e
				}
			},
			"status": func(t *rapid.T) {
				i := id.Draw(t, "engine")
				s := placement.Status{Wait: time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond}
				s.Full = s.Wait > 0
				v = v.WithStatus(i, s)
				if _, ok := engines[i]; ok {
					statuses[i] = s
				}
			},
			"place": func(t *rapid.T) {
				r := placement.Request{
					Chat: rapid.StringN(1, 4, 8).Draw(t, "chat"), Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
					Adapter: rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"), ContextTokens: rapid.IntRange(0, 5000).Draw(t, "context"),
					Holder: rapid.SampledFrom([]string{"", "e0", "e5", "none"}).Draw(t, "held"), Prefix: "p",
				}
				d := rule.Place(start, r, v)
				checkDecision(t, r, d, engines)
				shuffled := list()
				rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
				if other := rule.Place(start, r, placement.NewView(shuffled).WithStatuses(statuses)); other != d {
					t.Fatalf("a router with the engines in another order decides %+v, want %+v", other, d)
				}
				if d.Home != "" {
					without := rule.Place(start, r, v.WithState(d.Home, placement.Gone))
					if d.SecondHome != "" && without.Home != d.SecondHome {
						t.Fatalf("without %s the home is %s, want the second home %s", d.Home, without.Home, d.SecondHome)
					}
				}
			},
		})
	})
}

// checkDecision fails the test if the chosen engine cannot serve the request, or if the decision
// names that engine as a source of the import or the same source twice.
func checkDecision(t *rapid.T, r placement.Request, d placement.Decision, engines map[string]placement.Engine) {
	// candidates is the number of engines that accept work and have the model and the adapter. The
	// states up to Joining accept work.
	candidates := 0
	for _, e := range engines {
		if serves(e, r.Model) && e.State <= placement.Joining && (r.Adapter == "" || slices.Contains(e.Adapters, r.Adapter)) {
			candidates++
		}
	}
	if d.Engine == "" {
		if d.Reason != placement.NoEngine {
			t.Fatalf("no engine, but the reason is %v", d.Reason)
		}
		return
	}
	e := engines[d.Engine]
	if e.State > placement.Joining || !serves(e, r.Model) {
		t.Fatalf("%+v does not accept requests for model %s", e, r.Model)
	}
	if candidates > 0 && r.Holder == "" && r.Adapter != "" && !slices.Contains(e.Adapters, r.Adapter) {
		t.Fatalf("%+v does not have the adapter, although %d others have it", e, candidates)
	}
	if d.From == d.Engine || d.FallbackFrom != "" && d.FallbackFrom == d.From {
		t.Fatalf("%+v imports from the engine itself, or names the same source twice", d)
	}
}

// Guards against a table that returns a wrong engine for a chat, such as the engine of another
// chat, an earlier engine, or one that was deleted.
func TestRelocationTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := placement.NewRelocationTable(16)
		want := map[uint64]string{}
		now := start
		key := rapid.Uint64Range(0, 63)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, e := key.Draw(t, "key"), rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "engine")
				now = now.Add(time.Second)
				table.Put(now, k, e)
				want[k] = e
				if got, _ := table.Find(k); got != e {
					t.Fatalf("put engine %s, found %q", e, got)
				}
			},
			"forget": func(t *rapid.T) {
				k := key.Draw(t, "key")
				table.Delete(k)
				delete(want, k)
			},
			"drop": func(t *rapid.T) {
				e := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine")
				table.DeleteEngine(e)
				for k, v := range want {
					if v == e {
						delete(want, k)
					}
				}
			},
			// The action without a name is run after every other action. An entry may be missing,
			// since the table replaces old ones, but it must not be wrong.
			"": func(t *rapid.T) {
				found := 0
				for k := range uint64(64) {
					got, _ := table.Find(k)
					if got != "" && got != want[k] {
						t.Fatalf("key %d is on %q, found %q", k, want[k], got)
					}
					if got != "" {
						found++
					}
				}
				if found != table.Len() || found > 16 {
					t.Fatalf("found %d entries, but the length is %d", found, table.Len())
				}
			},
		})
	})
}

// TestMain sets a fixed seed, so that the results are reproducible, unless -rapid.seed gives
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	// 100 actions per run on average, instead of the default of 30, fill the relocation table, so
	// that it has to replace entries.
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		_ = steps.Value.Set("100")
	}
	os.Exit(m.Run())
}
