package replay

import (
	"time"

	"hornbeamstep.example/routing/placement"
)

// nextToken is the progress deadline behind the first token.
const nextToken = time.Second

// start sends the request to its engine, after the import of its KV cache if there is one to move.
func (r *router) start(q *call) {
	s := r.fleet
	attempt, e := q.attempt, s.byID[q.engine]
	delay := s.net(r.zone, e.zone)
	if s.placer == Omniscient {
		delay = 0
	}
	delay += s.importFor(q, e)
	e.coming++
	s.after(delay, func() {
		e.coming--
		r.begin(q, attempt, e)
	})
}

// importFor moves the KV cache of a chat and returns the time that takes.
func (s *fleet) importFor(q *call, to *engine) time.Duration {
	spent := time.Duration(0)
	for _, id := range []string{q.from, q.orElse} {
		from := s.byID[id]
		if id == "" || !from.up || from.hung {
			continue
		}
		tokens := from.cache.tokens(q.req.Chat)
		if tokens == 0 || tokens <= to.cache.tokens(q.req.Chat) {
			spent += s.Between * 2
			continue
		}
		s.transfer(q.req.Chat, q.req.Account, from, to, tokens)
		s.measure.moved += tokens
		return spent + s.Placement.TransferBase + time.Duration(tokens)*s.Placement.TransferPerToken
	}
	return spent
}

func (s *fleet) transfer(chat, account string, from, to *engine, tokens int) {
	from.cache.drop(chat)
	to.cache.put(cached{name: chat, chat: chat, account: account, tokens: tokens, last: s.now.Seconds()})
}

// move carries out moves one after the other at the rate of the KV transfer. A nil router stands for the omniscient
// placer; otherwise the owners of the homes learn of each move.
func (s *fleet) move(by *router, moves []placement.Move) {
	at := time.Duration(0)
	for _, m := range moves {
		at += s.Placement.TransferBase + time.Duration(m.Tokens)*s.Placement.TransferPerToken
		s.after(at, func() {
			from, to := s.byID[m.From], s.byID[m.To]
			n := from.cache.tokens(m.Chat)
			if n == 0 || !from.up || !to.up {
				return
			}
			s.transfer(m.Chat, "", from, to, n)
			s.measure.moved += n
			if by != nil {
				by.do(func() { by.note("m", "", m.Chat, m.To) })
			}
		})
	}
}

func (r *router) begin(q *call, attempt string, e *engine) {
	s := r.fleet
	if q.attempt != attempt || q.state != open {
		return
	}
	n := &run{call: q, attempt: attempt, class: q.class(), answer: q.req.Answer}
	if !s.reaches(r.name, e.id) {
		s.after(connectLimit, func() {
			r.do(func() {
				if q.attempt == attempt && q.state == open {
					r.refused(q, e)
				}
			})
		})
		return
	}
	current := func(f func()) func() {
		return func() {
			if !s.reaches(e.id, r.name) {
				return
			}
			s.after(s.net(r.zone, e.zone), func() {
				r.do(func() {
					if q.attempt == attempt && q.state == open {
						f()
					}
				})
			})
		}
	}
	n.first = current(func() { r.first(q) })
	n.done = current(func() { r.done(q, n) })
	n.broken = current(func() { r.broken(q, e) })
	q.run = n
	if !e.start(n) {
		q.run = nil
		r.refused(q, e)
		return
	}
	if q.waited == 0 {
		q.waited = s.now - q.arrival
	}
	r.remember(q, e)
	r.watch(q, attempt, e, n, -1, s.First)
}

// remember tells the owner of the home where the context is from now on.
func (r *router) remember(q *call, e *engine) {
	if r.placer != nil || q.home == "" {
		return
	}
	r.note(q.req.Model, q.req.Adapter, q.req.Chat, e.id)
}

// note tells the owner of a chat's home which engine holds the context.
func (r *router) note(model, adapter, chat, engine string) {
	key := placement.Key(model, adapter, chat)
	home, _ := r.view.Homes(model, adapter, key)
	if home == "" {
		return
	}
	owner, now := r.owner(home), r.fleet.wall()
	r.send(owner, func() {
		if engine == home {
			owner.exceptions.Delete(key)
			return
		}
		owner.exceptions.Put(now, key, engine)
	})
}

