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

// FleetConfig configures the simulated routers, engines and callers of a replay.
type FleetConfig struct {
	Engines, Routers, Zones int
	// StepTime is the duration of an engine step. The users state it as about 3 and have not
	// confirmed the unit; the default is 3 ms.
	StepTime time.Duration
	// ChunkTokens is the number of prompt tokens computed in a step, and MaxBatch the maximum
	// number of requests in it.
	ChunkTokens, MaxBatch int
	// CacheTokens is the size of an engine's prefix cache in tokens.
	CacheTokens int
	// InterZoneLatency is the one-way latency between zones, and CallerLatency the one between
	// callers and routers.
	InterZoneLatency, CallerLatency time.Duration
	// MeanInterval is the interval between mean load messages, and ReportInterval the one between
	// the load reports of the engines. Both arrive after LoadLag, the mean load 5 ms later at each
	// further router.
	MeanInterval, ReportInterval, LoadLag time.Duration
	// MinListLag is the minimum lag of the instance list. The lag of each router is between once
	// and twice this.
	MinListLag time.Duration
	// CallerTimeout is how long a caller waits for the first token before it sends the request
	// again. MaxSends limits how often it sends a request in total.
	CallerTimeout time.Duration
	MaxSends      int
	// FirstTokenTimeout is how long a router waits for the first token of an attempt, and
	// MaxAttempts the maximum number of attempts for each send.
	FirstTokenTimeout time.Duration
	MaxAttempts       int
	// RetryBudget limits the retries of a router to the ratio RetryRatio of its requests plus a
	// burst of RetryBurst. Without it, only MaxAttempts limits them.
	RetryBudget bool
	RetryRatio  float64
	RetryBurst  int
	// Ejection makes the owners eject engines that fail or are slow.
	Ejection bool
	// IgnoreRetryAfter makes callers ignore the retry time of a refusal.
	IgnoreRetryAfter bool
	Placement        placement.Settings
	Admission        admission.Settings
	// RequeueTimeout is how long a request first waits in the queue of one engine before it tries
	// the others again; 0 means no limit.
	RequeueTimeout time.Duration
	// MaxEnginesTried is the maximum number of engines that refuse a request before it waits in a
	// queue.
	MaxEnginesTried int
	// DisabledMechanism is left out of the replay, to show which requirement then fails. It is
	// empty in every scenario.
	DisabledMechanism Mechanism
}

// SmallFleet returns a fleet with the number of engines and availability zones that each of the two
// user organisations runs today.
func SmallFleet() FleetConfig {
	config := FleetConfig{
		Engines: 9, Routers: 6, Zones: 3,
		StepTime: 3 * time.Millisecond, ChunkTokens: 30, MaxBatch: 16, CacheTokens: 120000,
		InterZoneLatency: 1500 * time.Microsecond, CallerLatency: 3 * time.Millisecond,
		MeanInterval: 100 * time.Millisecond, ReportInterval: 100 * time.Millisecond, LoadLag: 50 * time.Millisecond, MinListLag: time.Second,
		CallerTimeout: 20 * time.Second, MaxSends: 4,
		FirstTokenTimeout: 5 * time.Second, MaxAttempts: 3, RetryBudget: true, RetryRatio: 0.1, RetryBurst: 32, Ejection: true,
		Placement: placement.Defaults(), Admission: admission.Defaults(), MaxEnginesTried: 9, RequeueTimeout: 30 * time.Millisecond,
	}
	config.Admission.Capacity = float64(config.MaxBatch)
	return config
}

// Names of the placers.
const (
	ProjectPlacer         = "hornbeamstep"
	Omniscient            = "omniscient"
	RandomPlacer          = "random"
	RoundRobin            = "round robin"
	LeastLoad             = "least load"
	ConsistentHash        = "consistent hashing"
	BoundedConsistentHash = "bounded consistent hashing"
)

// Baselines are the placers that the project's placement is compared with, besides the omniscient
// one.
var Baselines = []string{RandomPlacer, RoundRobin, LeastLoad, ConsistentHash, BoundedConsistentHash}

