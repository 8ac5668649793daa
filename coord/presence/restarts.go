package presence

import (
	"slices"
	"time"
)

// maxRestartTimes is the number of restarts of other routers whose times are kept.
const maxRestartTimes = 9

// recordReadiness is called when a member's record or state replaces an earlier one. It records
// when the member stopped taking callers, and how long that lasted once its new process takes them.
func (s *State) recordReadiness(now time.Time, old, next *Member) {
	next.stoppedAt = old.stoppedAt
	switch {
	case !next.stoppedAt.IsZero() || !old.Ready:
	case next.Boot != old.Boot:
		// The earlier process was killed after its last message.
		next.stoppedAt = old.SentAt
	case !next.Ready:
		next.stoppedAt = now
	}
	if next.stoppedAt.IsZero() || !next.Ready {
		return
	}
	s.restartTimes = append(s.restartTimes, now.Sub(next.stoppedAt))
	s.restartTimes = s.restartTimes[max(0, len(s.restartTimes)-maxRestartTimes):]
	next.stoppedAt = time.Time{}
}

// restartTime returns the median of the times for which restarts of other routers have lately kept
// these from taking callers, or the given time if none was seen.
func (s *State) restartTime(ifUnknown time.Duration) time.Duration {
	if len(s.restartTimes) == 0 {
		return ifUnknown
	}
	sorted := slices.Sorted(slices.Values(s.restartTimes))
	return sorted[len(sorted)/2]
}

// NextRouterIn returns the expected time until a router takes callers, or 0 if one does now. This
// router must have stopped taking them at the given time. maxRestart is the longest time of a
// restart; it is expected as long as no restart was seen.
func (s *State) NextRouterIn(now, stoppedAt time.Time, maxRestart time.Duration) time.Duration {
	restart := s.restartTime(maxRestart)
	next := max(restart-now.Sub(stoppedAt), 0)
	for _, m := range s.members {
		stopped := m.stoppedAt
		if stopped.IsZero() {
			stopped = m.SentAt
		}
		live := s.live(now, m)
		if live && m.Ready {
			return 0
		}
		// A router that is overdue may be gone for good.
		if in := restart - now.Sub(stopped); (live || m.Ready) && in > 0 {
			next = min(next, in)
		}
	}
	return next
}
