package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/timeline"
)

const (
	// longestFetch bounds the move before a request whatever the size of its context. At the defaults of placement it covers 12,000
	// tokens.
	longestFetch = 250 * time.Millisecond
	// mostConcurrent moves at a time pass through one router, an entry instance that has callers to serve; further requests start without one.
	mostConcurrent = 8
)

// Mover copies KV caches between engines. Errors are *engine.MoveError.
type Mover interface {
	// Move copies the KV cache of a chat and returns its size in bytes. It ends when ctx does.
	Move(ctx context.Context, from, to policy.Backend, chat string) (int64, error)
}

// moves are the moves that pass through this router.
type moves struct {
	// slots holds a token for each move in progress.
	slots   chan struct{}
	ended   *prometheus.CounterVec
	failed  *prometheus.CounterVec
	skipped prometheus.Counter
	bytes   prometheus.Counter
}

func newMoves(r prometheus.Registerer) moves {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help}
	}
	m := moves{
		slots: make(chan struct{}, mostConcurrent),
		ended: prometheus.NewCounterVec(opts("moves_total",
			"KV caches that were moved between engines, by cause: before a request, or off a leaving engine."), []string{"cause"}),
		failed: prometheus.NewCounterVec(opts("move_failures_total",
			"KV caches that were not moved, by cause and reason."), []string{"cause", "reason"}),
		skipped: prometheus.NewCounter(opts("moves_skipped_total",
			"Requests that started without a move because too many were in progress.")),
		bytes: prometheus.NewCounter(opts("move_bytes_total",
			"Bytes of KV caches that passed through this router, failed moves included.")),
	}
	r.MustRegister(m.ended, m.failed, m.skipped, m.bytes)
	return m
}

// The causes of a move.
const (
	beforeRequest = "request"
	beforeDrain   = "drain"
)

// placementRule is the rule without moves if no mover is there, so that it does not count on them.
func (l *Loop) placementRule() placement.Rule {
	s := placement.Defaults()
	if l.Mover == nil {
		s.TransferPerToken = 0
	}
	return placement.New(s)
}

// fetch brings the context of a chat to the engine that granted it a slot, if that costs less than to compute it again. The request
// goes on without it after a limit: the time to compute it again, since a longer move gains nothing.
func (l *Loop) fetch(ctx context.Context, p *attempt, step placement.Step, a Answer) {
	// A warm engine has run the chat. Its context is older than the one that an exception names, and else the newest.
	if l.Mover == nil || step.From == "" || a.Warm && p.held == "" {
		return
	}
	select {
	case l.moves.slots <- struct{}{}:
		defer func() { <-l.moves.slots }()
	default:
		l.moves.skipped.Inc()
		return
	}
	miss := time.Duration(p.request.ContextTokens) * p.snap.rule.Settings.PrefillPerToken
	ctx, cancel := context.WithTimeout(ctx, min(miss, longestFetch))
	defer cancel()
	to := p.snap.policy.Backends[step.Engine]
	for _, name := range []string{step.From, step.FallbackFrom} {
		from, ok := p.snap.policy.Backends[name]
		if !ok {
			continue
		}
		_, err := l.move(ctx, beforeRequest, from, to, p.ask.Chat, p.ask.Request)
		var failed *engine.MoveError
		if err == nil && step.Engine == step.Home {
			// Until the source is gone, placement takes it for the engine with the context.
			go l.Peers.Note(l.Peers.Owners().EngineOwner(step.Home), p.key, step.Home)
		}
		// Another engine is asked only if this one surely lacks the context.
		if err == nil || !errors.As(err, &failed) || !failed.Missing {
			return
		}
	}
}

// move carries out one move, counts it and records it.
func (l *Loop) move(ctx context.Context, cause string, from, to policy.Backend, chat, request string) (int64, error) {
	begin := l.Now()
	n, err := l.Mover.Move(ctx, from, to, chat)
	l.moves.bytes.Add(float64(n))
	spent := l.Now().Sub(begin).Round(100 * time.Microsecond)
	event := timeline.Event{Kind: timeline.Moved, Request: request, Chat: chat, Backend: to.Name}
	if err == nil {
		l.moves.ended.WithLabelValues(cause).Inc()
		event.Text = fmt.Sprintf("KV cache from %s, %d bytes in %s", from.Name, n, spent)
	} else {
		reason := moveFailure(ctx, err)
		l.moves.failed.WithLabelValues(cause, reason).Inc()
		event.Text = fmt.Sprintf("KV cache from %s not moved after %s: %s", from.Name, spent, reason)
	}
	l.record(event)
	return n, err
}

// moveFailure names the reason of a failed move for metrics and the time line.
func moveFailure(ctx context.Context, err error) string {
	var failed *engine.MoveError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "limit"
	case ctx.Err() != nil:
		return "cancelled"
	case !errors.As(err, &failed):
		return "other"
	case failed.Missing:
		return "missing"
	}
	return failed.Side
}

// warm remembers the chats that an engine has run lately, by the hash that decides their home. It is bounded by two generations.
type warm struct{ young, old map[uint64]time.Time }

func newWarm() warm { return warm{young: map[uint64]time.Time{}, old: map[uint64]time.Time{}} }

func (w *warm) put(now time.Time, key uint64) {
	if len(w.young) >= mostStored {
		w.old, w.young = w.young, make(map[uint64]time.Time, mostStored)
	}
	w.young[key] = now
}

func (w *warm) has(key uint64) bool {
	if _, ok := w.young[key]; ok {
		return true
	}
	_, ok := w.old[key]
	return ok
}

// ran notes that an engine runs a chat, and reports whether it had its context before.
func (e *engineState) ran(now time.Time, key uint64) bool {
	before := e.warm.has(key)
	e.warm.put(now, key)
	return before
}