// fleet is the state of a replay in progress.
type fleet struct {
	clock
	FleetConfig
	placer     string
	seed       uint64
	engines    []*engine
	engineByID map[string]*engine
	routers    []*router
	// trueView holds the current state of all engines. The omniscient placer and a restarted router
	// use it.
	trueView            placement.View
	callsByAttempt      map[string]*call
	activeCalls         int
	periodicWorkRunning bool
	// poisonCalls holds the fingerprints of calls that crash each engine that runs them.
	poisonCalls map[string]bool
	objectAPIUp bool
	// claims holds the claims of requests that may run only once, by fingerprint.
	claims map[string]*claimRecord
	// remainingTurns holds the turns of each chat that have not started, in order.
	remainingTurns map[string][]trace.Request
	stats          *statistics
	// extraListLag is the additional lag of the instance list, by router.
	extraListLag map[string]time.Duration
	// cutLinks counts the active cuts of each link, by sender and receiver. partitionedZone is the
	// zone that is cut off, or empty.
	cutLinks        map[[2]string]int
	partitionedZone string
}

func newFleet(config FleetConfig, placer string, seed uint64) *fleet {
	f := &fleet{
		FleetConfig: config, placer: placer, seed: seed, engineByID: map[string]*engine{}, callsByAttempt: map[string]*call{},
		poisonCalls: map[string]bool{}, objectAPIUp: true, claims: map[string]*claimRecord{}, remainingTurns: map[string][]trace.Request{},
		extraListLag: map[string]time.Duration{}, cutLinks: map[[2]string]int{},
	}
	f.stats = newStatistics(f)
	var engines []placement.Engine
	for i := range config.Engines {
		e := &engine{
			clock: &f.clock, id: fmt.Sprintf("e%d", i+1), zone: fmt.Sprintf("z%d", i%config.Zones+1),
			baseStepTime: config.StepTime, chunkTokens: config.ChunkTokens, maxBatch: config.MaxBatch, up: true, slowdown: 1, cacheLimit: config.CacheTokens, cache: newCache(config.CacheTokens),
			onLoadChange: f.loadChanged,
		}
		f.engines = append(f.engines, e)
		f.engineByID[e.id] = e
		engines = append(engines, placement.Engine{ID: e.id, Zone: e.zone, Weight: 1})
	}
	f.trueView = placement.NewView(engines)
	for i := range config.Routers {
		f.routers = append(f.routers, newRouter(f, i, engines))
	}
	for _, r := range f.routers {
		r.members = f.runningRouters()
		r.updateOwnership(true)
	}
	return f
}

func (f *fleet) runningRouters() []string {
	var names []string
	for _, r := range f.routers {
		if r.up {
			names = append(names, r.name)
		}
	}
	return names
}

func (f *fleet) routerByName(name string) *router {
	i := slices.IndexFunc(f.routers, func(r *router) bool { return r.name == name })
	return f.routers[i]
}

// newPlacer returns the baseline that a router uses, or nil for the project's placement.
func (f *fleet) newPlacer(index int) placement.Placer {
	switch f.placer {
	case Omniscient:
		return baseline.Omniscient{Oracle: f, Bound: f.Admission.Bound}
	case RandomPlacer:
		return baseline.NewRandom(f.seed + uint64(index))
	case RoundRobin:
		return &baseline.RoundRobin{}
	case LeastLoad:
		return baseline.LeastLoad{}
	case ConsistentHash:
		return baseline.ConsistentHash{}
	case BoundedConsistentHash:
		return baseline.BoundedConsistentHash{Bound: f.Admission.Bound}
	}
	return nil
}

// Cached and Load implement baseline.Oracle. Cached returns the number of context tokens of a
// request that an engine has in its cache.
func (f *fleet) Cached(r placement.Request, id string) int {
	return min(r.ContextTokens, f.engineByID[id].cache.tokens(r.Chat))
}

// Load returns the current load of an engine, including the requests in flight to it.
func (f *fleet) Load(id string) float64 {
	return f.engineByID[id].load() + float64(f.engineByID[id].inFlight)
}

