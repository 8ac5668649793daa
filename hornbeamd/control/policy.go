package control

import (
	"fmt"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

// Policy implements caller.Dispatcher.
func (l *Loop) Policy() policy.Policy {
	l.init()
	return l.snapshot.Load().policy
}

// recordRevision records in the timeline and the log that a new configuration revision was applied.
func (l *Loop) recordRevision(s history.Snapshot) {
	l.record(timeline.Event{
		Kind: timeline.InForce,
		Text: fmt.Sprintf("revision %d by %s: %s", s.Revision.Number, s.Revision.Author, s.Revision.Message),
	})
	l.Log.Info("configuration applied", zap.Int64("revision", s.Revision.Number), zap.String("author", s.Revision.Author))
}

// Record implements caller.Dispatcher.
func (l *Loop) Record(e timeline.Event) { l.record(e) }

func (l *Loop) record(e timeline.Event) {
	if l.Ring != nil {
		l.Ring.Add(e)
	}
}

// Draining implements caller.Dispatcher.
func (l *Loop) Draining() bool { return l.draining.Load() }

// Drain marks this router as draining, so that it is no longer ready and is omitted from route
// responses.
func (l *Loop) Drain() {
	if !l.draining.Swap(true) {
		l.Log.Info("draining the router")
	}
}

// Ready implements caller.Dispatcher.
func (l *Loop) Ready() error {
	l.init()
	switch {
	case l.Draining():
		return &NotReadyError{Reason: "the router is draining", Remedy: "use another router"}
	case l.snapshot.Load().policy.Revision == 0:
		return &NotReadyError{Reason: "no configuration is in force yet", Remedy: "push a configuration, or check the object api and the peers' addresses"}
	case l.Peers.Isolated():
		return &NotReadyError{Reason: "neither peers nor the platform answer", Remedy: "check the network of this instance"}
	}
	return nil
}

// NotReadyError is the reason why a router is not ready to serve callers.
type NotReadyError struct{ Reason, Remedy string }

func (e *NotReadyError) Error() string { return e.Reason + "; " + e.Remedy }

// isolationError returns an error if this router is isolated (see Peers.Isolated), because its
// configuration may then be out of date, and nil otherwise. The error names the other routers.
func (l *Loop) isolationError() *outcome.Error {
	if !l.Peers.Isolated() {
		return nil
	}
	var others []string
	for _, a := range l.Route("", "", "").Addresses {
		if a.Address != l.Settings.Caller.Address {
			others = append(others, a.Address)
		}
	}
	return &outcome.Error{
		Code: outcome.Isolated, Outcome: outcome.NotRun, Status: 503, RetryAfter: retryAfterRefusal, Addresses: others,
		Message: "this router is cut off from the fleet",
		Remedy:  "send the request to another router",
	}
}

var _ caller.Dispatcher = (*Loop)(nil)
