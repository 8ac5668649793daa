package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/baseline"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
)

// Fleet describes the fakes of a replay.
type Fleet struct {
	Engines, Routers, Zones int
	// Step is the time of an engine step. Its unit is not confirmed by the users; the default is 3 ms.
	Step time.Duration
	// Chunk is the number of prompt tokens computed in a step and Batch the number of requests in it.
	Chunk, Batch int
	// Cache is the size of an engine's prefix cache in tokens.
	Cache int
	// Between is the one-way latency between zones, Client that to callers.
	Between, Client time.Duration
	// Mean is the period of the mean load, and Report that of the engines' reports; both arrive Lag later.
	Mean, Report, Lag time.Duration
	// List is the lag of the instance list; each router has up to twice as much.
	List time.Duration
	// Patience is how long a caller waits for the first token before it sends the request again, up to Sends times in all.
	Patience time.Duration
	Sends    int
	// First is how long a router waits for the first token of an attempt, and Attempts how many it makes of one sending.
	First    time.Duration
	Attempts int
	// Budget limits the retries of a router to RetryShare of its requests and RetryBurst at once; without it only Attempts does.
	Budget     bool
	RetryShare float64
	RetryBurst int
	// Health is true if the owners eject engines that fail or are slow.
	Health bool
	// Impatient callers ignore the retry time of a refusal.
	Impatient bool
	Placement placement.Settings
	Admission admission.Settings
	// Requeue is how long a request waits at one engine before it asks the others again; 0 for no limit.
	Requeue time.Duration
	// Tries is the number of engines that a request asks before it waits.
	Tries int
	// Without takes a mechanism out; empty in every scenario.
	Without Mechanism
}

// Small returns the fleet of either user today.
func Small() Fleet {
	f := Fleet{
		Engines: 9, Routers: 6, Zones: 3,
		Step: 3 * time.Millisecond, Chunk: 30, Batch: 16, Cache: 120000,
		Between: 1500 * time.Microsecond, Client: 3 * time.Millisecond,
		Mean: 100 * time.Millisecond, Report: 100 * time.Millisecond, Lag: 50 * time.Millisecond, List: time.Second,
		Patience: 20 * time.Second, Sends: 4,
		First: 5 * time.Second, Attempts: 3, Budget: true, RetryShare: 0.1, RetryBurst: 32, Health: true,
		Placement: placement.Defaults(), Admission: admission.Defaults(), Tries: 9, Requeue: 30 * time.Millisecond,
	}
	f.Admission.Capacity = float64(f.Batch)
	return f
}

// The placers that a replay can use.
const (
	Project      = "hornbeamstep"
	Omniscient   = "omniscient"
	RandomPlacer = "random"
	RoundRobin   = "round robin"
	LeastLoad    = "least load"
	Hash         = "consistent hashing"
	BoundedHash  = "bounded consistent hashing"
)

// Baselines lists the placers that the project's is measured against, besides the omniscient one.
var Baselines = []string{RandomPlacer, RoundRobin, LeastLoad, Hash, BoundedHash}

// fleet is a replay in progress.
type fleet struct {
	clock
	Fleet
	placer  string
	seed    uint64
	engines []*engine
	byID    map[string]*engine
	routers []*router
	// central holds the true state of all engines, for the omniscient placer.
	central placement.View
	calls   map[string]*call
	active  int
	ticking bool
	poison  map[string]bool
	storeUp bool
	claims  map[string]*claimed
	turns   map[string][]trace.Request
	measure *measure
	// listLag is the additional lag of a router's instance list.
	listLag map[string]time.Duration
	// cuts counts the cuts of each link, by sender and receiver; parted is the zone that is cut off.
	cuts   map[[2]string]int
	parted string
}

