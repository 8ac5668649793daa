package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/crashwatch"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/roster"
)

// CrashTracker detects requests that crash every backend server that runs them, and parts of
// prompts that crash every backend server that begins to answer them. Routers announce crashes to
// each other, so a request is detected even if its client resends it to other routers, and a part
// even if no two requests with it are alike.
type CrashTracker struct {
	// Log and Metrics may be set before first use; by default nothing is logged or exported.
	Log     *zap.Logger
	Metrics *CrashMetrics
	// OnCrash is called for each crash that this router, or another one, has recently seen. Optional.
	OnCrash func(now time.Time, crash quarantine.Crash)

	// watcher looks at the servers of attempts that were given up.
	watcher crashwatch.Watcher[givenUpRun]

	mu      sync.Mutex
	tracker *quarantine.Tracker
	parts   *quarantine.PartTracker
	// partNames holds the IDs of prompt parts that this router has seen in crashes or rejections.
	partNames map[quarantine.PartKey]string
	// requestCrashes holds the crashes of each quarantined request.
	requestCrashes map[string][]quarantine.CrashKey
	// trials holds the fingerprints of the requests that are on trial; see beginTrial.
	trials map[string]struct{}
	// outgoing holds the tracker's entries to announce to the other routers, by fingerprint.
	outgoing map[string]quarantine.Entry
	// refreshedAt is when each quarantined request was last announced, by fingerprint.
	refreshedAt map[string]time.Time
	// seen holds the crashes that other routers have announced. An announcement without new crashes
	// is ignored, so that it neither restores an entry nor is announced again.
	seen map[seenCrash]struct{}
}

// seenCrash identifies a crash that another router has announced.
type seenCrash struct {
	fingerprint string
	crash       quarantine.Crash
}

// Sizes above which the set of seen crashes, the names of prompt parts and the crashes of
// quarantined requests are cleared.
const (
	maxSeenCrashes    = 4096
	maxPartNames      = 4096
	maxRequestCrashes = 1024
)

const (
	// maxCrashedServers is the number of crashed servers after which a request is quarantined.
	maxCrashedServers = 3
	// suspectTTL is how long the tracker remembers a request that ran on a crashed server.
	// quarantineTTL is how long it rejects a quarantined request. Clients stop resending a request
	// before this time has passed.
	suspectTTL    = 2 * time.Minute
	quarantineTTL = 10 * time.Minute
	// crashAnnounceTime is how long after a crash its entry is announced to the other routers. This
	// is several heartbeats. A heartbeat carries at most maxEntriesPerHeartbeat entries.
	crashAnnounceTime      = 2 * time.Second
	maxEntriesPerHeartbeat = 8
	// quarantineRefreshInterval is the time between two announcements of a quarantined request, for
	// routers that have started or were cut off since.
	quarantineRefreshInterval = time.Second
	// maxPartsPerHeartbeat is the number of prompt parts that a heartbeat carries.
	maxPartsPerHeartbeat = 6
	// maxSuspectParts is the number of parts of one prompt that are tracked. Later parts are
	// ignored.
	maxSuspectParts = 64
	// maxPartNameBytes is the length of the longest part ID that is kept for logs and reports.
	maxPartNameBytes = 64
	// maxPartsLogged is the largest number of prompt parts in one log line.
	maxPartsLogged = 16
	// crashCheckDelay is the time from the break of a connection to the check whether the server
	// still accepts connections. A crashed server stops listening within this time.
	crashCheckDelay = 30 * time.Millisecond
	// quarantinedRetryAfter is the retry delay sent to the client of a quarantined request.
	quarantinedRetryAfter = 10 * time.Second
)

// CrashMetrics holds the metrics of crashes.
type CrashMetrics struct {
	attempts *prometheus.CounterVec
	parts    *prometheus.CounterVec
	givenUp  *prometheus.CounterVec
}

// NewCrashMetrics creates the metrics and registers them with r.
func NewCrashMetrics(r prometheus.Registerer) *CrashMetrics {
	m := &CrashMetrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_crashed_attempts_total", Help: "Attempts at backend servers that crashed, by whether the answer had begun.",
		}, []string{"answer"}),
		parts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_prompt_parts_total", Help: "Changes of the state of prompt parts: cleared by an answer, quarantined, released.",
		}, []string{"change"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_given_up_runs_total",
			Help: "Runs that were given up while their backend server may go on: watched, ignored or on trial, and by verdict if the server crashed.",
		}, []string{"result"}),
	}
	r.MustRegister(m.attempts, m.parts, m.givenUp)
	return m
}

