package replay

import (
	"fmt"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
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
	walk   *placement.Walk
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
	r.budget.Request()
	q.over = r.surges.Request(q.req.Account)
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
		Context: q.context, Prefix: "prefix/" + q.req.Account, PrefixTokens: q.req.Prefix,
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
	q.walk = r.rule.Walk(r.fleet.wall(), r.request(q), r.view, r.fleet.Tries)
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

// ask asks the owner of the next engine for a slot.
func (r *router) ask(q *call) {
	s := r.fleet
	step := q.walk.Next(s.wall())
	if step.Engine == "" {
		r.releaseClaim(q)
		r.refuse(q, time.Second, notRun)
		return
	}
	q.engine, q.home, q.from, q.orElse = step.Engine, step.Home, step.From, step.Else
	owner, attempt := r.owner(step.Engine), q.attempt
	if step.Engine != step.Home && !q.redirect && q.context > 0 {
		q.redirect = true
		r.lookup(q, r.owner(step.Home))
		return
	}
	q.owner = owner
	q.asks++
	lookup := step.Engine == step.Home && !q.redirect && q.context > 0
	a := admission.Ask{
		Request: attempt, Router: r.name, Account: q.req.Account, Class: classes[q.req.Class], Over: q.over, Cost: 1, NoQueue: !step.Queue,
		Since: epoch.Add(q.asked),
	}
	if step.Queue && s.Requeue > 0 {
		a.Deadline = s.wall().Add(q.patience())
	}
	r.awaitAnswer(q, a, attempt, q.asks)
	reached := false
	r.send(owner, func() {
		reached = true
		owner.slotCall(r, q, step, a, lookup)
	})
	if owner != r && s.has(StandIn) {
		s.after(200*time.Millisecond, func() {
			if !reached && q.attempt == attempt {
				r.do(func() { r.useShare(q, a) })
			}
		})
	}
}

// awaitAnswer asks again if the answer of a gate does not come, because its owner was lost with the queue. If it does not come
// a second time, its owner counts as lost.
func (r *router) awaitAnswer(q *call, a admission.Ask, attempt string, asks int) {
	r.fleet.after(q.patience()+500*time.Millisecond, func() {
		r.do(func() {
			if q.attempt != attempt || q.asks != asks || q.holding || q.state != open || q.run != nil {
				return
			}
			q.unanswered++
			if q.unanswered > 1 && q.owner != r && r.fleet.has(StandIn) {
				r.useShare(q, a)
				return
			}
			q.walk.Again()
			r.ask(q)
		})
	})
}

// lookup asks the owner of the home where the context is, when the first engine to ask is not the home.
func (r *router) lookup(q *call, owner *router) {
	s, attempt, answered := r.fleet, q.attempt, false
	next := func(held string) {
		if answered || q.attempt != attempt || q.state != open {
			return
		}
		answered = true
		if held != "" {
			q.walk.Held(s.wall(), held)
		}
		r.ask(q)
	}
	r.send(owner, func() {
		held, _ := owner.exceptions.Find(placement.Key(q.req.Model, q.req.Adapter, q.req.Chat))
		owner.send(r, func() { next(held) })
	})
	s.after(200*time.Millisecond, func() {
		r.do(func() { next("") })
	})
}

// slotCall is the owner's side of a call for a slot.
func (r *router) slotCall(from *router, q *call, step placement.Step, a admission.Ask, lookup bool) {
	s := r.fleet
	if q.suspect.Fingerprint != "" {
		r.learn([]quarantine.Entry{q.suspect})
	}
	if lookup {
		held, _ := r.exceptions.Find(placement.Key(q.req.Model, q.req.Adapter, q.req.Chat))
		if held != "" && held != step.Engine {
			r.send(from, func() {
				if q.attempt == a.Request {
					q.redirect = true
					q.walk.Held(s.wall(), held)
					from.ask(q)
				}
			})
			return
		}
	}
	g := r.gates[step.Engine]
	if g == nil {
		r.send(from, func() { from.useShare(q, a) })
		return
	}
	if r.spares(step.Engine, g) {
		r.send(from, func() {
			if q.attempt == a.Request && q.state == open && !q.holding {
				from.shun(q, step.Engine)
			}
		})
		return
	}
	if !r.quarantine.Start(r.wallClock(), q.fingerprint(), step.Engine) {
		r.send(from, func() { from.keptApart(q, a, step.Engine, r) })
		return
	}
	var got admission.Action
	if a.NoQueue && r.starts(step.Engine, g) {
		got = admission.Action{Kind: admission.Refused, Ask: a, Code: outcome.Overloaded}
	} else {
		got = g.Offer(s.wall(), a)
	}
	if got.Kind == admission.Refused {
		r.quarantine.End(q.fingerprint(), step.Engine, false)
	}
	if got.Kind == admission.Queued {
		r.deliver(step.Engine, g.Tick(s.wall()))
		return
	}
	wait := g.Expected(s.wall())
	r.send(from, func() {
		if got.Kind == admission.Refused && got.Code == outcome.Overloaded && q.attempt == a.Request {
			q.walk.Full(step.Engine, max(wait, time.Millisecond))
			from.ask(q)
			return
		}
		from.answered(q, step.Engine, got, r)
	})
}

// keptApart handles a suspect that may not run on an engine now, or a request that is quarantined.
func (r *router) keptApart(q *call, a admission.Ask, engine string, owner *router) {
	if q.attempt != a.Request || q.state != open {
		return
	}
	if owner.quarantine.State(owner.wallClock(), q.fingerprint()) == quarantine.Quarantined {
		r.releaseClaim(q)
		r.refuse(q, time.Second, quarantined)
		return
	}
	q.walk.Full(engine, time.Second)
	r.fleet.after(10*time.Millisecond, func() {
		if len(r.fleet.engines) <= q.walk.Asked() {
			q.walk.Again()
		}
		r.do(func() {
			if q.attempt == a.Request && q.state == open {
				r.ask(q)
			}
		})
	})
}

// useShare admits the request without the owner, at most one at a time for each engine.
func (r *router) useShare(q *call, a admission.Ask) {
	if q.attempt != a.Request || q.holding || q.state != open {
		return
	}
	if r.shares[q.engine] == nil {
		r.shares[q.engine] = admission.NewShare(r.fleet.Admission)
	}
	if got := r.shares[q.engine].Offer(r.fleet.wall(), a); got.Kind == admission.Granted {
		r.answered(q, q.engine, got, nil)
		return
	}
	q.walk.Avoid(r.fleet.wall(), q.engine)
	r.ask(q)
}

// answered takes the final answer of a gate.
func (r *router) answered(q *call, engine string, a admission.Action, owner *router) {
	stale := q.attempt != a.Ask.Request || q.state != open || q.holding
	switch {
	case stale && a.Kind == admission.Granted:
		if q.attempt == a.Ask.Request && q.slot == a.Slot.ID && q.owner == owner {
			return
		}
		r.free(engine, owner, a.Slot.ID, q.fingerprint(), noVerdict)
	case stale:
	case a.Kind == admission.Refused && a.Code == outcome.NoBackend:
		r.place(q)
	case a.Kind == admission.Refused && a.Code == outcome.Overloaded && r.fleet.now-q.asked < r.fleet.Admission.Wait:
		q.walk.Again()
		q.rounds++
		r.ask(q)
	case a.Kind == admission.Refused:
		r.releaseClaim(q)
		r.refuse(q, a.Retry, notRun)
	case a.Kind == admission.Granted:
		q.owner, q.slot, q.expires, q.holding = owner, a.Slot.ID, a.Slot.Expires, true
		if owner != nil {
			r.slots[q.attempt] = q
		}
		r.start(q)
	}
}

func (r *router) free(engine string, owner *router, slot uint64, fingerprint string, v verdict) {
	s := r.fleet
	if owner == nil {
		if share := r.shares[engine]; share != nil {
			share.Release(slot)
		}
		return
	}
	r.send(owner, func() {
		owner.quarantine.End(fingerprint, engine, v == good)
		owner.judge(engine, v)
		if g := owner.gates[engine]; g != nil {
			owner.deliver(engine, g.Release(s.wall(), slot))
		}
	})
}

// unhold frees the slot of the current attempt.
func (r *router) unhold(q *call, v verdict) {
	if !q.holding {
		return
	}
	q.holding = false
	delete(r.slots, q.attempt)
	r.free(q.engine, q.owner, q.slot, q.fingerprint(), v)
}
