package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

// The seed is fixed so that the verdict never varies; the flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// request is an input of the model: a claim, a finish, or the release of a claim whose caller got no answer.
type request struct {
	key, token string
	finish     claim.State
}

type reply struct {
	holder string
	state  claim.State
	failed bool
}

// standing is the model's state of one key.
type standing struct {
	token string
	state claim.State
}

// claimModel is one key as a sequence of claims. An operation without an answer may have taken effect or not.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var out [][]porcupine.Operation
		at := map[string]int{}
		for _, o := range history {
			k := o.Input.(request).key
			if _, ok := at[k]; !ok {
				at[k] = len(out)
				out = append(out, nil)
			}
			out[at[k]] = append(out[at[k]], o)
		}
		return out
	},
	Init: func() []any { return []any{standing{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(standing), input.(request), output.(reply)
		next := s
		if in.finish != "" {
			held := s.token == in.token && s.state == claim.Claimed
			if held {
				next.state = in.finish
			}
			switch {
			case out.failed:
				return []any{s, next}
			case held || s == (standing{in.token, in.finish}):
				return []any{next}
			}
			return nil
		}
		if s.state == "" || s.state == claim.Released {
			next = standing{in.token, claim.Claimed}
		}
		switch {
		case out.failed:
			return []any{s, next}
		case out.holder == next.token && out.state == next.state:
			return []any{next}
		}
		return nil
	},
}).ToModel()

type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (r *recorder) add(client int, call time.Time, in request, out reply) {
	end := int64(time.Since(r.start))
	if out.failed {
		end = 1 << 60
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call.Sub(r.start)), Return: end})
}

// Guards against two winners of a key, lost claims and untrue answers with two routers that both believe to own the shards.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkClaims(t, seed) })
		})
	}
}

func checkClaims(t *testing.T, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.Random(seed, objectapi.Chances{
		Down: 0.03, Lost: 0.15, Late: 0.1, Slow: 30 * time.Millisecond, Delay: 900 * time.Millisecond,
	}))
	tables := []*claim.Table{{Store: m, Seal: 1}, {Store: m, Seal: 400}}
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			for i := range 8 {
				k := fmt.Sprint("k", random.IntN(4))
				token := fmt.Sprintf("%d-%d", client, i)
				holder(r, tables[random.IntN(2)], client, k, token, random)
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Minute)
	qt.Assert(t, len(r.ops) >= 48, qt.IsTrue)
	qt.Assert(t, porcupine.CheckOperationsTimeout(claimModel, r.ops, 0), qt.Equals, porcupine.Ok)
}

// holder claims a key and finishes the claim if it won.
func holder(r *recorder, table *claim.Table, client int, name, token string, random *rand.Rand) {
	k := claim.Key{Account: "a", Name: name, Fingerprint: "f"}
	call := time.Now()
	c, err := table.Claim(context.Background(), k, claim.Token(token))
	in := request{key: name, token: token}
	r.add(client, call, in, reply{holder: string(c.Token), state: c.State, failed: err != nil})
	release := request{key: name, token: token, finish: claim.Released}
	if err != nil {
		// The table gives the key back at some time after the failure.
		r.add(client, call, release, reply{failed: true})
		return
	}
	if !c.Won(claim.Token(token), time.Now()) {
		return
	}
	time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	release.finish = []claim.State{claim.Released, claim.Released, claim.Done, claim.Unknown}[random.IntN(4)]
	call = time.Now()
	err = table.Finish(context.Background(), k, claim.Token(token), release.finish, nil)
	var down *claim.DownError
	r.add(client, call, release, reply{failed: errors.As(err, &down)})
}

// step is one action of a random program.
type step struct {
	router, key int
	patience    time.Duration
	work        time.Duration
	outcome     claim.State
	gap         time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	ms := func(label string, high int) time.Duration {
		return time.Duration(rapid.IntRange(0, high).Draw(t, label)) * time.Millisecond
	}
	return step{
		router:   rapid.IntRange(0, 2).Draw(t, "router"),
		key:      rapid.IntRange(0, 3).Draw(t, "key"),
		patience: 50*time.Millisecond + ms("patience", 6000),
		work:     ms("work", 3000),
		outcome:  rapid.SampledFrom([]claim.State{claim.Released, claim.Done, claim.Unknown}).Draw(t, "outcome"),
		gap:      ms("gap", 500),
	}
}), 1, 30)

// oracle knows which requests really ran.
type oracle struct {
	mu     sync.Mutex
	runs   map[int]int
	faults []string
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// Guards against a key that runs twice and against answers that differ from what really happened, over random programs and faults.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program := steps.Draw(rt, "program")
		seed := rapid.Uint64().Draw(rt, "faults")
		o := &oracle{runs: map[int]int{}}
		synctest.Test(t, func(*testing.T) { o.play(program, seed) })
		if len(o.faults) > 0 {
			rt.Fatalf("%v", o.faults)
		}
	})
}

func (o *oracle) play(program []step, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.Random(seed, objectapi.Chances{
		Down: 0.1, Lost: 0.2, Late: 0.2, Behind: 0.1, Slow: 50 * time.Millisecond, Delay: 3 * time.Second,
	}))
	routers := []*claim.Table{{Store: m, Seal: 1}, {Store: m, Seal: 1}, {Store: m, Seal: 300}}
	var wg sync.WaitGroup
	for _, s := range program {
		time.Sleep(s.gap)
		wg.Go(func() { o.request(routers[s.router], s) })
	}
	wg.Wait()
	time.Sleep(5 * time.Minute)
}

// request is one caller: it claims, runs or not, and finishes truthfully.
func (o *oracle) request(table *claim.Table, s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.patience)
	defer cancel()
	k := claim.Key{Account: "a", Name: fmt.Sprint(s.key)}
	token := claim.NewToken()
	c, err := table.Claim(ctx, k, token)
	o.mu.Lock()
	won := err == nil && c.Won(token, time.Now())
	ran := won && s.outcome != claim.Released
	switch {
	case ran:
		o.runs[s.key]++
		if o.runs[s.key] > 1 {
			o.fault("key %d ran %d times", s.key, o.runs[s.key])
		}
	case err == nil && c.State == claim.Done && o.runs[s.key] == 0:
		o.fault("key %d is reported as done and never ran", s.key)
	case err == nil && c.State == claim.Released:
		o.fault("key %d is reported as released and was not given", s.key)
	}
	o.mu.Unlock()
	if won {
		time.Sleep(s.work)
		_ = table.Finish(context.Background(), k, token, s.outcome, nil)
	}
}