// NewCrashTracker returns a tracker that knows no crashes.
func NewCrashTracker() *CrashTracker {
	settings := quarantine.Defaults()
	settings.CrashLimit, settings.SuspectTTL, settings.QuarantineTTL = maxCrashedServers, suspectTTL, quarantineTTL
	partSettings := quarantine.PartDefaults()
	partSettings.CrashLimit, partSettings.SuspectTTL, partSettings.QuarantineTTL = maxCrashedServers, suspectTTL, quarantineTTL
	return &CrashTracker{
		Log: zap.NewNop(), Metrics: NewCrashMetrics(prometheus.NewRegistry()), tracker: quarantine.New(settings), parts: quarantine.NewPartTracker(partSettings),
		partNames: map[quarantine.PartKey]string{}, requestCrashes: map[string][]quarantine.CrashKey{},
		outgoing: map[string]quarantine.Entry{}, refreshedAt: map[string]time.Time{}, seen: map[seenCrash]struct{}{}, trials: map[string]struct{}{},
	}
}

// suspect is what identifies a request that may crash servers.
type suspect struct {
	// attempt is the ID of the client's attempt, for logs.
	attempt string
	// fingerprint is the same when a client sends the request again.
	fingerprint string
	model       string
	// parts holds the parts of the prompt without the last one, which no other request has.
	// partIDs holds their IDs.
	parts   []quarantine.PartKey
	partIDs []string
}

// newSuspect returns the identity of the request.
func (c *clientRequest) newSuspect() suspect {
	s := suspect{attempt: c.metadata.Attempt, fingerprint: c.computeFingerprint(), model: c.metadata.Model}
	s.partIDs = c.metadata.PromptParts[:min(max(0, len(c.metadata.PromptParts)-1), maxSuspectParts)]
	for _, id := range s.partIDs {
		s.parts = append(s.parts, quarantine.PartKeyOf(c.metadata.Model, id))
	}
	return s
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

// Outcomes of requests that are rejected because they crash servers.
const (
	crashingRequest = "crashes_servers"
	crashingPart    = "crashing_prompt_part"
)

// rejectionReason returns the outcome of a request that must be rejected because it, or a part of
// its prompt, has crashed too many servers. It returns an empty string for any other request.
func (t *CrashTracker) rejectionReason(now time.Time, s suspect) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateParts(now)
	if len(t.parts.Rejects(s.parts)) > 0 {
		return crashingPart
	}
	if t.isQuarantined(now, s.fingerprint) {
		return crashingRequest
	}
	return ""
}

// logRejection logs the parts for which a request is rejected.
func (t *CrashTracker) logRejection(s suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if parts := t.parts.Rejects(s.parts); len(parts) > 0 {
		t.rememberNames(s)
		t.Log.Info("prompt has parts that crash backend servers", zap.String("id", s.attempt), zap.Strings("parts", t.describeParts(parts)))
	}
}

// isQuarantined returns true if a request has crashed too many servers. Crashes that a quarantined
// prompt part has caused don't count.
func (t *CrashTracker) isQuarantined(now time.Time, fingerprint string) bool {
	if t.tracker.State(now, fingerprint) != quarantine.Quarantined {
		return false
	}
	crashes, known := t.requestCrashes[fingerprint]
	return !known || t.parts.Unexplained(crashes) >= maxCrashedServers
}

