package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/crashwatch"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/quarantine"
)

// newWatcher returns a watcher of the backend servers of requests that were given up.
func (l *Loop) newWatcher() *crashwatch.Watcher[caller.Result] {
	return &crashwatch.Watcher[caller.Result]{
		Look:      l.lookAt,
		InService: l.isInService,
		// Each look is a call to the server, so that a path that is lost shows no crash.
		PathLost: func(string) bool { return false },
		Judge:    l.judge,
	}
}

// lookAt calls a backend server. It never returns Running, because a call has a cost.
func (l *Loop) lookAt(_ context.Context, s crashwatch.Server) crashwatch.State {
	if l.crashed(s.Name, s.Boot) {
		return crashwatch.Crashed
	}
	return crashwatch.Unknown
}

// isInService reports whether a backend server is configured and not leaving.
func (l *Loop) isInService(s crashwatch.Server) bool {
	b, ok := l.snapshot.Load().policy.Backends[s.Name]
	return ok && b.State != policy.Leaving
}

// watchServer watches the backend server of a request that was given up and may still run there.
func (l *Loop) watchServer(g caller.Grant, r caller.Result, boot string) {
	if r.Fingerprint == "" {
		return
	}
	server := crashwatch.Server{Crash: quarantine.Crash{Engine: g.Backend, Boot: boot}, Name: g.Backend}
	run := quarantine.Run[caller.Result]{Fingerprint: r.Fingerprint, Until: crashwatch.Deadline(time.Now(), r.Deadline), Request: r}
	l.watcher.Watch(server, run)
}

// judge records a crash of a backend server at which a request was given up, unless the crash is no
// evidence against it.
func (l *Loop) judge(v quarantine.Verdict[caller.Result]) {
	r := v.Run.Request
	l.Log.Info("backend server crashed after a request was given up", zap.String("request", r.RequestID), zap.String("server", v.Crash.Engine),
		zap.String("boot", v.Crash.Boot), zap.String("verdict", string(v.Reason)))
	if v.Reason != quarantine.Unreached {
		l.recordCrash(v.Counts, r)
	}
}

// BeginTrial implements caller.Dispatcher.
func (l *Loop) BeginTrial(fingerprint string) (end func(), onTrial bool) {
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	if l.trials[fingerprint] || l.tracker.State(l.Now(), fingerprint) != quarantine.Suspect {
		return nil, false
	}
	l.trials[fingerprint] = true
	return func() {
		l.trackerMu.Lock()
		defer l.trackerMu.Unlock()
		delete(l.trials, fingerprint)
	}, true
}
