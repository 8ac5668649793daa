package gateway

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/crashwatch"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/roster"
)

// givenUpRun is a run that the router has given up while its server may go on with it.
type givenUpRun struct {
	suspect
	// answered is true if the server had begun to answer.
	answered bool
}

// crashOf returns the identity that a crash of a server would have.
func crashOf(s roster.Server) quarantine.Crash {
	return quarantine.Crash{Engine: s.ID, Boot: strconv.FormatInt(s.Born, 10)}
}

func watchedServer(s roster.Server) crashwatch.Server {
	return crashwatch.Server{Crash: crashOf(s), Name: s.Address, Service: s.Service}
}

// watchServers lets the tracker look at the backend servers of s.
func (t *CrashTracker) watchServers(s *Server) {
	t.watcher.Look = s.lookAt
	t.watcher.PathLost = func(service string) bool { return s.Paths.IsLost(service) }
	t.watcher.Suspects = s.serversWithEndedConnections
	t.watcher.InService = func(server crashwatch.Server) bool {
		born, err := strconv.ParseInt(server.Boot, 10, 64)
		return err == nil && s.Upstreams.isInService(server.Engine, born)
	}
	t.watcher.Judge = t.judge
}

// lookAt looks at a server by the connections to it, which end when it crashes. Without one, or if the
// server has ended some, it opens a connection, which later requests use.
func (s *Server) lookAt(ctx context.Context, server crashwatch.Server) crashwatch.State {
	if ended, open := s.Pool.CheckIdle(server.Name); ended == 0 && open > 0 {
		return crashwatch.Running
	}
	if err := s.Pool.Connect(ctx, server.Name); isRefused(err) {
		return crashwatch.Crashed
	}
	return crashwatch.Unknown
}

// isRefused reports whether a server refused a connection. Other errors may come from the network.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// serversWithEndedConnections returns the servers that have ended idle connections.
func (s *Server) serversWithEndedConnections() []crashwatch.Server {
	var out []crashwatch.Server
	for _, state := range s.Upstreams.States(time.Now()) {
		if ended, _ := s.Pool.CheckIdle(state.Address); ended > 0 {
			out = append(out, watchedServer(state.Server))
		}
	}
	return out
}

// watchRun watches the server of an attempt that the router has given up.
func (t *CrashTracker) watchRun(s suspect, answered bool, server roster.Server, deadline time.Time) {
	now := time.Now()
	run := quarantine.Run[givenUpRun]{Fingerprint: s.fingerprint, Until: crashwatch.Deadline(now, deadline), Request: givenUpRun{s, answered}}
	label := "watched"
	if !t.watcher.Watch(watchedServer(server), run) {
		label = "ignored"
	}
	t.Metrics.givenUp.WithLabelValues(label).Inc()
}

// judge records a crash of a server at which a request was given up, unless the crash is no evidence
// against it.
func (t *CrashTracker) judge(v quarantine.Verdict[givenUpRun]) {
	run := v.Run.Request
	t.Metrics.givenUp.WithLabelValues(string(v.Reason)).Inc()
	t.Log.Info("backend server crashed after a request was given up", zap.String("id", run.attempt), zap.String("server", v.Crash.Engine),
		zap.String("born", v.Crash.Boot), zap.String("crash", formatCrash(v.Crash.Key())), zap.String("verdict", string(v.Reason)),
		zap.String("counts", formatCrash(v.Counts.Key())))
	if v.Reason != quarantine.Unreached {
		t.recordCrash(v.At, run.suspect, run.answered, v.Counts)
	}
}

// trialTime is how long the trial of a suspect goes on after its client has left.
const trialTime = 2 * time.Second

// beginTrial reports whether a request must go on after its client has left, because servers crashed that
// ran it. Its end shows whether it crashes servers: a sound request is cleared by its answer. Otherwise a
// request whose clients always leave would collect the crashes of others. There is one trial of a request
// at a time; endTrial must be called.
func (t *CrashTracker) beginTrial(now time.Time, s suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, inProgress := t.trials[s.fingerprint]; inProgress || t.tracker.State(now, s.fingerprint) != quarantine.Suspect {
		return false
	}
	t.trials[s.fingerprint] = struct{}{}
	return true
}

func (t *CrashTracker) endTrial(s suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.trials, s.fingerprint)
}

// trialContext returns a context that ends trialTime after the client has left, and a function that must be
// called at the end of the request.
func (c *clientRequest) trialContext() (context.Context, context.CancelFunc) {
	client := c.r.Context()
	ctx, cancel := context.WithCancel(context.WithoutCancel(client))
	stop := context.AfterFunc(client, func() {
		c.server.Crashes.Metrics.givenUp.WithLabelValues("trial").Inc()
		c.server.Log.Info("client left; its request goes on, as backend servers crashed that ran it", zap.String("id", c.metadata.Attempt))
		time.AfterFunc(trialTime, cancel)
	})
	return ctx, func() {
		stop()
		cancel()
		c.server.Crashes.endTrial(c.suspect)
	}
}
