package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
)

// slotFleet passes the slots of brittle servers between the routers of a simulation. Each message
// takes oneWay.
type slotFleet struct {
	// lossRate is the share of the messages that are lost.
	lossRate float64
	// isDown returns whether a router is down at a time since the start; nil if none ever is. The others
	// take it for lost lostAfter later, and it knows nothing when it is back.
	isDown  func(router int, at time.Duration) bool
	routers []*slotRouter
	servers []roster.Server
	random  *rand.Rand
	now     time.Time
	// events holds what happens at a time, and pending what continues when a router has its answer.
	events     map[time.Time][]func(now time.Time)
	pending    map[permit.Holder]func(now time.Time, answer permit.Answer)
	lastNumber uint32
	// maxRejections is the number that the servers state.
	maxRejections int
}

// slotRouter is what a router knows.
type slotRouter struct {
	name    string
	brittle *permit.Brittle
	slots   *permit.Slots
	denials *permit.Denials
	issuers permit.Issuers
	lost    int
	isDown  bool
}

const (
	oneWay    = 2 * time.Millisecond
	lostAfter = 900 * time.Millisecond
)

func newSlotRouter(i int, servers []roster.Server) *slotRouter {
	r := &slotRouter{name: fmt.Sprint("r", i), brittle: permit.NewBrittle(), slots: permit.NewSlots(), denials: permit.NewDenials()}
	r.brittle.SetServers(servers)
	r.slots.SetServers(servers)
	return r
}

func (r *slotRouter) part() float64 { return permit.PartOf(1, r.issuers.Count(), r.lost) }

// join adds a router and returns what it knows of limits.
func (f *slotFleet) join(router int, servers []roster.Server) balance.RateLimits {
	if f.events == nil {
		f.events, f.pending = map[time.Time][]func(time.Time){}, map[permit.Holder]func(time.Time, permit.Answer){}
		f.servers, f.random = servers, rand.New(rand.NewPCG(2, 2))
	}
	f.routers = append(f.routers, newSlotRouter(router, servers))
	return routerLimits{f, router}
}

func (f *slotFleet) after(d time.Duration, event func(now time.Time)) {
	at := f.now.Add(d)
	f.events[at] = append(f.events[at], event)
}

// send delivers a message unless it is lost.
func (f *slotFleet) send(event func(now time.Time)) {
	if f.random.Float64() >= f.lossRate {
		f.after(oneWay, event)
	}
}

// tick returns the routers that go down.
func (f *slotFleet) tick(now time.Time) (down []int) {
	f.now = now
	for _, event := range f.events[now] {
		event(now)
	}
	delete(f.events, now)
	for i, r := range f.routers {
		if isDown := f.isDown != nil && f.isDown(i, now.Sub(start)); isDown != r.isDown {
			if isDown {
				down = append(down, i)
			}
			f.routers[i] = newSlotRouter(i, f.servers)
			f.routers[i].isDown = isDown
		}
	}
	if now.Sub(start)%(50*time.Millisecond) == 0 {
		for _, r := range f.routers {
			f.deliver(r, r.slots.Tick(now, r.part()))
		}
	}
	return down
}

// heartbeat tells all routers which services are brittle, a quarter of a second later, and which routers
// are live.
func (f *slotFleet) heartbeat(now time.Time) {
	const delay = 250 * time.Millisecond
	var live []string
	for i, r := range f.routers {
		if f.isDown == nil || !r.isDown || !f.isDown(i, now.Sub(start)-lostAfter) {
			live = append(live, r.name)
		}
	}
	slices.Sort(live)
	for _, from := range f.routers {
		from.issuers.Set(now, live)
		from.lost = len(f.routers) - len(live)
		for _, s := range from.brittle.Services(now) {
			s.Age += delay
			f.after(delay, func(now time.Time) {
				for _, to := range f.routers {
					to.brittle.Merge(now, s)
				}
			})
		}
	}
}

// router returns a router by its name; nil if it is down.
func (f *slotFleet) router(name string) *slotRouter {
	i := slices.IndexFunc(f.routers, func(r *slotRouter) bool { return r.name == name })
	if i < 0 || f.routers[i].isDown {
		return nil
	}
	return f.routers[i]
}

