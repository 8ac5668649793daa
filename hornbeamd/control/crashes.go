package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/timeline"
)

// suspectBusy is the code for a suspect request that has to wait, because another suspect runs on
// the engine or the same request already runs on another engine. It never reaches a caller.
const suspectBusy outcome.Code = "apart"

const (
	// probeTimeout is how long an engine is probed after a connection to it broke. An engine that
	// does not answer in this time counts as slow: only a refused or reset connection, or a changed
	// boot identifier, proves a crash.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the longest wait before an engine is probed again after an inconclusive
	// probe.
	probeInterval = 50 * time.Millisecond
)

// quarantineError returns an error if the request has crashed too many engines, and nil otherwise.
func (l *Loop) quarantineError(request caller.SlotRequest) *outcome.Error {
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	if l.tracker.State(l.Now(), request.Fingerprint) != quarantine.Quarantined {
		return nil
	}
	return &outcome.Error{
		Code: outcome.Quarantined, Outcome: outcome.NotRun, Status: http.StatusUnprocessableEntity,
		Message: "engines crash when they run this request",
		Remedy:  "change the request, or ask an operator to release fingerprint " + request.Fingerprint,
	}
}

// suspectedCrash returns a crash that a suspect or quarantined request is suspected of, or nil for
// any other request.
func (l *Loop) suspectedCrash(fingerprint string) *quarantine.Crash {
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	now := l.Now()
	if fingerprint == "" || l.tracker.State(now, fingerprint) == quarantine.Clear {
		return nil
	}
	for _, e := range l.tracker.List(now) {
		if e.Fingerprint == fingerprint && len(e.Crashes) > 0 {
			return &e.Crashes[0]
		}
	}
	return nil
}

// trackStart keeps two suspects from running on the same engine at once, so that a crash can be
// attributed to one of them, and one suspect from running on two engines, since it could crash
// both. It returns "" if the request may start.
func (l *Loop) trackStart(now time.Time, engine string, slotRequest EngineSlotRequest) outcome.Code {
	if slotRequest.Fingerprint == "" {
		return ""
	}
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	// This router may not have learned of the crash yet.
	if slotRequest.Suspect != nil {
		l.tracker.Merge(now, []quarantine.Entry{{
			Fingerprint: slotRequest.Fingerprint, Crashes: []quarantine.Crash{*slotRequest.Suspect}, At: now,
		}})
	}
	if l.tracker.State(now, slotRequest.Fingerprint) == quarantine.Quarantined {
		return outcome.Quarantined
	}
	if !l.tracker.Start(now, slotRequest.Fingerprint, engine) {
		return suspectBusy
	}
	return ""
}

// trackEnd ends the tracking that trackStart began. A suspect that was answered is cleared.
func (l *Loop) trackEnd(fingerprint, engine string, answered bool) {
	if fingerprint == "" {
		return
	}
	if answered {
		l.watcher.RecordAnswer(fingerprint)
	}
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	l.tracker.End(fingerprint, engine, answered)
}

// checkCrash checks after a failed request whether its engine crashed, and if so, records the crash
// against the request, which becomes a suspect or is quarantined. Otherwise the engine may go on with the
// request, unless it has responded with an error.
func (l *Loop) checkCrash(g caller.Grant, r caller.Result, boot string) {
	if r.Fingerprint == "" {
		return
	}
	if !l.crashed(g.Backend, boot) {
		if r.Ending != caller.EndedFailed {
			l.watchServer(g, r, boot)
		}
		return
	}
	l.send(func(now time.Time) { l.handleRequestFailure(g.Backend, now) })
	crash := quarantine.Crash{Engine: g.Backend, Boot: boot}
	l.watcher.RecordCrash(time.Now(), crash)
	l.recordCrash(crash, r)
}

// recordCrash records a crash against a request.
func (l *Loop) recordCrash(crash quarantine.Crash, r caller.Result) {
	l.trackerMu.Lock()
	entries := l.tracker.RecordCrash(l.Now(), crash, []string{r.Fingerprint})
	if r.Tokens == 0 {
		l.parts.RecordCrash(l.Now(), crash.Key(), r.Model, r.Parts)
	}
	l.trackerMu.Unlock()
	l.announceSuspects(entries, r.Account)
}

// crashed reports whether the engine process with the given boot identifier has ended. The
// identifier is empty for a slot that was granted before the engine's first load report. Then only
// an engine that refuses or resets connections counts as crashed.
func (l *Loop) crashed(name, boot string) bool {
	b, ok := l.snapshot.Load().policy.Backends[name]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if b.Service != "" {
		return refusesConnections(ctx, b.Address)
	}
	client := l.NewEngine(b)
	defer client.Close()
	wait := retry.Backoff{Base: probeInterval, Max: probeInterval}
	for try := 1; ; try++ {
		report, err := client.Load(ctx)
		switch {
		case err == nil:
			return boot != "" && report.Boot != boot
		case processEnded(err):
			return true
		case sleep.For(ctx, wait.Delay(try, rand.Float64())) != nil:
			return false
		}
	}
}

// processEnded reports whether an error proves that a process has ended: its connections are
// refused or reset. A deadline that passes shows only that the process is slow.
func processEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// refusesConnections reports whether a replica of a plain service refuses or resets connections.
// Services have no boot identifier, so a replica that has restarted before this check does not
// count as crashed.
func refusesConnections(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return processEnded(err)
	}
	_ = conn.Close()
	return false
}

// announceSuspects tells the other routers of suspects and quarantined requests.
func (l *Loop) announceSuspects(entries []quarantine.Entry, account string) {
	for _, e := range entries {
		kind, text := "suspect", "in flight when an engine crashed"
		if e.Quarantined {
			kind, text = "quarantine", "crashed its engines and is refused from now on"
			l.metrics.quarantined.Inc()
		}
		last := e.Crashes[len(e.Crashes)-1]
		l.record(timeline.Event{Kind: timeline.Quarantined, Backend: last.Engine, Text: e.Fingerprint + ": " + text})
		for _, crash := range e.Crashes {
			l.Peers.Announce(kind, e.Fingerprint, account, crash, e.At)
		}
	}
}

// MergeSuspects merges what other routers know about requests that crashed engines.
func (l *Loop) MergeSuspects(entries []quarantine.Entry) {
	l.init()
	for _, e := range entries {
		for _, crash := range e.Crashes {
			l.watcher.RecordReport(e.At, crash)
		}
	}
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	l.tracker.Merge(l.Now(), entries)
}

// bootIDs holds, by attempt, the boot identifier of the engine process on which a slot was granted.
type bootIDs struct {
	mu        sync.Mutex
	byAttempt map[string]string
}

func (b *bootIDs) put(attempt, boot string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byAttempt == nil {
		b.byAttempt = map[string]string{}
	}
	b.byAttempt[attempt] = boot
}

func (b *bootIDs) take(attempt string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	boot := b.byAttempt[attempt]
	delete(b.byAttempt, attempt)
	return boot
}