// recordResponse removes a request from the suspects after a server has responded to it, and stops
// announcing it.
func (t *CrashTracker) recordResponse(s suspect, server string) {
	t.watcher.RecordAnswer(s.fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.End(s.fingerprint, server, true)
	delete(t.outgoing, s.fingerprint)
}

// recordAnswer clears the parts of a prompt after a server has begun to answer it.
func (t *CrashTracker) recordAnswer(now time.Time, s suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Metrics.parts.WithLabelValues("cleared").Add(float64(len(t.parts.RecordAnswer(now, s.model, s.parts))))
}

// checkCrash is called when a connection to a server broke during a request. answered is true if
// the server had begun to answer. After crashCheckDelay it checks whether the server still accepts
// connections. If not, it records the crash for the request. Otherwise the server may go on with the
// request, until the given deadline.
func (t *CrashTracker) checkCrash(s suspect, answered bool, server roster.Server, deadline time.Time) {
	brokenAt := time.Now()
	time.AfterFunc(crashCheckDelay, func() {
		err := tryConnection(server.Address)
		if err == nil {
			t.watchRun(s, answered, server, deadline)
			return
		}
		if isRefused(err) {
			t.watcher.RecordCrash(brokenAt, crashOf(server))
		}
		t.recordCrash(brokenAt, s, answered, crashOf(server))
	})
}

// recordCrash records that a server crashed while the request was there. The parts of a prompt that
// the server had begun to answer did not crash it.
func (t *CrashTracker) recordCrash(now time.Time, s suspect, answered bool, crash quarantine.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordEntries(t.tracker.RecordCrash(now, crash, []string{s.fingerprint}))
	label := "begun"
	if !answered {
		label = "not_begun"
		t.rememberNames(s)
		t.parts.RecordCrash(now, crash.Key(), s.model, s.parts)
	}
	t.Metrics.attempts.WithLabelValues(label).Inc()
	t.Log.Info("backend server crashed during a request", zap.String("id", s.attempt), zap.String("server", crash.Engine), zap.String("born", crash.Boot),
		zap.String("crash", formatCrash(crash.Key())), zap.Bool("answer_begun", answered), zap.Strings("parts", s.partIDs[:min(len(s.partIDs), maxPartsLogged)]))
	t.updateParts(now)
	t.reportCrash(now, crash)
}

// recentCrash is how long ago a crash may be that another router reports, for OnCrash.
const recentCrash = 3 * time.Second

func (t *CrashTracker) reportCrash(now time.Time, crash quarantine.Crash) {
	if t.OnCrash != nil {
		t.OnCrash(now, crash)
	}
}

// recordEntries announces changed entries, and notes the crashes of those that are quarantined.
func (t *CrashTracker) recordEntries(entries []quarantine.Entry) {
	for _, e := range entries {
		t.outgoing[e.Fingerprint] = e
		if !e.Quarantined {
			continue
		}
		if len(t.requestCrashes) > maxRequestCrashes {
			clear(t.requestCrashes)
		}
		t.requestCrashes[e.Fingerprint] = quarantine.KeysOf(e.Crashes)
	}
}

// updateParts decides which parts are quarantined and logs the changes.
func (t *CrashTracker) updateParts(now time.Time) {
	var requests [][]quarantine.CrashKey
	if t.parts.HasCandidates() {
		for _, crashes := range t.requestCrashes {
			requests = append(requests, crashes)
		}
	}
	added, released := t.parts.Update(now, requests)
	t.reportParts("quarantined", "prompt parts quarantined: backend servers that begin to answer prompts with them crash", added)
	t.reportParts("released", "prompt parts released", released)
}

func (t *CrashTracker) reportParts(change, message string, parts []quarantine.PartKey) {
	if len(parts) == 0 {
		return
	}
	t.Metrics.parts.WithLabelValues(change).Add(float64(len(parts)))
	t.Log.Warn(message, zap.Strings("parts", t.describeParts(parts)))
}

// rememberNames notes the IDs of the parts of a prompt for logs and reports.
func (t *CrashTracker) rememberNames(s suspect) {
	if len(t.partNames) > maxPartNames {
		clear(t.partNames)
	}
	for i, key := range s.parts {
		if len(s.partIDs[i]) <= maxPartNameBytes {
			t.partNames[key] = s.partIDs[i]
		}
	}
}

// describeParts returns a text for each of at most maxPartsLogged parts: its ID if this router has
// seen it, and its crashes.
func (t *CrashTracker) describeParts(parts []quarantine.PartKey) []string {
	var out []string
	for _, key := range parts[:min(len(parts), maxPartsLogged)] {
		out = append(out, t.partName(key)+" after crashes "+strings.Join(formatCrashes(t.parts.Crashes(key)), " "))
	}
	return out
}

// partName returns the ID of a part, or its key if this router doesn't know the ID.
func (t *CrashTracker) partName(key quarantine.PartKey) string {
	if name, known := t.partNames[key]; known {
		return name
	}
	return "key " + strconv.FormatUint(uint64(key), 16)
}

func formatCrash(key quarantine.CrashKey) string { return strconv.FormatUint(uint64(key), 16) }

func formatCrashes(keys []quarantine.CrashKey) []string {
	var out []string
	for _, key := range keys {
		out = append(out, formatCrash(key))
	}
	return out
}

// PromptPart is the state of a prompt part for operators.
type PromptPart struct {
	// Name is the ID of the part, or its key if this router doesn't know the ID.
	Name        string
	Quarantined bool
	// Age is the time since the latest crash, and Crashes identifies the crashes as in the logs.
	Age     time.Duration
	Crashes []string
}

// maxPartsListed is the largest number of prompt parts in a report for operators.
const maxPartsListed = 20

// PromptParts returns the quarantined and suspect prompt parts, those with the most crashes first.
func (t *CrashTracker) PromptParts(now time.Time) []PromptPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateParts(now)
	var out []PromptPart
	for _, p := range t.parts.List(now, maxPartsListed) {
		out = append(out, PromptPart{Name: t.partName(p.Part), Quarantined: p.State == quarantine.Quarantined, Age: p.Age, Crashes: formatCrashes(p.Crashes)})
	}
	return out
}