// hashFraction returns a pseudo-random number in [0,1) that depends only on the seed and the parts.
func (f *fleet) hashFraction(parts ...string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(f.seed)
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}

// latency returns the one-way latency between two zones. Within a zone, it is a fifth of that.
func (f *fleet) latency(from, to string) time.Duration {
	if from == to {
		return f.InterZoneLatency / 5
	}
	return f.InterZoneLatency
}

// startPeriodicWork starts the load reports, the mean load messages and the ticks of the routers.
// They repeat while calls are active.
func (f *fleet) startPeriodicWork() {
	if f.periodicWorkRunning {
		return
	}
	f.periodicWorkRunning = true
	f.repeat(f.ReportInterval, f.sendLoadReports)
	f.repeat(f.MeanInterval, f.sendMeanLoads)
	f.repeat(50*time.Millisecond, f.tickRouters)
}

func (f *fleet) repeat(period time.Duration, event func()) {
	f.after(period, func() {
		event()
		if f.activeCalls == 0 {
			f.periodicWorkRunning = false
		}
		if f.periodicWorkRunning {
			f.repeat(period, event)
		}
	})
}

func (f *fleet) tickRouters() {
	for _, r := range f.routers {
		r.runOrDefer(r.tick)
	}
}

// sendLoadReports samples the loads of the engines. The reports arrive at the routers after the
// lag.
func (f *fleet) sendLoadReports() {
	measuredAt := f.now
	for _, e := range f.engines {
		if !e.up || e.hung {
			continue
		}
		load := e.load()
		f.after(f.LoadLag, func() {
			for _, r := range f.routers {
				if f.connected(e.id, r.name) {
					r.runOrDefer(func() { r.recordLoadReport(e.id, measuredAt, load) })
				}
			}
		})
	}
}

// ejected reports whether the owner of an engine has ejected it. The mean load leaves out ejected
// engines.
func (f *fleet) ejected(id string) bool {
	for _, r := range f.routers {
		if r.gates[id] != nil {
			return r.health.Circuit(f.wall(), id) == retry.Open
		}
	}
	return false
}

// sendMeanLoads sends the mean load of the engines in service to every router. The message also
// carries the cache evictions; hornbeamd learns of those from cache events instead.
func (f *fleet) sendMeanLoads() {
	for _, r := range f.routers {
		mean, evicted := f.meanLoadFor(r)
		if mean.Engines > 0 {
			f.after(f.LoadLag+time.Duration(r.index)*5*time.Millisecond, func() { r.runOrDefer(func() { r.recordMeanLoad(mean, evicted) }) })
		}
	}
}

// meanLoadFor returns the mean load of the engines in service on the router's side of a partition.
// It also returns, by engine, the time in seconds of the latest last use among the evicted chats.
func (f *fleet) meanLoadFor(r *router) (admission.Mean, map[string]float64) {
	sum, engines := 0.0, 0
	evicted := map[string]float64{}
	for _, e := range f.engines {
		if f.partitionedZone != "" && (e.zone == f.partitionedZone) != (r.zone == f.partitionedZone) {
			continue
		}
		if e.up && !e.draining && !f.ejected(e.id) {
			sum += e.load()
			engines++
			if e.cache.evictedLastUse > 0 {
				evicted[e.id] = e.cache.evictedLastUse
			}
		}
	}
	return admission.Mean{Load: sum / float64(max(1, engines)), Engines: engines}, evicted
}

// announceState publishes the state of an engine in the instance list. It reaches each router with
// a lag of its own.
func (f *fleet) announceState(e *engine, state placement.State) {
	f.trueView = f.trueView.WithState(e.id, state)
	for _, r := range f.routers {
		lag := time.Duration(float64(f.MinListLag) * (1 + f.hashFraction("list", r.name)))
		f.after(lag+f.extraListLag[r.name], func() { r.runOrDefer(func() { r.applyListedState(e.id, state) }) })
	}
}

func (f *fleet) loadChanged() { f.stats.sampleLoads() }
