package control

import (
	"maps"
	"time"
)

const (
	// abandonedRequestTTL is the minimum time for which an abandoned request is remembered, because
	// its slot request may be handled after the message that abandons it. Expired entries are
	// deleted only when there are maxAbandonedRequests of them, the maximum number.
	abandonedRequestTTL  = 5 * time.Second
	maxAbandonedRequests = 4096
)

// Abandon drops a request that another router sent and whose caller has left. It removes the
// request from the engine's queue, or frees its slot if the grant did not reach that router. The
// slot would otherwise block other requests until its lease expires.
func (l *Loop) Abandon(engine, request string) {
	l.send(func(now time.Time) {
		e, ok := l.state.engines[engine]
		if ok && l.abandonOwned(e, request, now) {
			return
		}
		l.state.recordAbandoned(engine, request, now)
	})
}

// abandonOwned drops a request from an engine that this router owns, or whose owner it stands in
// for. It reports whether the request had a slot or a place in the queue.
func (l *Loop) abandonOwned(e *engineState, request string, now time.Time) bool {
	if waiting, ok := e.waiters[request]; ok {
		e.gate.Abandon(request)
		delete(e.waiters, request)
		l.trackEnd(waiting.slotRequest.Fingerprint, e.backend.Name, false)
		waiting.answer <- refuse(waiting.slotRequest, callerGone)
		return true
	}
	for slot, slotRequest := range e.granted {
		if slotRequest.RequestID == request {
			l.metrics.abandoned.Inc()
			l.free(e.backend.Name, slot, "", now)
			return true
		}
	}
	return e.fallback != nil && e.fallback.Abandon(request)
}

// recordAbandoned remembers an abandoned request whose slot request has not arrived yet.
func (s *state) recordAbandoned(engine, request string, now time.Time) {
	if len(s.abandoned) >= maxAbandonedRequests {
		maps.DeleteFunc(s.abandoned, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(s.abandoned) < maxAbandonedRequests {
		s.abandoned[engine+"/"+request] = now.Add(abandonedRequestTTL)
	}
}

// removeAbandoned reports whether a request was abandoned, and deletes its entry.
func (s *state) removeAbandoned(engine, request string) bool {
	_, ok := s.abandoned[engine+"/"+request]
	delete(s.abandoned, engine+"/"+request)
	return ok
}
