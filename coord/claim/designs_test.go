package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

// The experiment: 205 non-repeatable requests a second for 60 s, answered after 400 ms, on 8 routers. At 30 s one router dies and
// its callers send their requests again to another. The object API takes up to 6 ms for a call.
const (
	rate     = 205
	lasting  = 60 * time.Second
	service  = 400 * time.Millisecond
	routers  = 8
	deathAt  = 30 * time.Second
	dead     = 3
	arrivals = "poisson, seed 1"
)

// writer is one way to keep a request from running twice.
type writer interface {
	// begin reports whether the request may run on a router.
	begin(router int, name string) bool
	end(router int, name string)
}

type figures struct {
	writes, reads float64
	double        int
	p50, p99      time.Duration
}

// Guards against claim traffic above 256 head writes a second, and measures the three variants of the design page.
func TestVariants(t *testing.T) {
	results := map[string]figures{}
	variants := map[string]func(*objectapi.Memory) writer{
		"sharded log": newSharded,
		"no owners": func(m *objectapi.Memory) writer {
			s := newSharded(m).(*sharded)
			s.scattered = true
			return s
		},
		"claim per key": func(m *objectapi.Memory) writer { return &perKey{store: m} },
		"pinned key":    func(*objectapi.Memory) writer { return &pinned{taken: map[string]bool{}} },
	}
	for name, open := range variants {
		lasting := lasting
		if name == "no owners" {
			// Its many conflicts take most of the test's time, and the death of a router changes nothing there.
			lasting = 10 * time.Second
		}
		synctest.Test(t, func(*testing.T) { results[name] = measure(open, lasting) })
		f := results[name]
		t.Logf("%s: %.0f writes/s, %.0f reads/s, %d double runs, wait for the claim p50 %s p99 %s (%s)",
			name, f.writes, f.reads, f.double, f.p50.Round(time.Millisecond), f.p99.Round(time.Millisecond), arrivals)
	}
	qt.Assert(t, results["sharded log"].double, qt.Equals, 0)
	qt.Assert(t, results["sharded log"].writes <= 256, qt.IsTrue)
	qt.Assert(t, results["no owners"].double, qt.Equals, 0)
	qt.Assert(t, results["claim per key"].double, qt.Equals, 0)
	qt.Assert(t, results["pinned key"].double > 0, qt.IsTrue)
}

func measure(open func(*objectapi.Memory) writer, lasting time.Duration) figures {
	m := &objectapi.Memory{}
	m.Inject(objectapi.Random(1, objectapi.Chances{Slow: 6 * time.Millisecond}))
	w := open(m)
	random := rand.New(rand.NewPCG(1, 0))
	start := time.Now()
	var mu sync.Mutex
	var waits []time.Duration
	runs := map[string]int{}
	run := func(router int, name string) {
		asked := time.Now()
		if !w.begin(router, name) {
			return
		}
		mu.Lock()
		waits = append(waits, time.Since(asked))
		runs[name]++
		mu.Unlock()
		time.Sleep(service)
		if router != dead || time.Since(start) < deathAt {
			w.end(router, name)
		}
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(start) < lasting; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		alive := time.Since(start) < deathAt
		router := i % routers
		if router == dead && !alive {
			router++
		}
		wg.Go(func() {
			begun := time.Since(start)
			run(router, fmt.Sprint(i))
			if router == dead && begun < deathAt && time.Since(start) >= deathAt {
				run(router+1, fmt.Sprint(i))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	counts := m.Counts()
	f := figures{writes: float64(counts.Writes()) / lasting.Seconds(), reads: float64(counts.Reads()) / lasting.Seconds()}
	for _, n := range runs {
		if n > 1 {
			f.double++
		}
	}
	slices.Sort(waits)
	f.p50, f.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return f
}

// sharded is the claim log. Each shard is owned by one router; after the death of one its shards move to the next.
type sharded struct {
	tables [routers]*claim.Table
	start  time.Time
	tokens sync.Map
	// scattered lets each router write the claims of its own requests to every shard.
	scattered bool
}

func newSharded(m *objectapi.Memory) writer {
	s := &sharded{start: time.Now()}
	for i := range s.tables {
		s.tables[i] = &claim.Table{Store: m}
	}
	return s
}

func (s *sharded) table(router int, k claim.Key) *claim.Table {
	if s.scattered {
		return s.tables[router]
	}
	owner := k.Shard() % routers
	if owner == dead && time.Since(s.start) >= deathAt {
		owner++
	}
	return s.tables[owner]
}

func (s *sharded) begin(router int, name string) bool {
	k, token := claim.Key{Account: "a", Name: name}, claim.NewToken()
	c, err := s.table(router, k).Claim(context.Background(), k, token)
	s.tokens.Store(name, token)
	return err == nil && c.Won(token, time.Now())
}

func (s *sharded) end(router int, name string) {
	k := claim.Key{Account: "a", Name: name}
	token, _ := s.tokens.Load(name)
	_ = s.table(router, k).Finish(context.Background(), k, token.(claim.Token), claim.Done, make([]byte, 100))
}

// perKey writes one object for each key, and again when the request ends.
type perKey struct {
	store    objectapi.Store
	versions sync.Map
}

func (p *perKey) begin(_ int, name string) bool {
	v, err := p.store.Put(context.Background(), objectapi.Object{Kind: claim.Kind, Name: name})
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return false
	}
	p.versions.Store(name, v)
	return true
}

func (p *perKey) end(_ int, name string) {
	v, _ := p.versions.Load(name)
	_, _ = p.store.Put(context.Background(), objectapi.Object{Kind: claim.Kind, Name: name, Version: v.(int64), Value: make([]byte, 100)})
}

// pinned keeps the keys in the memory of the router that serves them.
type pinned struct {
	mu    sync.Mutex
	taken map[string]bool
}

func (p *pinned) begin(router int, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := fmt.Sprint(router, name)
	fresh := !p.taken[id]
	p.taken[id] = true
	return fresh
}

func (p *pinned) end(int, string) {}
