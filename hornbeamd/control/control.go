// Package control runs the control loop of a daemon: one goroutine owns the control state and publishes snapshots of it.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/claim"
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
	// tick is the time between two runs of the state machines.
	tick = 50 * time.Millisecond
	// second is the time between two renewals of slots.
	second = time.Second
	// commands is the number of events that may wait for the control loop before traffic waits for it.
	commands = 1024
)

// Engine is what the control loop asks of a model engine that this router owns.
type Engine interface {
	Load(ctx context.Context) (engine.Report, error)
	Events(ctx context.Context, after int64) (engine.Events, error)
	Close()
}

// Claims is the claim log.
type Claims interface {
	// Claim returns the claim that stands and the token to compare it with.
	Claim(ctx context.Context, key claim.Key) (claim.Claim, claim.Token, error)
	Finish(ctx context.Context, key claim.Key, token claim.Token, state claim.State, answer []byte) error
}

// Loop is the control loop. Its methods other than Run may be called from any goroutine once Run has been called.
type Loop struct {
	// Settings of the daemon.
	Settings settings.Settings
	// Peers exchanges state with the other daemons. Never nil.
	Peers Peers
	// Claims is nil if there is no object API; requests that may not be repeated are then refused.
	Claims Claims
	// Engine returns a client for the control traffic with a backend server.
	Engine func(policy.Backend) Engine
	// Mover copies KV caches between engines; nil if none are moved.
	Mover Mover
	Ring  *timeline.Ring
	Log   *zap.Logger
	// Registry takes the metrics.
	Registry prometheus.Registerer
	// InForce holds the configuration; the loop applies each new revision.
	InForce *history.InForce
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	once    sync.Once
	events  chan func(time.Time)
	stopped chan struct{}
	snap    atomic.Pointer[snapshot]
	// draining is set once and never cleared.
	draining atomic.Bool

	metrics  *metrics
	memory   memory
	boots    boots
	silent   silentRouters
	services services
	limits   limits
	retries  retries
	paces    paces
	moves    moves
	demand   demand

	// tracked guards tracker, the suspects and quarantined requests that this router knows.
	tracked sync.Mutex
	tracker *quarantine.Tracker

	// state is only touched by the goroutine of Run.
	state state
}

// snapshot is what traffic reads. It is immutable.
type snapshot struct {
	policy policy.Policy
	view   placement.View
	// owned holds the engines whose gates this router has.
	owned map[string]bool
	rule  placement.Rule
}

func (l *Loop) init() {
	l.once.Do(func() {
		if l.Now == nil {
			l.Now = time.Now
		}
		l.events = make(chan func(time.Time), commands)
		l.stopped = make(chan struct{})
		l.metrics = newMetrics(l.Registry)
		l.moves = newMoves(l.Registry)
		l.demand = newDemand()
		l.memory = newMemory()
		l.services.init()
		l.limits.init(l.Now())
		l.retries.init()
		l.tracker = quarantine.New(quarantine.Defaults())
		l.state = newState()
		l.snap.Store(&snapshot{rule: l.placementRule()})
	})
}

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.init()
	defer close(l.stopped)
	defer l.stopPolls()
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	l.step(ctx, l.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.events:
			event(l.Now())
		case <-ticks.C:
			l.step(ctx, l.Now())
		}
	}
}

// send runs an event on the control loop without waiting for it. It reports false after the loop has stopped.
func (l *Loop) send(event func(time.Time)) bool {
	l.init()
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// step advances everything that depends on time.
func (l *Loop) step(ctx context.Context, now time.Time) {
	l.applyPolicy()
	l.joins(now)
	l.reconcile(ctx, now)
	for _, name := range l.state.order {
		if e := l.state.engines[name]; e.gate != nil {
			l.carryOut(e, e.gate.Tick(now))
		}
	}
	l.loads(now)
	if now.Sub(l.state.exchanged) >= second {
		l.state.exchanged = now
		l.renew(now)
		l.measure()
		l.evacuations(ctx, now)
	}
	l.publish(now)
}

// gateSettings derives the settings of an engine's gate from its pool.
func gateSettings(pool policy.Pool) admission.Settings {
	s := admission.Defaults()
	if pool.Bound >= 1 {
		s.Bound = pool.Bound
	}
	if pool.Queue > 0 {
		s.Queue = pool.Queue
	}
	if pool.Wait > 0 {
		s.Wait = pool.Wait
	}
	return s
}
