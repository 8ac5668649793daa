package control

import (
	"maps"
	"time"
)

const (
	// goneFor is how long a request is remembered whose caller left: its question for a slot may be handled after the message that
	// gives it up. mostGone bounds them.
	goneFor  = 5 * time.Second
	mostGone = 4096
)

// Abandon ends what a request of another router has on an engine here: its place in the queue, or a slot whose grant reached nobody.
// Such a slot would keep others out until its lease expires.
func (l *Loop) Abandon(engine, request string) {
	l.send(func(now time.Time) {
		e, ok := l.state.engines[engine]
		if ok && l.abandonHere(e, request, now) {
			return
		}
		l.state.leave(engine, request, now)
	})
}

// abandonHere reports whether the request had a slot or a place in the queue.
func (l *Loop) abandonHere(e *engineState, request string, now time.Time) bool {
	if w, ok := e.waiters[request]; ok {
		e.gate.Abandon(request)
		delete(e.waiters, request)
		l.over(w.ask.Fingerprint, e.backend.Name, false)
		w.answer <- refuse(w.ask, gone)
		return true
	}
	for slot, ask := range e.granted {
		if ask.RequestID == request {
			l.metrics.abandoned.Inc()
			l.free(e.backend.Name, slot, "", now)
			return true
		}
	}
	return e.share != nil && e.share.Abandon(request)
}

// leave remembers a request whose question for a slot has not come yet.
func (s *state) leave(engine, request string, now time.Time) {
	if len(s.gone) >= mostGone {
		maps.DeleteFunc(s.gone, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(s.gone) < mostGone {
		s.gone[engine+"/"+request] = now.Add(goneFor)
	}
}

// left reports once whether the caller of a request has left.
func (s *state) left(engine, request string) bool {
	_, ok := s.gone[engine+"/"+request]
	delete(s.gone, engine+"/"+request)
	return ok
}
