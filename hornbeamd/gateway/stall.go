package gateway

import (
	"context"
	"time"

	"hornbeamstep.example/routing/balance"
)

// stallTimeout is the time without any event after which a server with several streams counts as
// stalled. In that time, a server normally emits many events for each of its streams. A server with
// a single stream gets singleStreamStallTimeout, because it may have preempted the stream for a
// more urgent request.
const (
	stallTimeout             = 400 * time.Millisecond
	singleStreamStallTimeout = 2 * stallTimeout
)

// serverStreams tracks the streams in progress at one server, each from its first event.
type serverStreams struct {
	// lastEvent is when the latest event of any of these streams arrived.
	lastEvent time.Time
	// active holds the streams in progress that have received at least one event.
	active map[*stream]struct{}
}

// stream is an attempt whose response is a stream.
type stream struct {
	server string
	cancel context.CancelCauseFunc
	// resumable is true if the stream can resume at another server.
	resumable bool
}

// recordEvent records that an event of a stream has arrived.
func (u *Upstreams) recordEvent(now time.Time, s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.streams == nil {
		u.streams = map[string]*serverStreams{}
	}
	group := u.streams[s.server]
	if group == nil {
		group = &serverStreams{active: map[*stream]struct{}{}}
		u.streams[s.server] = group
	}
	group.lastEvent = now
	group.active[s] = struct{}{}
}

// removeStream stops tracking a stream.
func (u *Upstreams) removeStream(s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	group := u.streams[s.server]
	if group == nil {
		return
	}
	delete(group.active, s)
	if len(group.active) == 0 {
		delete(u.streams, s.server)
	}
}

// CheckStalls returns the IDs of the servers with streams in progress that have sent no event for
// too long. It cancels the resumable streams of these servers, and reports the servers to the
// balancer as unreachable, so that they are paused.
func (u *Upstreams) CheckStalls(now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var stalled []string
	for id, group := range u.streams {
		timeout := stallTimeout
		if len(group.active) == 1 {
			timeout = singleStreamStallTimeout
		}
		if now.Sub(group.lastEvent) < timeout {
			continue
		}
		stalled = append(stalled, id)
		u.Balancer.RecordFailure(now, id, balance.Unreachable)
		for s := range group.active {
			if s.resumable {
				s.cancel(errNoProgress)
			}
		}
		delete(u.streams, id)
	}
	return stalled
}