// ask asks the issuer of a server for a slot. done gets the answer.
func (f *slotFleet) ask(router int, ask permit.Ask, done func(now time.Time, answer permit.Answer)) (holder permit.Holder, issuer string) {
	f.lastNumber++
	holder, issuer = permit.Holder{Router: f.routers[router].name, Number: f.lastNumber}, f.routers[router].issuers.Of(ask.Server)
	ask.Slot = &permit.SlotAsk{Holder: holder, MaxHold: ask.MaxDelay + 12*time.Second}
	f.pending[holder] = done
	f.send(func(now time.Time) {
		if r := f.router(issuer); r != nil {
			if answer, decided := r.decide(now, ask); decided {
				f.answer(holder, answer)
			}
		}
	})
	f.after(ask.MaxDelay+40*time.Millisecond, func(now time.Time) { f.resume(now, holder, permit.Answer{Wait: 100 * time.Millisecond}) })
	return holder, issuer
}

// decide answers a question as the issuer of a server, like gateway.Permits.
func (r *slotRouter) decide(now time.Time, ask permit.Ask) (answer permit.Answer, decided bool) {
	switch {
	case r.issuers.Of(ask.Server) != r.name:
		return permit.Answer{Wait: 100 * time.Millisecond}, true
	case r.issuers.SettleTime(now, ask.Server, r.name) > 0:
		return permit.Answer{Wait: r.issuers.SettleTime(now, ask.Server, r.name)}, true
	}
	return r.slots.Acquire(now, ask, r.part())
}

func (f *slotFleet) answer(holder permit.Holder, answer permit.Answer) {
	f.send(func(now time.Time) { f.resume(now, holder, answer) })
}

// resume continues what waits for an answer, unless its router is down.
func (f *slotFleet) resume(now time.Time, holder permit.Holder, answer permit.Answer) {
	done := f.pending[holder]
	delete(f.pending, holder)
	if done != nil && f.router(holder.Router) != nil {
		done(now, answer)
	}
}

func (f *slotFleet) deliver(from *slotRouter, grants []permit.Grant) {
	for _, g := range grants {
		f.answer(g.Holder, permit.Answer{Granted: true})
	}
}

// release tells the issuer of a slot that its request has ended, until that is acknowledged.
func (f *slotFleet) release(slot simulatedSlot, ending permit.Ending) { f.tryRelease(slot, ending, 3) }

func (f *slotFleet) tryRelease(slot simulatedSlot, ending permit.Ending, tries int) {
	if slot.holder.Router == "" || tries == 0 {
		return
	}
	acknowledged := false
	f.send(func(now time.Time) {
		if r := f.router(slot.issuer); r != nil {
			f.deliver(r, r.slots.Release(now, slot.server, slot.holder, ending, r.part(), f.maxRejections))
			f.send(func(time.Time) { acknowledged = true })
		}
	})
	f.after(40*time.Millisecond, func(time.Time) {
		if !acknowledged {
			f.tryRelease(slot, ending, tries-1)
		}
	})
}

// simulatedSlot is the slot of a request; the zero value is none.
type simulatedSlot struct {
	server, issuer string
	holder         permit.Holder
}

// routerLimits is what a router of a slotFleet knows of limits.
type routerLimits struct {
	fleet  *slotFleet
	router int
}

// Limit implements balance.RateLimits.
func (routerLimits) Limit(string) (float64, bool) { return 0, false }

// IsCold implements balance.RateLimits.
func (routerLimits) IsCold(string) bool { return false }

// NeedsSlot implements balance.RateLimits.
func (l routerLimits) NeedsSlot(server string) bool {
	_, brittle := l.fleet.routers[l.router].brittle.MaxRejections(l.fleet.now, server)
	return brittle
}

// Wait implements balance.RateLimits.
func (l routerLimits) Wait(now time.Time, server string, priority int) time.Duration {
	return l.fleet.routers[l.router].denials.Wait(now, server, priority)
}

// try sends a request to one server after another until one has a slot for it, like the gateway.
func (sim *simulation) try(now time.Time, router int, req balance.Request, questions int, o *result) {
	const maxQuestions, maxDelay = 4, 60 * time.Millisecond
	b := sim.balancers[router]
	choice := b.Choose(now, req)
	if choice.Reason == balance.Limited && !req.AvoidLimited && req.MaxLimitWait == 0 {
		req.MaxLimitWait, req.IsRepeated = maxDelay, true
		choice = b.Choose(now, req)
	}
	if choice.Server.ID == "" {
		o.rejected++
		return
	}
	if !choice.IsLimited {
		b.Start(now, choice.Server.ID)
		sim.arrive(now, router, choice, req, simulatedSlot{}, o)
		return
	}
	ask := permit.Ask{Server: choice.Server.ID, Priority: choice.Priority, MaxDelay: req.MaxLimitWait}
	if questions == maxQuestions-1 {
		ask.MaxDelay = maxDelay
	}
	slot := simulatedSlot{server: choice.Server.ID}
	slot.holder, slot.issuer = sim.fleet.ask(router, ask, func(now time.Time, answer permit.Answer) {
		if answer.Granted {
			b.Start(now, choice.Server.ID)
			sim.arrive(now, router, choice, req, slot, o)
			return
		}
		sim.fleet.release(slot, permit.Done)
		sim.fleet.routers[router].denials.Record(now, choice.Server.ID, choice.Priority, answer.Wait)
		req.IsRepeated, req.AvoidLimited = true, questions+1 >= maxQuestions
		sim.try(now, router, req, questions+1, o)
	})
}