// refused handles a connection that the engine did not accept: the request did not run.
func (r *router) refused(q *call, e *engine) {
	r.unhold(q, noVerdict)
	r.observe(e.id)
	if !r.retry(q) {
		r.releaseClaim(q)
		r.refuse(q, time.Second, notRun)
		return
	}
	r.place(q)
}

func (r *router) first(q *call) {
	if q.first == 0 {
		q.first = r.fleet.now
		q.hit = q.run.hit
	}
}

func (r *router) done(q *call, n *run) {
	s := r.fleet
	if n.call != q || n.attempt != q.attempt {
		s.measure.crossed++
	}
	r.first(q)
	r.unhold(q, r.paced(q))
	q.attempt = ""
	if !q.req.Repeat && s.claimsFrom(r) {
		if c := s.claims[q.fingerprint()]; c != nil {
			c.done = true
		}
	}
	s.after(s.Client, func() { s.end(q, answered) })
}

// broken handles a stream that ended early.
func (r *router) broken(q *call, e *engine) {
	r.observe(e.id)
	r.failed(q)
}

// failed handles an attempt that may have run and has no answer.
func (r *router) failed(q *call) {
	r.unhold(q, r.late())
	q.run = nil
	switch {
	case !q.req.Repeat:
		r.refuse(q, 0, unknown)
	case q.first == 0 && r.retry(q):
		r.place(q)
	default:
		// The caller is told, and sends the request again as a new one: at once if it had tokens, else after the time to come back.
		wait := 2 * r.fleet.Client
		if q.first == 0 && !r.fleet.Impatient {
			wait += time.Second
		}
		q.attempt, q.first = "", 0
		r.fleet.measure.broken++
		sends := q.sends
		r.fleet.after(wait, func() {
			if q.sends == sends {
				r.fleet.sendOr(q, interrupted)
			}
		})
	}
}

// sendOr sends again, or ends with a result if the caller has sent often enough.
func (s *fleet) sendOr(q *call, res result) {
	if q.sends >= s.Sends {
		s.end(q, res)
		return
	}
	s.send(q)
}

// watch enforces the progress deadlines. A stream that stands still is resumed on a new connection once, and then
// treated as broken.
func (r *router) watch(q *call, attempt string, e *engine, n *run, seen int, limit time.Duration) {
	s := r.fleet
	if !s.has(Progress) {
		return
	}
	s.after(limit, func() {
		r.do(func() {
			if q.attempt != attempt || q.state != open || q.run != n {
				return
			}
			e.settle()
			got := n.tokens
			if n.silent {
				got = seen
			}
			if !s.reaches(e.id, r.name) {
				got = seen
			}
			if got != seen && got > 0 {
				r.watch(q, attempt, e, n, got, nextToken)
				return
			}
			if n.silent {
				r.resume(q, e, n)
				r.watch(q, attempt, e, n, -1, nextToken)
				return
			}
			if !s.reaches(r.name, e.id) {
				r.broken(q, e)
				return
			}
			// An engine that is late is left to its health; the same request goes to another one.
			e.cancel(n)
			r.failed(q)
		})
	})
}

// resume reads on from the last token on a new connection.
func (r *router) resume(q *call, e *engine, n *run) {
	if !r.fleet.meets(r.name, e.id) {
		return
	}
	n.silent = false
	switch {
	case !e.up:
		n.broken()
	case n.finished:
		n.done()
	case n.tokens > 0:
		n.first()
	}
}

// abandon cancels the attempt of a caller that has gone.
func (r *router) abandon(q *call) {
	if q.run != nil && q.run.call == q && q.attempt != "" {
		r.fleet.byID[q.engine].cancel(q.run)
	}
	for _, o := range r.fleet.routers {
		if g := o.gates[q.engine]; g != nil {
			g.Abandon(q.attempt)
		}
	}
	r.unhold(q, noVerdict)
	q.attempt = ""
}
