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

// The fixed seed makes the test reproducible. The command-line flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// request is an input of the model: a claim if finish is empty, otherwise a finish with that state.
// The release of a claim that failed is modeled as a finish, too.
type request struct {
	key, token string
	finish     claim.State
}

type reply struct {
	holder string
	state  claim.State
	failed bool
}

// keyState is the state of one key in the model.
type keyState struct {
	token string
	state claim.State
}

// claimModel is the sequential specification of one key. An operation that failed may have taken
// effect or not.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var out [][]porcupine.Operation
		partitionIndex := map[string]int{}
		for _, o := range history {
			k := o.Input.(request).key
			if _, ok := partitionIndex[k]; !ok {
				partitionIndex[k] = len(out)
				out = append(out, nil)
			}
			out[partitionIndex[k]] = append(out[partitionIndex[k]], o)
		}
		return out
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(request), output.(reply)
		next := s
		if in.finish != "" {
			holds := s.token == in.token && s.state == claim.Claimed
			if holds {
				next.state = in.finish
			}
			switch {
			case out.failed:
				return []any{s, next}
			case holds || s == (keyState{in.token, in.finish}):
				return []any{next}
			}
			return nil
		}
		if s.state == "" || s.state == claim.Released {
			next = keyState{in.token, claim.Claimed}
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

func (r *recorder) record(client int, call time.Time, in request, out reply) {
	end := int64(time.Since(r.start))
	if out.failed {
		end = 1 << 60
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call.Sub(r.start)), Return: end})
}

// Guards against a key that is granted twice, lost claims and wrong results while two routers both
// act as owner of the shards.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLinearizable(t, seed) })
		})
	}
}

func checkLinearizable(t *testing.T, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(seed, objectapi.FaultProbabilities{
		Down: 0.03, Lost: 0.15, Late: 0.1, Slow: 30 * time.Millisecond, Delay: 900 * time.Millisecond,
	}))
	logs := []*claim.ObjectLog{{Store: m, MaxHeadBytes: 1}, {Store: m, MaxHeadBytes: 400}}
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for i := range 8 {
				k := fmt.Sprint("k", rng.IntN(4))
				token := fmt.Sprintf("%d-%d", client, i)
				claimAndFinish(r, logs[rng.IntN(2)], client, k, token, rng)
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Minute)
	qt.Assert(t, len(r.ops) >= 48, qt.IsTrue)
	qt.Assert(t, porcupine.CheckOperationsTimeout(claimModel, r.ops, 0), qt.Equals, porcupine.Ok)
}

// claimAndFinish claims a key and, if the claim is granted, finishes it.
func claimAndFinish(r *recorder, log *claim.ObjectLog, client int, name, token string, rng *rand.Rand) {
	k := claim.Key{Account: "a", Name: name, Fingerprint: "f"}
	call := time.Now()
	c, err := log.Claim(context.Background(), k, claim.Token(token))
	in := request{key: name, token: token}
	r.record(client, call, in, reply{holder: string(c.Token), state: c.State, failed: err != nil})
	release := request{key: name, token: token, finish: claim.Released}
	if err != nil {
		// The log releases the claim at some time after the failure.
		r.record(client, call, release, reply{failed: true})
		return
	}
	if !c.MayRun(claim.Token(token), time.Now()) {
		return
	}
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	release.finish = []claim.State{claim.Released, claim.Released, claim.Done, claim.Unknown}[rng.IntN(4)]
	call = time.Now()
	err = log.Finish(context.Background(), k, claim.Token(token), release.finish, nil)
	var down *claim.UnavailableError
	r.record(client, call, release, reply{failed: errors.As(err, &down)})
}

// step is one client request of a random program.
type step struct {
	router, key int
	timeout     time.Duration
	duration    time.Duration
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
		timeout:  50*time.Millisecond + ms("patience", 6000),
		duration: ms("work", 3000),
		outcome:  rapid.SampledFrom([]claim.State{claim.Released, claim.Done, claim.Unknown}).Draw(t, "outcome"),
		gap:      ms("gap", 500),
	}
}), 1, 30)

// oracle records which requests actually ran, and the violations found.
type oracle struct {
	mu         sync.Mutex
	runs       map[int]int
	violations []string
}

func (o *oracle) violation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// Guards against a request that runs twice and against reported states that differ from what
// happened, with random programs of requests and random faults of the object API.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		program := steps.Draw(rt, "program")
		seed := rapid.Uint64().Draw(rt, "faults")
		o := &oracle{runs: map[int]int{}}
		synctest.Test(t, func(*testing.T) { o.run(program, seed) })
		if len(o.violations) > 0 {
			rt.Fatalf("%v", o.violations)
		}
	})
}

func (o *oracle) run(program []step, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(seed, objectapi.FaultProbabilities{
		Down: 0.1, Lost: 0.2, Late: 0.2, Behind: 0.1, Slow: 50 * time.Millisecond, Delay: 3 * time.Second,
	}))
	routers := []*claim.ObjectLog{{Store: m, MaxHeadBytes: 1}, {Store: m, MaxHeadBytes: 1}, {Store: m, MaxHeadBytes: 300}}
	var wg sync.WaitGroup
	for _, s := range program {
		time.Sleep(s.gap)
		wg.Go(func() { o.request(routers[s.router], s) })
	}
	wg.Wait()
	time.Sleep(5 * time.Minute)
}

// request is one client: it claims a key, runs the request if the claim is granted, and finishes
// the claim with the actual outcome.
func (o *oracle) request(log *claim.ObjectLog, s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	k := claim.Key{Account: "a", Name: fmt.Sprint(s.key)}
	token := claim.NewToken()
	c, err := log.Claim(ctx, k, token)
	o.mu.Lock()
	won := err == nil && c.MayRun(token, time.Now())
	ran := won && s.outcome != claim.Released
	switch {
	case ran:
		o.runs[s.key]++
		if o.runs[s.key] > 1 {
			o.violation("key %d ran %d times", s.key, o.runs[s.key])
		}
	case err == nil && c.State == claim.Done && o.runs[s.key] == 0:
		o.violation("key %d is reported as done but never ran", s.key)
	case err == nil && c.State == claim.Released:
		o.violation("key %d is reported as released but was not granted", s.key)
	}
	o.mu.Unlock()
	if won {
		time.Sleep(s.duration)
		_ = log.Finish(context.Background(), k, token, s.outcome, nil)
	}
}