// observe lets a router read what a server states in a response.
func (sim *simulation) observe(now time.Time, router int, server string) {
	if sim.brittleFrom > 0 && now.Sub(start) >= sim.brittleFrom {
		sim.fleet.maxRejections = sim.maxRejections
		sim.fleet.routers[router].brittle.Observe(now, server, sim.maxRejections)
	}
}

// isFragile reports whether rejections make servers fail.
func (sim *simulation) isFragile(now time.Time) bool {
	return sim.brittleFrom > 0 && now.Sub(start) >= sim.brittleFrom+time.Second
}

// recordRefusal makes a server fail if it has refused too many requests within a second.
func (sim *simulation) recordRefusal(now time.Time, server string, o *result) {
	const downTime = 3 * time.Second
	if !sim.isFragile(now) {
		return
	}
	if sim.refusedAt == nil {
		sim.refusedAt, sim.downUntil = map[string][]time.Time{}, map[string]time.Time{}
	}
	var recent []time.Time
	for _, at := range sim.refusedAt[server] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	recent = append(recent, now)
	if len(recent) > sim.maxRejections {
		recent = nil
		o.failures++
		o.failedAt = append(o.failedAt, now.Sub(start))
		sim.downUntil[server] = now.Add(downTime)
		for _, r := range sim.queues[server] {
			sim.balancers[r.router].Finish(now, server, balance.Broken, 0)
			sim.fleet.release(r.slot, permit.Lost)
		}
		sim.queues[server] = nil
	}
	sim.refusedAt[server] = recent
}

// Guards against brittle servers that fail under overload; of n servers, 2 + n/10 may.
func TestBrittleServers(t *testing.T) {
	for name, test := range map[string]struct {
		newSimulation func(rate float64) *simulation
		rate          float64
		maxRejections int
		maxFailures   int
	}{
		"short requests, 60 routers":     {shortRequests, 900, 10, 2},
		"engine requests":                {engineRequests, 2 * 9 * 16 / 0.7, 10, 2},
		"engine requests, few allowed":   {engineRequests, 2 * 9 * 16 / 0.7, 4, 2},
		"engine requests, near capacity": {engineRequests, 0.9 * 9 * 16 / 0.7, 6, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := test.newSimulation(test.rate)
			sim.warmUpRate, sim.warmUp = test.rate/2, 3*time.Second
			sim.brittleFrom, sim.maxRejections = 5*time.Second, test.maxRejections
			o := sim.run(20 * time.Second)
			t.Logf("%v, failures %d at %v", o, o.failures, o.failedAt)
			c.Assert(o.failures <= test.maxFailures, qt.IsTrue, qt.Commentf("%d servers failed", o.failures))
			c.Assert(4*(o.inTime[0]+o.inTime[1]) >= o.sent, qt.IsTrue, qt.Commentf("%d of %d in time", o.inTime[0], o.sent))
		})
	}
}