// OutgoingParts returns the reports on prompt parts to announce to the other routers. If forward is
// false, they are those on crashes and answers that this router saw itself.
func (t *CrashTracker) OutgoingParts(now time.Time, forward bool) []quarantine.PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateParts(now)
	return t.parts.Outgoing(now, forward, maxPartsPerHeartbeat)
}

// MergeParts records the reports on prompt parts that another router has announced.
func (t *CrashTracker) MergeParts(now time.Time, reports []quarantine.PartReport) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.Merge(now, reports)
	t.updateParts(now)
}

// tryConnection returns an error unless a server accepts a TCP connection within 2*crashCheckDelay.
func tryConnection(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay*2)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	// Only the result of the dial matters here.
	_ = conn.Close()
	return nil
}

// Outgoing returns at most maxEntriesPerHeartbeat entries to announce to the other routers, and
// removes those whose crashAnnounceTime has passed. If refresh is true, quarantined requests are
// announced again and again.
func (t *CrashTracker) Outgoing(now time.Time, refresh bool) []quarantine.Entry {
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
	if refresh {
		entries = append(entries, t.dueQuarantines(now, maxEntriesPerHeartbeat-len(entries))...)
	}
	return entries
}

// dueQuarantines returns the quarantined requests that were not announced within
// quarantineRefreshInterval, the ones that have waited longest first.
func (t *CrashTracker) dueQuarantines(now time.Time, limit int) []quarantine.Entry {
	quarantined := t.tracker.Quarantined(now)
	lastRefresh := make(map[string]time.Time, len(quarantined))
	var due []quarantine.Entry
	for _, e := range quarantined {
		at := t.refreshedAt[e.Fingerprint]
		lastRefresh[e.Fingerprint] = at
		if _, isNews := t.outgoing[e.Fingerprint]; !isNews && now.Sub(at) >= quarantineRefreshInterval {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b quarantine.Entry) int {
		return lastRefresh[a.Fingerprint].Compare(lastRefresh[b.Fingerprint])
	})
	due = due[:min(len(due), limit)]
	for _, e := range due {
		lastRefresh[e.Fingerprint] = now
	}
	t.refreshedAt = lastRefresh
	return due
}

// Merge records the entries that another router has announced. Entries without a new crash are
// ignored.
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
		for _, crash := range e.Crashes {
			t.watcher.RecordReport(e.At, crash)
		}
		if now.Sub(e.At) < recentCrash {
			for _, crash := range e.Crashes {
				t.reportCrash(now, crash)
			}
		}
		e.Quarantined = len(e.Crashes) >= maxCrashedServers
		for _, changed := range t.tracker.Merge(now, []quarantine.Entry{e}) {
			// Forward entries that are new to this router, because not every router reaches every
			// other one.
			t.recordEntries([]quarantine.Entry{changed})
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
