package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/quarantine"
)

// Crashes finds requests that crash each backend server which runs them, also when their callers send them again to other routers.
type Crashes struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// fresh holds the entries that the other routers are told of, by fingerprint.
	fresh map[string]quarantine.Entry
	// heard holds the crashes that other routers told of, so that a repeated message does not renew them.
	heard map[heardCrash]struct{}
}

type heardCrash struct {
	fingerprint string
	crash       quarantine.Crash
}

// heardLimit bounds the crashes that are remembered as heard.
const heardLimit = 4096

const (
	// crashLimit is the number of servers that one request may crash.
	crashLimit = 3
	// crashSuspicion is how long a request that was on a crashed server is remembered, and crashExpiry how long one that crashed
	// too many is refused: longer than callers come again with it.
	crashSuspicion = 2 * time.Minute
	crashExpiry    = 10 * time.Minute
	// crashSpread is how long the other routers are told of a crash, in several heartbeats, and crashesEach bounds the entries in
	// one heartbeat.
	crashSpread = 2 * time.Second
	crashesEach = 8
	// crashCheck is the time after a broken connection in which a server that has crashed stops listening.
	crashCheck = 30 * time.Millisecond
	// quarantined is when a caller may come back with a request that is refused because it crashes servers.
	quarantined = 10 * time.Second
)

// NewCrashes returns a record without crashes.
func NewCrashes() *Crashes {
	s := quarantine.Defaults()
	s.Crashes, s.Suspicion, s.Expiry = crashLimit, crashSuspicion, crashExpiry
	return &Crashes{tracker: quarantine.New(s), fresh: map[string]quarantine.Entry{}, heard: map[heardCrash]struct{}{}}
}

// fingerprint identifies a request that is sent again by its path, its client account and its body.
func (c *call) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{c.r.Method, c.r.Host, c.target, c.account} {
		// A digest takes any bytes.
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = h.Write(c.body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// refused is true for a request that has crashed too many servers.
func (x *Crashes) refused(now time.Time, fingerprint string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tracker.State(now, fingerprint) == quarantine.Quarantined
}

// answered clears a request that a server has answered.
func (x *Crashes) answered(fingerprint, server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tracker.End(fingerprint, server, true)
	delete(x.fresh, fingerprint)
}

// broken checks whether a server whose connection broke has crashed, and remembers the request if so.
func (x *Crashes) broken(fingerprint, address string, c quarantine.Crash) {
	time.AfterFunc(crashCheck, func() {
		if listens(address) {
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, e := range x.tracker.Crashed(time.Now(), c, []string{fingerprint}) {
			x.fresh[e.Fingerprint] = e
		}
	})
}

// listens is true if a server accepts a connection.
func listens(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheck*2)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// That it was accepted is all that was asked.
	_ = conn.Close()
	return true
}

// Fresh returns the entries to tell the other routers.
func (x *Crashes) Fresh(now time.Time) []quarantine.Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []quarantine.Entry
	for f, e := range x.fresh {
		if now.Sub(e.At) > crashSpread {
			delete(x.fresh, f)
			continue
		}
		if len(out) < crashesEach {
			out = append(out, e)
		}
	}
	return out
}

// Merge takes the entries of another router.
func (x *Crashes) Merge(now time.Time, entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range entries {
		if !x.hear(e) {
			continue
		}
		for _, changed := range x.tracker.Merge(now, []quarantine.Entry{e}) {
			// What is new here is passed on, since not all routers hear each other.
			x.fresh[changed.Fingerprint] = changed
		}
	}
}

// hear is true if an entry tells of a crash that was not heard of before.
func (x *Crashes) hear(e quarantine.Entry) bool {
	if len(x.heard) > heardLimit {
		clear(x.heard)
	}
	before := len(x.heard)
	for _, c := range e.Crashes {
		x.heard[heardCrash{e.Fingerprint, c}] = struct{}{}
	}
	return len(x.heard) > before
}
