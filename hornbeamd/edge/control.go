package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/hornbeamd/mesh"
	"hornbeamstep.example/hornbeamd/source"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// control owns what this router believes of the fleet, the configuration and the backend servers. All of it is changed by one
// goroutine, which takes functions from a channel.
type control struct {
	self      presence.Record
	presence  *presence.State
	roster    *roster.Roster
	gateway   *gateway.Server
	upstreams *gateway.Upstreams
	send      func(presence.Sending)
	seeds     []string
	log       *zap.Logger

	events chan func()
	// started is when the process began; own is when the store last answered this router.
	started, own time.Time
	// lost is when the store did not answer this router's latest call; zero if it did.
	lost time.Time
	// configured is when the configuration in force was taken, and configuredBy from where.
	configured   time.Time
	configuredBy string
	// reached is false until the store answers, and while it does not.
	reached bool
	// fetching holds the kinds of knowledge that are being asked from another router.
	fetching map[string]bool
	beaten   time.Time

	// The following are read by other goroutines.
	duty         source.Duty
	draining     atomic.Bool
	registration atomic.Pointer[roster.Snapshot]
}

// eventQueue bounds the functions that wait for the control goroutine.
const eventQueue = 1024

// tick is the time between two looks at what depends on time.
const tick = 50 * time.Millisecond

// seedWait is the time after the start in which a router that is a seed, or that a seed has answered, listens for others before it
// asks the store; joinWait is that of a router that has heard of no other. A fleet that starts at once would otherwise ask the
// store once for each router.
const (
	seedWait = 50 * time.Millisecond
	joinWait = 150 * time.Millisecond
)

// do runs a function on the control goroutine.
func (c *control) do(f func()) { c.events <- f }