// Guards against brittle servers that fail because the routers of a large fleet each decide alone what
// they send; of n servers, 2 + n/10 may. Three quarters of what the servers can answer must be answered.
func TestBrittleServersOfLargeFleet(t *testing.T) {
	for name, test := range map[string]struct {
		newSimulation func(rate float64) *simulation
		// normalRate is the rate of requests before burstAt, and rate that after it. capacity is what the
		// servers can answer per second.
		normalRate, rate, capacity float64
		burstAt                    time.Duration
		maxRejections              int
	}{
		"plain service":                          {shortRequests, 335, 335, 600, 3 * time.Second, 5},
		"plain service, no rejection withstood":  {shortRequests, 335, 335, 600, 3 * time.Second, 0},
		"plain service, burst":                   {shortRequests, 335, 900, 600, 8 * time.Second, 5},
		"plain service, burst, few withstood":    {shortRequests, 335, 1700, 600, 8 * time.Second, 2},
		"plain service, requests at few routers": {fewRouters(shortRequests), 335, 900, 600, 8 * time.Second, 5},
		"engines, hot prompt":                    {enginePool(0.3), 956, 956, 4480, 3 * time.Second, 3},
		"engines, burst":                         {enginePool(0), 956, 4000, 4480, 8 * time.Second, 3},
		"engines, overload and a hot prompt":     {enginePool(0.1), 956, 6000, 4480, 8 * time.Second, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sim := test.newSimulation(test.rate)
			sim.warmUpRate, sim.warmUp = test.normalRate, test.burstAt
			sim.brittleFrom, sim.maxRejections = 5*time.Second, test.maxRejections
			const d = 15 * time.Second
			o := sim.run(d)
			t.Logf("%v, failures %d at %v", o, o.failures, o.failedAt)
			allowed := 2 + len(sim.servers)/10
			c.Check(o.failures <= allowed, qt.IsTrue, qt.Commentf("%d servers failed, %d allowed", o.failures, allowed))
			possible := min(test.normalRate, test.capacity)*test.burstAt.Seconds() + min(test.rate, test.capacity)*(d-test.burstAt).Seconds()
			c.Check(float64(o.inTime[0]) >= 0.75*possible, qt.IsTrue, qt.Commentf("%d of %.0f possible in time", o.inTime[0], possible))
		})
	}
}

// Guards against brittle servers that fail because routers are killed, start without knowledge, or lose
// messages; of n servers, 2 + n/10 may.
func TestBrittleServersBesideFaults(t *testing.T) {
	// inTurn makes one router after another be down for a second.
	inTurn := func(router int, at time.Duration) bool {
		return at > 8*time.Second && int(at/time.Second)*7%60 == router
	}
	half := func(router int, at time.Duration) bool {
		return at > 9*time.Second && at < 10*time.Second && router%2 == 0
	}
	for name, test := range map[string]struct {
		newSimulation func(rate float64) *simulation
		rate          float64
		fleet         slotFleet
	}{
		"plain service, routers restart in turn":      {shortRequests, 900, slotFleet{isDown: inTurn}},
		"plain service, half of the routers restart":  {shortRequests, 900, slotFleet{isDown: half}},
		"plain service, a tenth of messages is lost":  {shortRequests, 900, slotFleet{lossRate: 0.1}},
		"engines, routers restart in turn":            {enginePool(0.1), 3000, slotFleet{isDown: inTurn}},
		"engines, half of the routers restart":        {enginePool(0.1), 3000, slotFleet{isDown: half}},
		"engines, messages are lost, routers restart": {enginePool(0.1), 3000, slotFleet{isDown: inTurn, lossRate: 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := test.newSimulation(test.rate)
			sim.warmUpRate, sim.warmUp = test.rate/2, 8*time.Second
			sim.brittleFrom, sim.maxRejections, sim.fleet = 5*time.Second, 3, test.fleet
			o := sim.run(14 * time.Second)
			t.Logf("%v, failures %d at %v", o, o.failures, o.failedAt)
			allowed := 2 + len(sim.servers)/10
			qt.Check(t, o.failures <= allowed, qt.IsTrue, qt.Commentf("%d servers failed, %d allowed", o.failures, allowed))
			qt.Check(t, 2*o.inTime[0] >= o.sent, qt.IsTrue, qt.Commentf("%d of %d in time", o.inTime[0], o.sent))
		})
	}
}

// enginePool is a pool of 112 engines with 16 slots each and 60 routers. hotShare is the share of the
// requests that have one prompt.
func enginePool(hotShare float64) func(rate float64) *simulation {
	return func(rate float64) *simulation {
		return &simulation{
			routers: 60, servers: zonedServers(112, 16), queue: 48, rate: rate, duration: 400 * time.Millisecond,
			reportInterval: 400 * time.Millisecond, reportAge: 600 * time.Millisecond, stale: true,
			request: func(router int, draw float64) balance.Request {
				prompt := "hot"
				if draw >= hotShare {
					prompt = fmt.Sprint("doc", int(draw*1e6)%800)
				}
				return balance.Request{
					Service: "pool", Zone: fmt.Sprint("z", router%3), Draw: draw, TimeLeft: 12 * time.Second, LatencyTarget: 600 * time.Millisecond,
					PrefixHashes: balance.PrefixHashes("m", []string{prompt, "own"}),
				}
			},
		}
	}
}

// fewRouters lets only a tenth of the routers get requests.
func fewRouters(newSimulation func(rate float64) *simulation) func(rate float64) *simulation {
	return func(rate float64) *simulation {
		sim := newSimulation(rate)
		sim.receiving = sim.routers / 10
		return sim
	}
}
