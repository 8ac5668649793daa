// Package crashwatch looks at backend servers that may go on with requests which the router has given up.
package crashwatch

import (
	"context"
	"sync"
	"time"

	"hornbeamstep.example/routing/quarantine"
)

// State is what a look at a server shows.
type State uint8

// A server is Unknown if nothing shows its state, or if finding out has a cost and must not be repeated soon.
const (
	Unknown State = iota
	Running
	Crashed
)

// Server is a process of a backend server.
type Server struct {
	quarantine.Crash
	// Name is the name or the address by which Watcher.Look finds the server.
	Name    string
	Service string
}

const (
	// lookInterval is the time between two looks at a server, and unknownInterval that after one which is
	// Unknown. Looks at all servers run at the same time.
	lookInterval    = 100 * time.Millisecond
	unknownInterval = 500 * time.Millisecond
	// minWatch and maxWatch limit how long a run that was given up is watched. The servers are told the
	// deadline of their requests and stop then.
	minWatch = time.Second
	maxWatch = 15 * time.Second
)

// Watcher watches the servers of runs that were given up, and gives a verdict on each crash. The exported
// fields must be set before first use. It is safe for concurrent use. Its functions must not call it,
// except Judge.
type Watcher[R any] struct {
	// Look looks at a server. It is called only while the server may go on with a run.
	Look func(context.Context, Server) State
	// InService reports whether a server should be running. A server that leaves doesn't crash.
	InService func(Server) bool
	// PathLost reports whether this router reaches no server of a service, so that it can't tell whether
	// one has crashed.
	PathLost func(service string) bool
	// Suspects returns servers that may have crashed, as another one has. They are looked at, because
	// crashes at the same time have a common cause. Optional.
	Suspects func() []Server
	// Judge is called with each verdict.
	Judge func(quarantine.Verdict[R])

	mu      sync.Mutex
	watch   *quarantine.Watch[R]
	servers map[quarantine.Crash]*target
	// isLooking is true while a look is scheduled or in progress, and hasCrash if a server has crashed since
	// the latest one.
	isLooking, hasCrash bool
}

// target is a server that is watched.
type target struct {
	Server
	nextLook time.Time
}

// Deadline returns until when a run is watched that was given up now and whose server was told the given
// deadline; zero if it was told none.
func Deadline(now, deadline time.Time) time.Time {
	latest := now.Add(maxWatch)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	if earliest := now.Add(minWatch); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// Watch watches a run that was given up at a server. It returns false if there are too many of them, or
// if the server is known to have crashed.
func (w *Watcher[R]) Watch(s Server, run quarantine.Run[R]) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if !w.watch.Add(s.Crash, run) {
		return false
	}
	if w.servers[s.Crash] == nil {
		w.servers[s.Crash] = &target{s, time.Now()}
	}
	w.schedule()
	return true
}

// RecordReport records that another router has reported a crash.
func (w *Watcher[R]) RecordReport(at time.Time, crash quarantine.Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.watch.RecordReport(at, crash)
}

// RecordCrash records that a server crashed, as another request has shown.
func (w *Watcher[R]) RecordCrash(at time.Time, crash quarantine.Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.recordCrash(at, crash)
	if w.watch.IsActive() {
		w.schedule()
	}
}

// RecordAnswer records that a server has answered a request.
func (w *Watcher[R]) RecordAnswer(fingerprint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.watch.RecordAnswer(fingerprint)
}

func (w *Watcher[R]) init() {
	if w.watch == nil {
		w.watch, w.servers = quarantine.NewWatch[R](quarantine.WatchDefaults()), map[quarantine.Crash]*target{}
	}
}

func (w *Watcher[R]) recordCrash(at time.Time, crash quarantine.Crash) {
	if t := w.servers[crash]; t != nil && !w.InService(t.Server) {
		w.watch.Forget(crash)
	}
	w.watch.RecordCrash(at, crash)
	w.hasCrash = true
}

func (w *Watcher[R]) schedule() {
	if !w.isLooking {
		w.isLooking = true
		time.AfterFunc(lookInterval, w.tick)
	}
}

// tick looks at the servers that are due and gives the verdicts that are due.
func (w *Watcher[R]) tick() {
	w.look(w.dueServers())
	w.look(w.suspects())
	for _, v := range w.verdicts() {
		w.Judge(v)
	}
}

// suspects returns the servers to look at because another one has crashed.
func (w *Watcher[R]) suspects() []*target {
	w.mu.Lock()
	hasCrash := w.hasCrash
	w.hasCrash = false
	w.mu.Unlock()
	if !hasCrash || w.Suspects == nil {
		return nil
	}
	var targets []*target
	for _, s := range w.Suspects() {
		targets = append(targets, &target{Server: s})
	}
	return targets
}

// verdicts returns the verdicts that are due, and schedules the next look if one is needed.
func (w *Watcher[R]) verdicts() []quarantine.Verdict[R] {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdicts := w.watch.Verdicts(time.Now())
	for i, v := range verdicts {
		if t := w.servers[v.Crash]; t != nil && w.PathLost(t.Service) {
			verdicts[i].Reason = quarantine.Unreached
		}
	}
	w.isLooking = false
	if w.watch.IsActive() {
		w.schedule()
	}
	return verdicts
}

// dueServers returns the servers to look at, and forgets those without a run.
func (w *Watcher[R]) dueServers() []*target {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := map[quarantine.Crash]bool{}
	var due []*target
	for _, crash := range w.watch.Servers(now) {
		watched[crash] = true
		if t := w.servers[crash]; !now.Before(t.nextLook) {
			due = append(due, t)
		}
	}
	for crash, t := range w.servers {
		if !watched[crash] && now.Sub(t.nextLook) > maxWatch {
			delete(w.servers, crash)
		}
	}
	return due
}

// look looks at servers at the same time.
func (w *Watcher[R]) look(servers []*target) {
	var group sync.WaitGroup
	for _, t := range servers {
		group.Go(func() {
			state := w.Look(context.Background(), t.Server)
			w.mu.Lock()
			defer w.mu.Unlock()
			now := time.Now()
			t.nextLook = now
			switch state {
			case Crashed:
				w.recordCrash(now, t.Crash)
			case Unknown:
				t.nextLook = now.Add(unknownInterval)
			}
		})
	}
	group.Wait()
}
