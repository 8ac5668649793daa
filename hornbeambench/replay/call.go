package replay

import (
	"fmt"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// call is one request of the trace, from its arrival to the final answer to its caller.
type call struct {
	fleet   *fleet
	id      int
	req     trace.Request
	context int
	last    time.Duration
	arrival time.Duration
	// sends counts what the caller sent, and send invalidates what belongs to an earlier one.
	sends int
	// attempt names the current attempt; events of other attempts are ignored.
	attempt  string
	attempts int
	// asks counts the questions to gates, so that one without an answer is noticed.
	asks int
	// unanswered counts the questions of this attempt that got no answer.
	unanswered int
	// tries counts the attempts on an engine in this send.
	tries int
	// rounds counts the waits in this send.
	rounds int
	router *router
	walk   *placement.SlotSearch
	// redirect is true once the owner of the home was asked where the context is.
	redirect bool
	engine   string
	home     string
	from     string
	orElse   string
	owner    *router
	slot     uint64
	expires  time.Time
	holding  bool
	run      *run
	// asked is when the router first asked for a slot.
	asked time.Duration
	// waited is the time until the request reached an engine.
	waited time.Duration
	// started counts the engines that began to run it.
	started int
	hit     int
	first   time.Duration
	end     time.Duration
	state   result
	// over is true if the account surges, by the router's own sample of the traffic.
	over bool
	// suspect is what the router knows of the request's crashes.
	suspect quarantine.Entry
}

// result is the final answer as the caller sees it.
type result string

const (
	open        result = ""
	answered    result = "answered"
	notRun      result = "not run"
	interrupted result = "interrupted"
	unknown     result = "unknown"
	quarantined result = "quarantined"
	lost        result = "lost"
)

type claimed struct {
	call *call
	done bool
}

var classes = map[string]admission.Class{"urgent": admission.Urgent, "normal": admission.Normal, "batch": admission.Batch}

// class is the priority at the engine; requests of a surging account have the lowest.
func (q *call) class() admission.Class {
	if q.over {
		return admission.Batch + 1
	}
	return classes[q.req.Class]
}

// fingerprint names the request when it is sent again.
func (q *call) fingerprint() string { return fmt.Sprintf("%s/%d", q.req.Chat, q.req.Turn) }

// patience is how long the request waits at one engine. It doubles with each wait up to 32 times, so that the requests of
// an overload do not ask all engines again and again.
func (q *call) patience() time.Duration { return q.fleet.Requeue << min(q.rounds, 5) }

// size is the context after the turn.
func (q *call) size() int {
	n := q.context + q.req.Prompt + q.req.Answer
	if q.context == 0 {
		n += q.req.Prefix
	}
	return n
}

// arrive starts a turn of a chat.
func (s *fleet) arrive(req trace.Request, context int, last time.Duration) {
	q := &call{fleet: s, id: s.measure.next(), req: req, context: context, last: last, arrival: s.now}
	s.measure.calls = append(s.measure.calls, q)
	s.active++
	s.tick()
	s.send(q)
}

// send lets the caller send the request to a router that accepts connections.
func (s *fleet) send(q *call) {
	if q.state != open {
		return
	}
	if q.sends >= s.Sends {
		s.end(q, lost)
		return
	}
	q.sends++
	q.rounds, q.tries = 0, 0
	sends := q.sends
	at := int(s.chance("route", q.req.Chat, fmt.Sprint(q.req.Turn), fmt.Sprint(sends)) * float64(len(s.routers)))
	for i := range s.routers {
		r := s.routers[(at+i)%len(s.routers)]
		if !r.up {
			continue
		}
		q.router = r
		s.after(s.Client, func() { r.do(func() { r.handle(q, sends) }) })
		s.patience(q, sends)
		return
	}
	q.sends--
	s.after(time.Second, func() { s.send(q) })
}

// patience sends the request again if there is no token in time.
func (s *fleet) patience(q *call, sends int) {
	s.after(s.Patience, func() {
		if q.state == open && q.sends == sends && q.first == 0 {
			r := q.router
			s.measure.givenUp++
			s.after(s.Client, func() { r.do(func() { r.abandon(q) }) })
			s.send(q)
		}
	})
}

// end records the final answer and starts the chat's next turn.
func (s *fleet) end(q *call, res result) {
	if q.state != open {
		return
	}
	q.state, q.end = res, s.now
	s.active--
	context, last := q.context, q.last
	if res == answered {
		context, last = q.size(), s.now
	}
	rest := s.turns[q.req.Chat]
	if len(rest) == 0 {
		return
	}
	next := rest[0]
	s.turns[q.req.Chat] = rest[1:]
	s.after(seconds(next.Think), func() { s.arrive(next, context, last) })
}

// refuse gives the caller a final refusal of this send; the caller may send again after the retry time.
func (r *router) refuse(q *call, retry time.Duration, res result) {
	s := r.fleet
	if q.state != open {
		return
	}
	q.attempt = ""
	if retry <= 0 || q.sends >= s.Sends {
		s.after(s.Client, func() { s.end(q, res) })
		return
	}
	if s.Impatient {
		retry = 10 * time.Millisecond
	}
	sends := q.sends
	s.after(s.Client+retry, func() {
		if q.sends == sends {
			s.send(q)
		}
	})
}

// handle is the request path of a router.
func (r *router) handle(q *call, sends int) {
	s := r.fleet
	if q.state != open || q.sends != sends {
		return
	}
	if q.asked == 0 {
		q.asked = s.now
	}
	r.budget.CountRequest()
	q.over = r.surges.Observe(q.req.Account)
	if r.placer == nil && r.quarantine.State(r.wallClock(), q.fingerprint()) == quarantine.Quarantined {
		r.refuse(q, time.Second, quarantined)
		return
	}
	if q.req.Repeat {
		r.place(q)
		return
	}
	r.claim(q)
}

// claim is a stand-in of the claim log with the latency of one conditional update.
func (r *router) claim(q *call) {
	s := r.fleet
	const update = 8 * time.Millisecond
	if s.has(Claims) && !s.claimsFrom(r) {
		r.refuse(q, time.Second, notRun)
		return
	}
	s.after(update, func() {
		r.do(func() {
			key := q.fingerprint()
			switch c := s.claims[key]; {
			case !s.claimsFrom(r):
				// Only without Claims: the router goes on as if the key were free.
				r.place(q)
			case c == nil:
				s.claims[key] = &claimed{call: q}
				r.place(q)
			case c.done:
				s.end(q, answered)
			default:
				// The claim stands: the request may have run.
				r.refuse(q, 0, unknown)
			}
		})
	})
}

// release gives up the claim of a request that surely did not run.
func (r *router) releaseClaim(q *call) {
	if !q.req.Repeat && r.fleet.claimsFrom(r) {
		delete(r.fleet.claims, q.fingerprint())
	}
}

func (r *router) request(q *call) placement.Request {
	p := placement.Request{
		Account: q.req.Account, Chat: q.req.Chat, Model: q.req.Model, Adapter: q.req.Adapter,
		ContextTokens: q.context, Prefix: "prefix/" + q.req.Account, PrefixTokens: q.req.Prefix,
	}
	if q.last > 0 {
		p.Last = epoch.Add(q.last)
	}
	return p
}

func (r *router) nextAttempt(q *call) {
	q.attempts++
	q.unanswered = 0
	q.attempt = fmt.Sprintf("%d.%d", q.id, q.attempts)
	r.fleet.calls[q.attempt] = q
}

// place chooses an engine, for the project's placement by asking gates in the order of the walk.
func (r *router) place(q *call) {
	r.nextAttempt(q)
	if r.placer != nil {
		r.placeBaseline(q)
		return
	}
	q.walk = r.rule.Search(r.fleet.wall(), r.request(q), r.view, r.fleet.Tries)
	q.redirect = false
	r.ask(q)
}

func (r *router) placeBaseline(q *call) {
	s := r.fleet
	v := s.central
	if s.placer != Omniscient {
		v = r.view
		status := map[string]placement.Status{}
		for _, e := range s.engines {
			status[e.id] = placement.Status{Load: r.loads[e.id] + r.sent[e.id]}
		}
		v = v.WithStatuses(status)
	}
	d := r.placer.Place(s.wall(), r.request(q), v)
	if d.Engine == "" {
		r.releaseClaim(q)
		r.refuse(q, time.Second, notRun)
		return
	}
	r.sent[d.Engine]++
	q.engine, q.from, q.orElse = d.Engine, "", ""
	if s.placer == Omniscient {
		q.from = s.bestSource(q, d.Engine)
	}
	r.start(q)
}

// bestSource lets the omniscient placer move KV caches too.
func (s *fleet) bestSource(q *call, to string) string {
	best, most := "", s.byID[to].cache.tokens(q.req.Chat)
	for _, e := range s.engines {
		if n := e.cache.tokens(q.req.Chat); n > most {
			best, most = e.id, n
		}
	}
	return best
}
