// Package control runs the control loop of a daemon: one goroutine owns the control state and
// publishes snapshots of it.
//
// Each engine is owned by one router, which polls it and grants slots on it. A slot permits one
// request to run on the engine, and is leased. A chat's home is the engine that a hash of the chat
// selects (see package placement). The owner of the home records which engine holds the chat's
// context, if that is another one. A suspect is an engine that seems to be down, or a request that
// was in flight when an engine crashed.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/crashwatch"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/timeline"
)

const (
	// tickInterval is the time between two calls of step.
	tickInterval = 50 * time.Millisecond
	// slotRenewalInterval is the time between two renewals of slots. Gauges are set and evacuations
	// start at the same interval.
	slotRenewalInterval = time.Second
	// eventQueueSize is the number of events that may wait for the control loop before senders
	// block.
	eventQueueSize = 1024
)

// Engine is a client for the control interface of a model engine.
type Engine interface {
	Load(ctx context.Context) (engine.Report, error)
	Events(ctx context.Context, after int64) (engine.Events, error)
	Close()
}

// Claims is the claim log, which ensures that a request with an idempotency key runs at most once.
type Claims interface {
	// Claim claims a key. It returns the claim that is recorded, which may be an earlier one, and
	// the token of this call to compare it with.
	Claim(ctx context.Context, key claim.Key) (claim.Claim, claim.Token, error)
	Finish(ctx context.Context, key claim.Key, token claim.Token, state claim.State, answer []byte) error
}

// Loop is the control loop. Its exported methods other than Run may be called from any goroutine
// once Run has been called.
type Loop struct {
	Settings settings.Settings
	// Peers exchanges state with the other daemons. Never nil.
	Peers Peers
	// Claims is nil if there is no object API. Requests that may run at most once are then refused.
	Claims Claims
	// NewEngine returns a client for the control interface of a backend server.
	NewEngine func(policy.Backend) Engine
	// Mover copies KV caches between engines; nil disables moves.
	Mover Mover
	Ring  *timeline.Ring
	Log   *zap.Logger
	// Registry registers the metrics; nil exports none.
	Registry prometheus.Registerer
	// InForce holds the current configuration; the loop applies each new revision.
	InForce *history.ActiveConfig
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	once     sync.Once
	queue    chan func(time.Time)
	stopped  chan struct{}
	snapshot atomic.Pointer[snapshot]
	// draining is true once Drain has been called. It is never cleared.
	draining atomic.Bool

	metrics  *metrics
	chats    chatState
	bootIDs  bootIDs
	silent   silentRouters
	services services
	limits   limits
	retries  retries
	outliers poolOutlierDetectors
	moves    moves
	demand   demand

	// trackerMu guards tracker and parts, which hold the suspect and quarantined requests and prompt
	// parts that this router knows.
	trackerMu sync.Mutex
	tracker   *quarantine.Tracker
	parts     *quarantine.PartTracker
	// trials holds the fingerprints of the requests that are on trial; see BeginTrial. trackerMu guards it.
	trials map[string]bool
	// watcher looks at the backend servers of requests that were given up.
	watcher *crashwatch.Watcher[caller.Result]

	// state is accessed only by the goroutine of Run.
	state state
}

// snapshot is the part of the control state that request goroutines read. It is immutable.
type snapshot struct {
	policy policy.Policy
	view   placement.View
	// owned holds the engines that this router owns and admits requests for.
	owned map[string]bool
	rule  placement.Rule
}

func (l *Loop) init() {
	l.once.Do(func() {
		if l.Now == nil {
			l.Now = time.Now
		}
		l.queue = make(chan func(time.Time), eventQueueSize)
		l.stopped = make(chan struct{})
		l.metrics = newMetrics(l.Registry)
		l.moves = newMoves(l.Registry)
		l.demand = newDemand()
		l.chats = newChatState()
		l.services.init()
		l.limits.init(l.Now())
		l.retries.init()
		l.tracker = quarantine.New(quarantine.Defaults())
		l.parts = quarantine.NewPartTracker(quarantine.PartDefaults())
		l.trials = map[string]bool{}
		l.watcher = l.newWatcher()
		l.state = newState()
		l.snapshot.Store(&snapshot{rule: l.placementRule()})
	})
}

// Run processes events and advances the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.init()
	defer close(l.stopped)
	defer l.stopPolls()
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	l.step(ctx, l.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.queue:
			event(l.Now())
		case <-ticks.C:
			l.step(ctx, l.Now())
		}
	}
}

// send queues an event for the control loop and does not wait until it has run. It blocks while the
// queue is full. False means that the loop has stopped. An event that is queued when the loop stops
// may never run, even though send returned true.
func (l *Loop) send(event func(time.Time)) bool {
	l.init()
	select {
	case l.queue <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// step applies new configurations and advances everything that depends on time.
func (l *Loop) step(ctx context.Context, now time.Time) {
	l.applyPolicy()
	l.updateJoining(now)
	l.reconcile(ctx, now)
	for _, name := range l.state.order {
		if e := l.state.engines[name]; e.gate != nil {
			l.applyActions(e, e.gate.Tick(now))
		}
	}
	l.exchangeLoads(now)
	if now.Sub(l.state.slotsRenewedAt) >= slotRenewalInterval {
		l.state.slotsRenewedAt = now
		l.renewSlots(now)
		l.updateMetrics()
		l.startEvacuations(ctx, now)
	}
	if now.Sub(l.state.partsAnnouncedAt) >= partAnnounceInterval {
		l.state.partsAnnouncedAt = now
		l.announceParts()
	}
	l.publish(now)
}

// gateSettings derives the settings of an engine's admission gate from its pool.
func gateSettings(pool policy.Pool) admission.Settings {
	s := admission.Defaults()
	if pool.Bound >= 1 {
		s.Bound = pool.Bound
	}
	if pool.Queue > 0 {
		s.MaxQueueLength = pool.Queue
	}
	if pool.Wait > 0 {
		s.MaxWait = pool.Wait
	}
	return s
}
