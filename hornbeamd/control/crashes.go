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

	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/timeline"
)

// apart is the code for a suspect that has to wait because another one runs. It never reaches a caller.
const apart outcome.Code = "apart"

const (
	// probeLimit is how long an engine may take to show that it lives after a connection to it broke. One that takes longer
	// is slow: only a refused or reset connection, or another life, is a crash.
	probeLimit = 500 * time.Millisecond
	// probePause is the greatest wait before an engine is probed again whose answer says neither.
	probePause = 50 * time.Millisecond
)

// quarantined refuses requests that have crashed too many engines.
func (l *Loop) quarantined(a caller.Ask) *outcome.Error {
	l.tracked.Lock()
	defer l.tracked.Unlock()
	if l.tracker.State(l.Now(), a.Fingerprint) != quarantine.Quarantined {
		return nil
	}
	return &outcome.Error{
		Code: outcome.Quarantined, Outcome: outcome.NotRun, Status: http.StatusUnprocessableEntity,
		Message: "engines crash when they run this request",
		Remedy:  "change the request, or ask an operator to release fingerprint " + a.Fingerprint,
	}
}

// suspicion returns the crash that a request is suspected of, or nil.
func (l *Loop) suspicion(fingerprint string) *quarantine.Crash {
	l.tracked.Lock()
	defer l.tracked.Unlock()
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

// mayStart keeps suspects apart on the engines that this router owns. It returns "" if the request may start.
func (l *Loop) mayStart(now time.Time, engine string, ask SlotAsk) outcome.Code {
	if ask.Fingerprint == "" {
		return ""
	}
	l.tracked.Lock()
	defer l.tracked.Unlock()
	if ask.Suspect != nil {
		l.tracker.Merge(now, []quarantine.Entry{{
			Fingerprint: ask.Fingerprint, Crashes: []quarantine.Crash{*ask.Suspect}, At: now,
		}})
	}
	if l.tracker.State(now, ask.Fingerprint) == quarantine.Quarantined {
		return outcome.Quarantined
	}
	if !l.tracker.Start(now, ask.Fingerprint, engine) {
		return apart
	}
	return ""
}

// over ends what mayStart began. A suspect that was answered is cleared.
func (l *Loop) over(fingerprint, engine string, answered bool) {
	if fingerprint == "" {
		return
	}
	l.tracked.Lock()
	defer l.tracked.Unlock()
	l.tracker.End(fingerprint, engine, answered)
}

// broke finds out whether an engine crashed when a connection to it broke, and makes the request a suspect if it did.
func (l *Loop) broke(g caller.Grant, r caller.Result, boot string) {
	if r.Fingerprint == "" || !l.crashed(g.Backend, boot) {
		return
	}
	l.send(func(now time.Time) { l.failed(g.Backend, now) })
	l.tracked.Lock()
	entries := l.tracker.RecordCrash(l.Now(), quarantine.Crash{Engine: g.Backend, Boot: boot}, []string{r.Fingerprint})
	l.tracked.Unlock()
	l.spread(entries, r.Account)
}

// crashed reports whether an engine's life with a boot identifier has ended. A slot that was granted before the engine's first
// report has none; then only an engine that refuses or resets connections counts.
func (l *Loop) crashed(name, boot string) bool {
	b, ok := l.snap.Load().policy.Backends[name]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	if b.Service != "" {
		return refuses(ctx, b.Address)
	}
	client := l.Engine(b)
	defer client.Close()
	wait := retry.Backoff{Base: probePause, Max: probePause}
	for n := 1; ; n++ {
		report, err := client.Load(ctx)
		switch {
		case err == nil:
			return boot != "" && report.Boot != boot
		case dead(err):
			return true
		case pause.For(ctx, wait.Delay(n, rand.Float64())) != nil:
			return false
		}
	}
}

// dead is true for the failures by which a process shows that it has ended: its connections are refused or reset. A deadline
// that passes says only that it is slow.
func dead(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// refuses reports whether a replica of a plain service takes no connections. Services have no boot identifier, so a replica
// that is back within the time of a call is not taken for crashed.
func refuses(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return dead(err)
	}
	_ = conn.Close()
	return false
}

// spread tells the other routers of suspects and quarantined requests.
func (l *Loop) spread(entries []quarantine.Entry, account string) {
	for _, e := range entries {
		kind, text := "suspect", "in flight when an engine crashed"
		if e.Quarantined {
			kind, text = "quarantine", "crashed its engines and is refused from now on"
			l.metrics.quarantined.Inc()
		}
		last := e.Crashes[len(e.Crashes)-1]
		l.record(timeline.Event{Kind: timeline.Quarantined, Backend: last.Engine, Text: e.Fingerprint + ": " + text})
		for _, c := range e.Crashes {
			l.Peers.Spread(kind, e.Fingerprint, account, c, e.At)
		}
	}
}

// Notice takes what other routers know about requests that crashed engines.
func (l *Loop) Notice(entries []quarantine.Entry) {
	l.init()
	l.tracked.Lock()
	defer l.tracked.Unlock()
	l.tracker.Merge(l.Now(), entries)
}

// boots remembers the engine's life in which each slot was granted, by attempt.
type boots struct {
	mu     sync.Mutex
	bySlot map[string]string
}

func (b *boots) put(slot, boot string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bySlot == nil {
		b.bySlot = map[string]string{}
	}
	b.bySlot[slot] = boot
}

func (b *boots) take(slot string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	boot := b.bySlot[slot]
	delete(b.bySlot, slot)
	return boot
}