// offer runs a function on the control goroutine unless too many wait.
func (c *control) offer(f func()) {
	select {
	case c.events <- f:
	default:
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.presence.Tick(now)
	newest, _ := c.presence.Contact(now, c.own)
	c.roster.RecordResponse(newest)
	if c.roster.Tick(now) {
		c.log.Info("servers whose entries did not return are gone", zap.Int64("revision", c.roster.Revision()))
		c.publishServers()
	}
	for _, id := range c.upstreams.CheckStalls(now) {
		c.log.Warn("server is silent; its streams go on elsewhere", zap.String("server", id))
	}
	c.setDuty(now)
	if now.Sub(c.beaten) >= c.presence.Interval() {
		c.beat(now)
		loads, down := c.presence.Load(now, c.self)
		c.upstreams.SetPeerReports(now, byServer(c.roster.Servers(), loads), down, c.presence.Fleet(), c.presence.Interval())
	}
	c.fetch(ctx, now)
}

// lostMemory is the time after which a router that lost the store and stopped trying counts as able to reach it again.
const lostMemory = 5 * time.Second

func (c *control) setDuty(now time.Time) {
	if !c.lost.IsZero() && now.Sub(c.lost) > lostMemory {
		c.lost = time.Time{}
	}
	wait := joinWait
	if c.presence.Live(now) > 0 || slices.Contains(c.seeds, c.self.Peer) {
		wait = seedWait
	}
	duty := now.Sub(c.started) >= wait && c.presence.Watches(now, c.own, c.started, !c.lost.IsZero())
	if c.duty.Set(duty) {
		c.log.Info("watching the store", zap.Bool("on_duty", duty), zap.Int("routers", c.presence.Live(now)+1),
			zap.Duration("own_contact", age(now, c.own)))
	}
}

// age is the time since at, or 0 if it never was.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// record returns what this router says of itself now.
func (c *control) record(now time.Time) presence.Record {
	r := c.self
	r.Contact = -1
	if !c.own.IsZero() {
		r.Contact = now.Sub(c.own).Milliseconds()
	}
	if t := c.gateway.Table(); t != nil {
		r.Config = t.Version()
	}
	r.Lost = !c.lost.IsZero()
	r.Servers = c.roster.Revision()
	r.Ready = r.Config > 0 && !c.draining.Load()
	loads, down := c.upstreams.LocalReport(now)
	r.Loads, r.Down = byKey(loads), down
	r.Crashes = crashRecords(c.gateway.Crashes.Outgoing(now))
	return r
}

// byKey returns loads by server ID in the form of messages.
func byKey(loads map[string]int) map[presence.ServerKey]int {
	out := make(map[presence.ServerKey]int, len(loads))
	for id, n := range loads {
		out[presence.KeyOf(id)] += n
	}
	return out
}

// byServer returns the loads of servers by their IDs.
func byServer(servers []roster.Server, loads map[presence.ServerKey]int) map[string]int {
	out := make(map[string]int, len(servers))
	for _, s := range servers {
		out[s.ID] = loads[presence.KeyOf(s.ID)]
	}
	return out
}

// beat sends a heartbeat, also to the seeds that are not heard.
func (c *control) beat(now time.Time) {
	c.beaten = now
	c.self.Sequence++
	own := c.record(now)
	for _, s := range c.presence.Heartbeat(now, own) {
		c.send(s)
	}
	var silent []string
	for _, seed := range c.seeds {
		if seed != c.self.Peer && !c.presence.Hears(now, seed) {
			silent = append(silent, seed)
		}
	}
	c.send(presence.Sending{To: silent, Message: presence.Message{From: own.ID, Records: []presence.Aged{{Record: own}}}})
}

// joinedLogged bounds the routers that are named in one log line.
const joinedLogged = 8

// heard takes a message of another router. Routers that join are told of the others.
func (c *control) heard(ctx context.Context, m presence.Message) {
	now := time.Now()
	joined, introduce := c.presence.Receive(now, m)
	for _, r := range m.Records {
		c.gateway.Crashes.Merge(now, crashEntries(now, r.Crashes))
	}
	if len(joined) > 0 {
		// A fleet that starts at once would otherwise log the square of its size.
		c.log.Info("routers joined", zap.Strings("peers", joined[:min(len(joined), joinedLogged)]), zap.Int("joined", len(joined)),
			zap.Int("routers", c.presence.Live(now)+1), zap.String("from", m.From))
	}
	for _, id := range introduce {
		c.send(c.presence.Introduce(now, c.record(now), id))
	}
	c.fetch(ctx, now)
}

// storeAnswered notes that the store answered this router.
func (c *control) storeAnswered() {
	c.own, c.lost = time.Now(), time.Time{}
	if !c.reached {
		c.log.Info("store reached")
	}
	c.reached = true
}

func (c *control) storeFailed(err error) {
	now := time.Now()
	known := !c.lost.IsZero()
	c.lost = now
	if c.reached {
		c.log.Warn("store lost", zap.Error(err), zap.Duration("own_contact", age(now, c.own)))
	}
	c.reached = false
	if !known {
		// Another router takes over when it hears of this.
		c.beat(now)
	}
}

// setConfig puts a configuration in force unless a newer one is.
func (c *control) setConfig(config routes.Config, from string) {
	if t := c.gateway.Table(); t != nil && t.Version() >= config.Version {
		return
	}
	table, err := routes.New(config)
	if err != nil {
		c.log.Error("configuration cannot be used; the present one stays in force", zap.Error(err))
		return
	}
	if c.gateway.SetTable(table) {
		c.configured, c.configuredBy = time.Now(), from
		c.log.Info("configuration in force", zap.Int64("config", config.Version), zap.Int("routes", table.RouteCount()), zap.String("from", from))
		c.announceReady()
		c.beat(time.Now())
	}
}

// announceReady lets requests pass when both the configuration and the backend servers are known.
func (c *control) announceReady() {
	if c.gateway.Table() != nil && c.roster.Revision() > 0 {
		c.gateway.SetReady()
	}
}

// setServers takes a list of backend servers unless a newer one is known.
func (c *control) setServers(next roster.Snapshot, from string) {
	if !c.roster.Update(time.Now(), next) {
		return
	}
	c.log.Info("servers changed", zap.Int64("revision", next.Revision), zap.Int("servers", len(next.Servers)),
		zap.Int("kept", c.roster.RetainedCount()), zap.String("from", from))
	c.publishServers()
	c.announceReady()
	c.beat(time.Now())
}

func (c *control) publishServers() {
	c.upstreams.SetServers(c.roster.Servers(), c.roster.Revision())
	r := c.roster.Snapshot()
	c.registration.Store(&r)
}

// The kinds of knowledge that routers ask from each other.
const (
	configKnowledge  = "config"
	serversKnowledge = "servers"
)

// fetch asks another router for what it knows and this one does not.
func (c *control) fetch(ctx context.Context, now time.Time) {
	own := c.record(now)
	forConfig, forServers := c.presence.Newest(now, own.Config, own.Servers)
	if forConfig.ID != "" {
		fetch(ctx, c, configKnowledge, forConfig, mesh.Config, c.setConfig)
	}
	if forServers.ID != "" {
		fetch(ctx, c, serversKnowledge, forServers, mesh.Registration, c.setServers)
	}
}

func fetch[T any](
	ctx context.Context, c *control, kind string, from presence.Member, ask func(context.Context, string) (T, error), take func(T, string),
) {
	if c.fetching[kind] {
		return
	}
	c.fetching[kind] = true
	go func() {
		value, err := ask(ctx, from.Control)
		c.do(func() {
			c.fetching[kind] = false
			if err != nil {
				c.log.Info("router did not tell", zap.String("peer", from.ID), zap.String("kind", kind), zap.Error(err))
				return
			}
			take(value, from.ID)
		})
	}()
}

// Config implements mesh.Knowledge.
func (c *control) Config() (routes.Config, bool) {
	t := c.gateway.Table()
	if t == nil {
		return routes.Config{}, false
	}
	return t.Config(), true
}

// Registration implements mesh.Knowledge.
func (c *control) Registration() roster.Snapshot {
	if r := c.registration.Load(); r != nil {
		return *r
	}
	return roster.Snapshot{}
}
