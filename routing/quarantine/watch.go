package quarantine

import (
	"maps"
	"slices"
	"time"
)

// WatchSettings configures a Watch.
type WatchSettings struct {
	// SettleTime is the time from a crash to the verdict on the requests that were given up at the
	// server. Other routers report crashes within this time; longer than CrashWindow.
	SettleTime time.Duration
	// CrashWindow is the time between the news of two crashes of different servers within which they may
	// have a common cause, such as the failure of a rack. Such crashes count as one. A crash is noticed late
	// where no connection is open, so it is longer than the time between two looks at a server.
	CrashWindow time.Duration
	// CrashTTL is how long a crash is remembered.
	CrashTTL time.Duration
	// MaxRuns and MaxCrashes limit the number of runs and of remembered crashes. Further ones are ignored.
	MaxRuns, MaxCrashes int
}

// WatchDefaults returns the default settings.
func WatchDefaults() WatchSettings {
	return WatchSettings{SettleTime: 800 * time.Millisecond, CrashWindow: 600 * time.Millisecond, CrashTTL: 2 * time.Minute, MaxRuns: 4096, MaxCrashes: 4096}
}

// Run is a run of a request that a router has given up. R is what the router needs to know of the request
// at a crash.
type Run[R any] struct {
	Fingerprint string
	// Until is when the server stops working on the run at the latest.
	Until   time.Time
	Request R
}

// Reason is the reason of a Verdict.
type Reason string

// A crash counts against a request if it is Attributed or Coincident.
const (
	Attributed Reason = "attributed"
	// Coincident means that other servers crashed at the same time, which counts as one crash.
	Coincident Reason = "coincident"
	// Unreached means that the router reached no server of the service any more.
	Unreached Reason = "unreached"
)

// Verdict says whether a crash counts against a request that was given up at the crashed server.
type Verdict[R any] struct {
	Crash  Crash
	At     time.Time
	Run    Run[R]
	Reason Reason
	// Counts is the crash that counts. Of crashes at the same time it is the same one at all routers that
	// know of them, whichever the request was at.
	Counts Crash
}

// Watch attributes crashes to requests that were given up before their server had answered, because the
// client left or another server took over. The server may go on with such a request and crash later.
// Since it may also have stopped, this is less evidence than a connection that breaks during a request.
// Watch is not safe for concurrent use.
type Watch[R any] struct {
	settings WatchSettings
	// runs holds the latest run of each request at each server. Crash.Boot tells two processes of a server
	// apart.
	runs     map[Crash]map[string]Run[R]
	runCount int
	// crashes holds when servers crashed, and reported the same of crashes that this router has not seen.
	crashes, reported map[Crash]time.Time
	// pending holds the verdicts that are not due yet, without their reasons.
	pending []Verdict[R]
}

// NewWatch returns a Watch that watches nothing.
func NewWatch[R any](s WatchSettings) *Watch[R] {
	return &Watch[R]{settings: s, runs: map[Crash]map[string]Run[R]{}, crashes: map[Crash]time.Time{}, reported: map[Crash]time.Time{}}
}

// Add adds a run that was given up at a server, and reports whether it is watched. It isn't if the server
// is known to have crashed.
func (w *Watch[R]) Add(server Crash, run Run[R]) bool {
	if _, crashed := w.crashes[server]; crashed {
		return false
	}
	previous, known := w.runs[server][run.Fingerprint]
	switch {
	case known && previous.Until.After(run.Until):
		return true
	case !known && w.runCount >= w.settings.MaxRuns:
		return false
	case !known:
		w.runCount++
	}
	if w.runs[server] == nil {
		w.runs[server] = map[string]Run[R]{}
	}
	w.runs[server][run.Fingerprint] = run
	return true
}

// Servers returns the servers at which runs are in progress, and forgets the runs that have ended.
func (w *Watch[R]) Servers(now time.Time) []Crash {
	for server, runs := range w.runs {
		for fingerprint, run := range runs {
			if !run.Until.After(now) {
				w.remove(server, fingerprint)
			}
		}
	}
	for _, crashes := range []map[Crash]time.Time{w.crashes, w.reported} {
		maps.DeleteFunc(crashes, func(_ Crash, at time.Time) bool { return now.Sub(at) >= w.settings.CrashTTL })
	}
	return slices.Collect(maps.Keys(w.runs))
}

// remove forgets a run, if there is one.
func (w *Watch[R]) remove(server Crash, fingerprint string) {
	runs := w.runs[server]
	if _, known := runs[fingerprint]; !known {
		return
	}
	w.runCount--
	delete(runs, fingerprint)
	if len(runs) == 0 {
		delete(w.runs, server)
	}
}

// IsActive reports whether Servers and Verdicts must be called again.
func (w *Watch[R]) IsActive() bool { return len(w.runs) > 0 || len(w.pending) > 0 }

// Forget forgets the runs at a server that leaves, because its end is no crash.
func (w *Watch[R]) Forget(server Crash) {
	w.runCount -= len(w.runs[server])
	delete(w.runs, server)
}

// RecordCrash records that a server crashed, which may be known already.
func (w *Watch[R]) RecordCrash(at time.Time, crash Crash) {
	if _, known := w.crashes[crash]; known {
		return
	}
	if len(w.crashes) < w.settings.MaxCrashes {
		w.crashes[crash] = at
	}
	for _, run := range w.runs[crash] {
		if !run.Until.Before(at) {
			w.pending = append(w.pending, Verdict[R]{Crash: crash, At: at, Run: run})
		}
	}
	w.Forget(crash)
}

// RecordReport records that another router has reported a crash, which may be only lost contact. It is no
// evidence against the runs at that server, but may have the same cause as another crash.
func (w *Watch[R]) RecordReport(at time.Time, crash Crash) {
	if _, known := w.reported[crash]; !known && len(w.reported) < w.settings.MaxCrashes {
		w.reported[crash] = at
	}
}

// RecordAnswer records that a server has answered a request, which therefore crashes none.
func (w *Watch[R]) RecordAnswer(fingerprint string) {
	for server := range w.runs {
		w.remove(server, fingerprint)
	}
	w.pending = slices.DeleteFunc(w.pending, func(v Verdict[R]) bool { return v.Run.Fingerprint == fingerprint })
}

// Verdicts returns the verdicts that are due.
func (w *Watch[R]) Verdicts(now time.Time) []Verdict[R] {
	var due, later []Verdict[R]
	for _, v := range w.pending {
		if now.Sub(v.At) < w.settings.SettleTime {
			later = append(later, v)
			continue
		}
		v.Reason, v.Counts = w.judge(v)
		due = append(due, v)
	}
	w.pending = later
	return due
}

// judge returns the reason of a verdict and the crash that counts.
func (w *Watch[R]) judge(v Verdict[R]) (reason Reason, counts Crash) {
	reason, counts = Attributed, v.Crash
	for _, crashes := range []map[Crash]time.Time{w.crashes, w.reported} {
		for crash, at := range crashes {
			if crash == v.Crash || at.Sub(v.At).Abs() > w.settings.CrashWindow {
				continue
			}
			reason = Coincident
			if compareCrashes(crash, counts) < 0 {
				counts = crash
			}
		}
	}
	return reason, counts
}
