package gateway

import (
	"sync/atomic"
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
	// onStall is called when the server sends no events; nil if the stream cannot continue at
	// another server. It must not block.
	onStall func()
	// isWriting is true while the router sends an event to the client. It reads none meanwhile, for as long
	// as the client does not read.
	isWriting atomic.Bool
}

// areWriting reports whether the router waits for the clients of all streams and not for the server.
func (g *serverStreams) areWriting() bool {
	for s := range g.active {
		if !s.isWriting.Load() {
			return false
		}
	}
	return true
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
// too long. It reports these servers to the balancer as unreachable, so that they are paused, and
// starts standbys for their resumable streams.
func (u *Upstreams) CheckStalls(now time.Time) []string {
	stalled, callbacks := u.takeStalled(now)
	for _, onStall := range callbacks {
		onStall()
	}
	return stalled
}

// takeStalled returns the IDs of the stalled servers and the callbacks of their resumable streams,
// and stops tracking these streams until their next event.
func (u *Upstreams) takeStalled(now time.Time) (stalled []string, callbacks []func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, group := range u.streams {
		timeout := stallTimeout
		if len(group.active) == 1 {
			timeout = singleStreamStallTimeout
		}
		if now.Sub(group.lastEvent) < timeout || group.areWriting() {
			continue
		}
		stalled = append(stalled, id)
		u.Balancer.RecordFailure(now, id, balance.Unreachable)
		for s := range group.active {
			if s.onStall != nil && !s.isWriting.Load() {
				callbacks = append(callbacks, s.onStall)
			}
		}
		delete(u.streams, id)
	}
	return stalled, callbacks
}
