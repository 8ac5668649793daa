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

// CrashTracker detects requests that crash every backend server that runs them, including when
// clients resend them to other routers.
type CrashTracker struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// outgoing holds the entries to announce to the other routers, by fingerprint.
	outgoing map[string]quarantine.Entry
	// seen holds the crashes that other routers have announced, so that a repeated message does not
	// renew them.
	seen map[seenCrash]struct{}
}

// seenCrash identifies a crash that another router has announced.
type seenCrash struct {
	fingerprint string
	crash       quarantine.Crash
}

// maxSeenCrashes is the size at which the set of seen crashes is cleared.
const maxSeenCrashes = 4096

const (
	// maxCrashedServers is the number of crashed servers after which a request is quarantined.
	maxCrashedServers = 3
	// suspicionTTL is how long a request that ran on a crashed server is remembered. quarantineTTL
	// is how long a quarantined request is rejected, which is longer than clients keep resending
	// it.
	suspicionTTL  = 2 * time.Minute
	quarantineTTL = 10 * time.Minute
	// crashAnnounceTime is how long a crash is announced to the other routers. It spans several
	// heartbeats, each of which carries at most maxEntriesPerHeartbeat entries.
	crashAnnounceTime      = 2 * time.Second
	maxEntriesPerHeartbeat = 8
	// crashCheckDelay is the time between a broken connection and the check of whether the server
	// still accepts connections. A crashed server stops listening within this time.
	crashCheckDelay = 30 * time.Millisecond
	// quarantinedRetryAfter is the retry delay sent to the client of a quarantined request.
	quarantinedRetryAfter = 10 * time.Second
)

// NewCrashTracker returns an empty crash record.
func NewCrashTracker() *CrashTracker {
	settings := quarantine.Defaults()
	settings.CrashLimit, settings.SuspectTTL, settings.QuarantineTTL = maxCrashedServers, suspicionTTL, quarantineTTL
	return &CrashTracker{tracker: quarantine.New(settings), outgoing: map[string]quarantine.Entry{}, seen: map[seenCrash]struct{}{}}
}

// computeFingerprint hashes the method, host, path and query, client account and body of a request.
// A request that is sent again has the same fingerprint.
func (c *clientRequest) computeFingerprint() string {
	h := xxhash.New()
	for _, part := range []string{c.r.Method, c.r.Host, c.target, c.account} {
		// Writing to a hash never fails. The length prefix separates the parts.
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = h.Write(c.body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// isQuarantined returns true if the request has crashed too many servers.
func (t *CrashTracker) isQuarantined(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.State(now, fingerprint) == quarantine.Quarantined
}

// recordResponse clears the suspicion against a request after a server has responded to it.
func (t *CrashTracker) recordResponse(fingerprint, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.End(fingerprint, server, true)
	delete(t.outgoing, fingerprint)
}

// checkCrash checks whether a server has crashed after its connection broke, and if so records the
// crash for the request.
func (t *CrashTracker) checkCrash(fingerprint, address string, crash quarantine.Crash) {
	time.AfterFunc(crashCheckDelay, func() {
		if acceptsConnections(address) {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, e := range t.tracker.RecordCrash(time.Now(), crash, []string{fingerprint}) {
			t.outgoing[e.Fingerprint] = e
		}
	})
}

// acceptsConnections returns true if a server accepts a TCP connection.
func acceptsConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay*2)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Only the result of the dial matters here.
	_ = conn.Close()
	return true
}

// Outgoing returns the entries to announce to the other routers.
func (t *CrashTracker) Outgoing(now time.Time) []quarantine.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []quarantine.Entry
	for f, e := range t.outgoing {
		if now.Sub(e.At) > crashAnnounceTime {
			delete(t.outgoing, f)
			continue
		}
		if len(entries) < maxEntriesPerHeartbeat {
			entries = append(entries, e)
		}
	}
	return entries
}

// Merge records the entries that another router has announced.
func (t *CrashTracker) Merge(now time.Time, entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if !t.recordSeen(e) {
			continue
		}
		for _, changed := range t.tracker.Merge(now, []quarantine.Entry{e}) {
			// Forward entries that are new to this router, because not every router reaches every
			// other one.
			t.outgoing[changed.Fingerprint] = changed
		}
	}
}

// recordSeen records the crashes of an entry as seen and returns true if any of them is new.
func (t *CrashTracker) recordSeen(e quarantine.Entry) bool {
	if len(t.seen) > maxSeenCrashes {
		clear(t.seen)
	}
	seenBefore := len(t.seen)
	for _, c := range e.Crashes {
		t.seen[seenCrash{e.Fingerprint, c}] = struct{}{}
	}
	return len(t.seen) > seenBefore
}
