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
	// maxFetchTime limits a move that a request waits for, whatever the size of the context. With
	// the default placement settings it suffices for 12,000 tokens.
	maxFetchTime = 250 * time.Millisecond
	// maxConcurrentMoves limits the moves for requests through one router, because the router has
	// to serve callers as well. While it is reached, further requests start without a move.
	maxConcurrentMoves = 8
)

// Mover copies KV caches between engines. Its errors are of type *engine.MoveError.
type Mover interface {
	// Move copies the KV cache of a chat and returns the number of bytes transferred. It stops when
	// ctx ends.
	Move(ctx context.Context, from, to policy.Backend, chat string) (int64, error)
}

// moves limits and counts the moves of KV caches through this router.
type moves struct {
	// semaphore holds an element for each move in progress.
	semaphore chan struct{}
	completed *prometheus.CounterVec
	failed    *prometheus.CounterVec
	skipped   prometheus.Counter
	bytes     prometheus.Counter
}

func newMoves(r prometheus.Registerer) moves {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help}
	}
	m := moves{
		semaphore: make(chan struct{}, maxConcurrentMoves),
		completed: prometheus.NewCounterVec(opts("moves_total",
			"KV caches that were moved between engines, by cause: before a request, or off a leaving engine."), []string{"cause"}),
		failed: prometheus.NewCounterVec(opts("move_failures_total",
			"KV caches that were not moved, by cause and reason."), []string{"cause", "reason"}),
		skipped: prometheus.NewCounter(opts("moves_skipped_total",
			"Requests that started without a move because too many were in progress.")),
		bytes: prometheus.NewCounter(opts("move_bytes_total",
			"Bytes of KV caches that passed through this router, failed moves included.")),
	}
	r.MustRegister(m.completed, m.failed, m.skipped, m.bytes)
	return m
}

// The causes of a move: a request that needs the context, or an engine that is leaving.
const (
	causeRequest = "request"
	causeDrain   = "drain"
)

// placementRule returns the placement rule. Without a mover TransferPerToken is 0, which keeps
// placement from planning moves.
func (l *Loop) placementRule() placement.Rule {
	s := placement.Defaults()
	if l.Mover == nil {
		s.TransferPerToken = 0
	}
	return placement.New(s)
}

// fetchContext moves the context of a chat to the engine that granted the chat's request a slot, if
// the search step names a source (step.From). It gives up after the time that computing the context
// again would take, since a longer move gains nothing, or after maxFetchTime.
func (l *Loop) fetchContext(ctx context.Context, s *slotSearch, step placement.Step, a Answer) {
	// A warm engine already has the chat's context. It is the newest one unless the owner of the
	// home engine named another holder.
	if l.Mover == nil || step.From == "" || a.Warm && s.contextEngine == "" {
		return
	}
	select {
	case l.moves.semaphore <- struct{}{}:
		defer func() { <-l.moves.semaphore }()
	default:
		l.moves.skipped.Inc()
		return
	}
	recomputeTime := time.Duration(s.placementRequest.ContextTokens) * s.snapshot.rule.Settings.PrefillPerToken
	ctx, cancel := context.WithTimeout(ctx, min(recomputeTime, maxFetchTime))
	defer cancel()
	to := s.snapshot.policy.Backends[step.Engine]
	for _, name := range []string{step.From, step.FallbackFrom} {
		from, ok := s.snapshot.policy.Backends[name]
		if !ok {
			continue
		}
		_, err := l.move(ctx, causeRequest, from, to, s.slotRequest.Chat, s.slotRequest.RequestID)
		var failed *engine.MoveError
		if err == nil && step.Engine == step.Home {
			// Records that the home has the context. Without this, placement would assume until the
			// source engine has left that the context is still on the source.
			go l.Peers.SetContextHolder(l.Peers.Owners().EngineOwner(step.Home), s.chatKey, step.Home)
		}
		// FallbackFrom is tried only if the engine at From answered that it has no such context.
		if err == nil || !errors.As(err, &failed) || !failed.Missing {
			return
		}
	}
}

// move carries out, counts and records one move.
func (l *Loop) move(ctx context.Context, cause string, from, to policy.Backend, chat, request string) (int64, error) {
	startedAt := l.Now()
	size, err := l.Mover.Move(ctx, from, to, chat)
	l.moves.bytes.Add(float64(size))
	elapsed := l.Now().Sub(startedAt).Round(100 * time.Microsecond)
	event := timeline.Event{Kind: timeline.Moved, Request: request, Chat: chat, Backend: to.Name}
	if err == nil {
		l.moves.completed.WithLabelValues(cause).Inc()
		event.Text = fmt.Sprintf("KV cache from %s, %d bytes in %s", from.Name, size, elapsed)
	} else {
		reason := moveFailureReason(ctx, err)
		l.moves.failed.WithLabelValues(cause, reason).Inc()
		event.Text = fmt.Sprintf("KV cache from %s not moved after %s: %s", from.Name, elapsed, reason)
	}
	l.record(event)
	return size, err
}

// moveFailureReason returns the reason of a failed move for metrics and the timeline: limit for a
// timeout, cancelled, missing, the side that failed (export or import), or other.
func moveFailureReason(ctx context.Context, err error) string {
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

// recentChats holds the chats that an engine has run recently, keyed by the hash that selects a
// chat's home. When current is full, it replaces previous, whose entries are dropped.
type recentChats struct{ current, previous map[uint64]time.Time }

func newRecentChats() recentChats {
	return recentChats{current: map[uint64]time.Time{}, previous: map[uint64]time.Time{}}
}

func (r *recentChats) put(now time.Time, key uint64) {
	if len(r.current) >= maxStoredChats {
		r.previous, r.current = r.current, make(map[uint64]time.Time, maxStoredChats)
	}
	r.current[key] = now
}

func (r *recentChats) has(key uint64) bool {
	if _, ok := r.current[key]; ok {
		return true
	}
	_, ok := r.previous[key]
	return ok
}

// recordChat records that an engine runs a chat, and reports whether recentChats already held the
// chat.
func (e *engineState) recordChat(now time.Time, key uint64) bool {
	before := e.recentChats.has(key)
	e.recentChats.put(now, key)
	return before
}
