package gateway

import (
	"context"
	"time"

	"hornbeamstep.example/routing/balance"
)

// silence is the time without any event after which a server with several streams is taken for dead. An engine makes an event for
// each of its streams many times in it. A server with a single stream, which may have been put back for a more urgent one, gets
// loneSilence.
const (
	silence     = 400 * time.Millisecond
	loneSilence = 2 * silence
)

// streams are the streams of one server in progress.
type streams struct {
	// last is when the latest event of any of them arrived.
	last time.Time
	// moving holds those that have had an event.
	moving map[*stream]struct{}
}

// stream is an attempt whose answer is a stream.
type stream struct {
	server string
	cancel context.CancelCauseFunc
	// movable streams can go on at another server.
	movable bool
}

// moved notes an event of a stream.
func (u *Upstreams) moved(now time.Time, s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.streams == nil {
		u.streams = map[string]*streams{}
	}
	all := u.streams[s.server]
	if all == nil {
		all = &streams{moving: map[*stream]struct{}{}}
		u.streams[s.server] = all
	}
	all.last = now
	all.moving[s] = struct{}{}
}

// ended forgets a stream.
func (u *Upstreams) ended(s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := u.streams[s.server]
	if all == nil {
		return
	}
	delete(all.moving, s)
	if len(all.moving) == 0 {
		delete(u.streams, s.server)
	}
}

// CheckSilence pauses the servers that have made no event for too long, ends their streams that can go on elsewhere, and returns
// these servers.
func (u *Upstreams) CheckSilence(now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var silent []string
	for id, all := range u.streams {
		limit := silence
		if len(all.moving) == 1 {
			limit = loneSilence
		}
		if now.Sub(all.last) < limit {
			continue
		}
		silent = append(silent, id)
		u.Balancer.Failure(now, id, balance.Unreachable)
		for s := range all.moving {
			if s.movable {
				s.cancel(errPatience)
			}
		}
		delete(u.streams, id)
	}
	return silent
}
