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

// The load of TestCompareDesigns: non-idempotent requests that take serviceTime each are sent to
// the routers in turn. At failureTime, failedRouter fails, and its clients resend their requests to
// the next router.
const (
	requestsPerSecond = 205
	duration          = 60 * time.Second
	serviceTime       = 400 * time.Millisecond
	routers           = 8
	failureTime       = 30 * time.Second
	failedRouter      = 3
	arrivals          = "poisson, seed 1"
)

// design is a way to prevent a request from running twice.
type design interface {
	// begin reports whether the request may run on the router.
	begin(router int, name string) bool
	// end records that the request has ended.
	end(router int, name string)
}

type measurement struct {
	// writes and reads are calls of the object API per second.
	writes, reads float64
	ranTwice      int
	// p50 and p99 are percentiles of the time from a request's arrival until it may run.
	p50, p99 time.Duration
}

// Guards against a claim log that lets a request run twice or that exceeds 256 writes per second,
// the limit set by DefaultMinWriteInterval. Compares the sharded log with the same log without
// shard owners, with one object per key, and with keys that each router keeps in its own memory.
// With the last, some requests must run twice; otherwise the load would not detect the fault. A
// call of the object API takes up to 6 ms.
func TestCompareDesigns(t *testing.T) {
	results := map[string]measurement{}
	variants := map[string]func(*objectapi.Memory) design{
		"sharded log": newShardedLog,
		"no owners": func(m *objectapi.Memory) design {
			s := newShardedLog(m).(*shardedLog)
			s.noOwners = true
			return s
		},
		"claim per key":  func(m *objectapi.Memory) design { return &objectPerKey{store: m} },
		"keys in memory": func(*objectapi.Memory) design { return &routerMemory{claimed: map[string]bool{}} },
	}
	for name, newDesign := range variants {
		duration := duration
		if name == "no owners" {
			// The many conflicts of this design would take most of the time of the test, and a
			// router failure does not change its result.
			duration = 10 * time.Second
		}
		synctest.Test(t, func(*testing.T) { results[name] = measure(newDesign, duration) })
		m := results[name]
		t.Logf("%s: %.0f writes/s, %.0f reads/s, %d requests ran twice, time to claim p50 %s p99 %s (%s)",
			name, m.writes, m.reads, m.ranTwice, m.p50.Round(time.Millisecond), m.p99.Round(time.Millisecond), arrivals)
	}
	qt.Assert(t, results["sharded log"].ranTwice, qt.Equals, 0)
	qt.Assert(t, results["sharded log"].writes <= 256, qt.IsTrue)
	qt.Assert(t, results["no owners"].ranTwice, qt.Equals, 0)
	qt.Assert(t, results["claim per key"].ranTwice, qt.Equals, 0)
	qt.Assert(t, results["keys in memory"].ranTwice > 0, qt.IsTrue)
}

func measure(newDesign func(*objectapi.Memory) design, duration time.Duration) measurement {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(1, objectapi.FaultProbabilities{Slow: 6 * time.Millisecond}))
	d := newDesign(m)
	rng := rand.New(rand.NewPCG(1, 0))
	start := time.Now()
	var mu sync.Mutex
	var waits []time.Duration
	runs := map[string]int{}
	run := func(router int, name string) {
		requested := time.Now()
		if !d.begin(router, name) {
			return
		}
		mu.Lock()
		waits = append(waits, time.Since(requested))
		runs[name]++
		mu.Unlock()
		time.Sleep(serviceTime)
		if router != failedRouter || time.Since(start) < failureTime {
			d.end(router, name)
		}
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(start) < duration; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		alive := time.Since(start) < failureTime
		router := i % routers
		if router == failedRouter && !alive {
			router++
		}
		wg.Go(func() {
			started := time.Since(start)
			run(router, fmt.Sprint(i))
			if router == failedRouter && started < failureTime && time.Since(start) >= failureTime {
				run(router+1, fmt.Sprint(i))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	counts := m.Counts()
	result := measurement{writes: float64(counts.Writes()) / duration.Seconds(), reads: float64(counts.Reads()) / duration.Seconds()}
	for _, n := range runs {
		if n > 1 {
			result.ranTwice++
		}
	}
	slices.Sort(waits)
	result.p50, result.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return result
}

// shardedLog is the claim log. Each shard is owned by one router. After a router failure, its
// shards move to the next router.
type shardedLog struct {
	logs   [routers]*claim.ObjectLog
	start  time.Time
	tokens sync.Map
	// noOwners makes each router write the claims of its own requests, to any shard.
	noOwners bool
}

func newShardedLog(m *objectapi.Memory) design {
	s := &shardedLog{start: time.Now()}
	for i := range s.logs {
		s.logs[i] = &claim.ObjectLog{Store: m}
	}
	return s
}

func (s *shardedLog) log(router int, k claim.Key) *claim.ObjectLog {
	if s.noOwners {
		return s.logs[router]
	}
	owner := k.Shard() % routers
	if owner == failedRouter && time.Since(s.start) >= failureTime {
		owner++
	}
	return s.logs[owner]
}

func (s *shardedLog) begin(router int, name string) bool {
	k, token := claim.Key{Account: "a", Name: name}, claim.NewToken()
	c, err := s.log(router, k).Claim(context.Background(), k, token)
	s.tokens.Store(name, token)
	return err == nil && c.MayRun(token, time.Now())
}

func (s *shardedLog) end(router int, name string) {
	k := claim.Key{Account: "a", Name: name}
	token, _ := s.tokens.Load(name)
	_ = s.log(router, k).Finish(context.Background(), k, token.(claim.Token), claim.Done, make([]byte, 100))
}

// objectPerKey writes one object for each key, and writes it again when the request ends.
type objectPerKey struct {
	store    objectapi.Store
	versions sync.Map
}

func (p *objectPerKey) begin(_ int, name string) bool {
	v, err := p.store.Put(context.Background(), objectapi.Object{Kind: claim.Kind, Name: name})
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return false
	}
	p.versions.Store(name, v)
	return true
}

func (p *objectPerKey) end(_ int, name string) {
	v, _ := p.versions.Load(name)
	_, _ = p.store.Put(context.Background(), objectapi.Object{Kind: claim.Kind, Name: name, Version: v.(int64), Value: make([]byte, 100)})
}

// routerMemory keeps the claimed keys of each router in its own memory. Other routers do not see
// them.
type routerMemory struct {
	mu      sync.Mutex
	claimed map[string]bool
}

func (p *routerMemory) begin(router int, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := fmt.Sprint(router, name)
	first := !p.claimed[id]
	p.claimed[id] = true
	return first
}

func (p *routerMemory) end(int, string) {}