func newFleet(f Fleet, placer string, seed uint64) *fleet {
	s := &fleet{
		Fleet: f, placer: placer, seed: seed, byID: map[string]*engine{}, calls: map[string]*call{},
		poison: map[string]bool{}, storeUp: true, claims: map[string]*claimed{}, turns: map[string][]trace.Request{},
		listLag: map[string]time.Duration{}, cuts: map[[2]string]int{},
	}
	s.measure = newMeasure(s)
	var list []placement.Engine
	for i := range f.Engines {
		e := &engine{
			clock: &s.clock, id: fmt.Sprintf("e%d", i+1), zone: fmt.Sprintf("z%d", i%f.Zones+1),
			step: f.Step, chunk: f.Chunk, batch: f.Batch, up: true, slow: 1, cacheMax: f.Cache, cache: newCache(f.Cache),
			changed: s.changed,
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		list = append(list, placement.Engine{ID: e.id, Zone: e.zone, Weight: 1})
	}
	s.central = placement.NewView(list)
	for i := range f.Routers {
		s.routers = append(s.routers, newRouter(s, i, list))
	}
	for _, r := range s.routers {
		r.members = s.members()
		r.takeOver(true)
	}
	return s
}

func (s *fleet) members() []string {
	var names []string
	for _, r := range s.routers {
		if r.up {
			names = append(names, r.name)
		}
	}
	return names
}

func (s *fleet) router(name string) *router {
	i := slices.IndexFunc(s.routers, func(r *router) bool { return r.name == name })
	return s.routers[i]
}

// newPlacer returns the baseline of a router, nil for the project's own placement.
func (s *fleet) newPlacer(i int) placement.Placer {
	switch s.placer {
	case Omniscient:
		return baseline.Omniscient{Oracle: s, Bound: s.Admission.Bound}
	case RandomPlacer:
		return baseline.NewRandom(s.seed + uint64(i))
	case RoundRobin:
		return &baseline.RoundRobin{}
	case LeastLoad:
		return baseline.LeastLoad{}
	case Hash:
		return baseline.ConsistentHash{}
	case BoundedHash:
		return baseline.BoundedConsistentHash{Bound: s.Admission.Bound}
	}
	return nil
}

// Cached and Load implement baseline.Oracle.
func (s *fleet) Cached(r placement.Request, id string) int {
	return min(r.ContextTokens, s.byID[id].cache.tokens(r.Chat))
}

// Load returns the true load of an engine with the requests on their way to it.
func (s *fleet) Load(id string) float64 { return s.byID[id].load() + float64(s.byID[id].coming) }

// chance returns a number in [0,1) that depends on the seed and the parts only.
func (s *fleet) chance(parts ...string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(s.seed)
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}

// net is the one-way latency between two zones.
func (s *fleet) net(a, b string) time.Duration {
	if a == b {
		return s.Between / 5
	}
	return s.Between
}

// tick keeps the periodic work running while calls are active.
func (s *fleet) tick() {
	if s.ticking {
		return
	}
	s.ticking = true
	s.every(s.Report, s.reports)
	s.every(s.Mean, s.means)
	s.every(50*time.Millisecond, s.ticks)
}

func (s *fleet) every(period time.Duration, do func()) {
	s.after(period, func() {
		do()
		if s.active == 0 {
			s.ticking = false
		}
		if s.ticking {
			s.every(period, do)
		}
	})
}

func (s *fleet) ticks() {
	for _, r := range s.routers {
		r.do(r.tick)
	}
}

// reports takes a sample of the engines' loads, which arrives at the routers after the lag.
func (s *fleet) reports() {
	at := s.now
	for _, e := range s.engines {
		if !e.up || e.hung {
			continue
		}
		load := e.load()
		s.after(s.Lag, func() {
			for _, r := range s.routers {
				if s.meets(e.id, r.name) {
					r.do(func() { r.report(e.id, at, load) })
				}
			}
		})
	}
}

// ejected is true for an engine that its owner has ejected; it is not in service.
func (s *fleet) ejected(id string) bool {
	for _, r := range s.routers {
		if r.gates[id] != nil {
			return r.health.Circuit(s.wall(), id) == retry.Open
		}
	}
	return false
}

// means sends the mean over the engines in service to every router. What the cache events say of evictions takes the same
// time.
func (s *fleet) means() {
	for _, r := range s.routers {
		m, evicted := s.meanFor(r)
		if m.Engines > 0 {
			s.after(s.Lag+time.Duration(r.index)*5*time.Millisecond, func() { r.do(func() { r.mean(m, evicted) }) })
		}
	}
}

// meanFor returns the mean over the engines on a router's side of parted regions.
func (s *fleet) meanFor(r *router) (admission.Mean, map[string]float64) {
	sum, n := 0.0, 0
	evicted := map[string]float64{}
	for _, e := range s.engines {
		if s.parted != "" && (e.zone == s.parted) != (r.zone == s.parted) {
			continue
		}
		if e.up && !e.leaving && !s.ejected(e.id) {
			sum += e.load()
			n++
			if e.cache.evicted > 0 {
				evicted[e.id] = e.cache.evicted
			}
		}
	}
	return admission.Mean{Load: sum / float64(max(1, n)), Engines: n}, evicted
}

// state announces a state of an engine by the instance list, to each router with its own lag.
func (s *fleet) state(e *engine, st placement.State) {
	s.central = s.central.WithState(e.id, st)
	for _, r := range s.routers {
		own := time.Duration(float64(s.List) * (1 + s.chance("list", r.name)))
		s.after(own+s.listLag[r.name], func() { r.do(func() { r.listed(e.id, st) }) })
	}
}

func (s *fleet) changed() { s.measure.sample() }
