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
	"hornbeamstep.example/hornbeamd/storewatch"
	"hornbeamstep.example/routing/evacuation"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// controlLoop owns this router's view of the fleet, the configuration and the backend servers. A
// single goroutine makes all changes to it, by running functions that it receives from a channel.
type controlLoop struct {
	self     presence.Record
	presence *presence.State
	roster   *roster.Roster
	// evacuations holds the evacuated availability zones.
	evacuations evacuation.State
	// spreading is true while servers of a zone are being taken out of use, and spreadAt is the time of
	// the latest step.
	spreading bool
	spreadAt  time.Time
	// evacuatedCount is their number, for metrics.
	evacuatedCount atomic.Int64
	gateway        *gateway.Server
	upstreams      *gateway.Upstreams
	send           func(presence.OutgoingMessage)
	// seeds holds the heartbeat addresses of the routers that this router contacts although it has
	// received no heartbeat from them.
	seeds []string
	log   *zap.Logger
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod time.Duration

	tasks chan func()
	// started is the start time of the process. storeContact is the time at which the store last
	// responded to this router; zero if it never did.
	started, storeContact time.Time
	// storeFailedAt is the time at which a call to the store last failed. It is reset to zero when
	// the store responds, and when storeFailureExpiry has passed.
	storeFailedAt time.Time
	// configAppliedAt is the time at which the active configuration was applied. configSource is
	// storeSource or the ID of the router from which the configuration was fetched.
	configAppliedAt time.Time
	configSource    string
	// storeAvailable is true if the store responded to the latest call; false before the first
	// response. Unlike storeFailedAt, it does not expire, so that each change is logged once.
	storeAvailable bool
	// fetching holds the kinds of data for which a call to another router is in progress.
	fetching map[string]bool
	// lastHeartbeat is when this router last sent a heartbeat, and reportsAppliedAt when it last put the
	// reports of the others into effect.
	lastHeartbeat, reportsAppliedAt time.Time
	// lostPaths holds the services whose backend servers this router doesn't reach, sorted.
	lostPaths []string
	// serverIDs holds the IDs of the backend servers by the keys that messages carry.
	serverIDs map[presence.ServerKey]string
	// foreignMessages counts the messages that were not sent from the address of their sender;
	// foreignLoggedAt is when the count was last logged.
	foreignMessages int
	foreignLoggedAt time.Time
	// unclearConfig is the newest version of the configuration that a router of an earlier release
	// offered without the key policy; 0 if there is none. unclearAt is when one last did.
	unclearConfig int64
	unclearAt     time.Time
	// isMixed is true while routers of several releases are in the fleet.
	isMixed bool

	// Other goroutines may read the fields below. serverSnapshot holds the list of backend servers
	// that other routers can fetch; nil before the first one.
	watching storewatch.Switch
	// drainingSince is when the shutdown of this router began; nil before.
	drainingSince atomic.Pointer[time.Time]
	// storeEra is the era of the list of backend servers.
	storeEra       atomic.Int64
	serverSnapshot atomic.Pointer[roster.Snapshot]
}

// taskQueueSize is the number of functions that can wait for the control goroutine.
const taskQueueSize = 1024

// tickInterval is the time between two runs of the time-dependent work, such as heartbeats and
// expiry.
const tickInterval = 50 * time.Millisecond

// After its start, a router waits for heartbeats before it first calls the store, because other
// routers may already watch the store. Otherwise, if all routers of a fleet started at the same
// time, each of them would call the store.
const (
	// seedStartDelay applies to a router that is a seed or receives heartbeats from another router.
	seedStartDelay = 50 * time.Millisecond
	// joinStartDelay applies to all other routers.
	joinStartDelay = 150 * time.Millisecond
)

// enqueue queues a function for the control goroutine. It blocks while the queue is full.
func (c *controlLoop) enqueue(f func()) { c.tasks <- f }

// tryEnqueue queues a function for the control goroutine, or discards the function if the queue is
// full.
func (c *controlLoop) tryEnqueue(f func()) {
	select {
	case c.tasks <- f:
	default:
	}
}

// run is the control goroutine. It returns when the context is done.
func (c *controlLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.tasks:
			f()
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

// tick does the time-dependent work: it removes expired data, checks for stalled backend servers,
// decides whether to watch the store, sends heartbeats and fetches newer data from other routers.
func (c *controlLoop) tick(ctx context.Context, now time.Time) {
	c.presence.Tick(now)
	newest, _ := c.presence.LastStoreContact(now, c.storeContact)
	c.roster.RecordResponse(newest)
	if c.roster.Tick(now) {
		c.log.Info("removed backend servers whose store entries did not reappear", revisionField(c.roster.Revision()))
		c.publishServers()
	}
	c.tickEvacuations(now)
	for _, id := range c.upstreams.CheckStalls(now) {
		c.log.Warn("backend server sends no data; trying its streams on other servers", zap.String("server", id))
	}
	c.updatePaths(ctx, now)
	c.gateway.Permits.Tick(now)
	c.updateWatching(now)
	if now.Sub(c.lastHeartbeat) >= c.presence.Interval() {
		c.sendHeartbeat(now)
	}
	// Changes cause heartbeats out of turn, which must not put this off.
	if now.Sub(c.reportsAppliedAt) >= c.presence.Interval() {
		c.applyPeerReports(now)
	}
	if stoppedAt := c.drainingSince.Load(); stoppedAt != nil {
		c.gateway.SetNextRouterIn(c.presence.NextRouterIn(now, *stoppedAt, c.gracePeriod))
	}
	for _, m := range c.presence.Requests(now) {
		c.send(m)
	}
	c.fetchNewer(ctx, now)
}

// applyPeerReports passes what the other routers report about backend servers to the gateway.
func (c *controlLoop) applyPeerReports(now time.Time) {
	c.reportsAppliedAt = now
	reports := c.presence.OtherReports(now, c.self)
	issuers, lost := c.presence.PermitIssuers(now, c.isReady())
	c.gateway.Permits.SetFleet(gateway.Fleet{Issuers: issuers, Lost: lost, Size: c.presence.FleetSize(), WithoutSlots: c.presence.WithoutSlots(now)})
	c.noteFormats(now)
	peers := c.presence.Peers(now)
	c.gateway.Origins.SetRouters(originRouters(peers))
	c.gateway.Origins.SetArchivist(c.archivist(now))
	c.gateway.Relays.SetPeers(c.relayPeers(peers))
	leaving := c.upstreams.SetPeerReports(now, gateway.PeerReports{
		Load: loadsByServerID(c.roster.Servers(), reports.Loads), Down: reports.Down, Leaving: reports.Leaving,
	}, c.presence.FleetSize(), c.presence.Interval())
	if c.gateway.Permits.HasBrittle(now) {
		c.gateway.Permits.SetLoads(now, c.upstreams.Loads())
	}
	if len(leaving) > 0 {
		c.log.Info("other routers report leaving backend servers", zap.Strings("servers", leaving))
	}
}

// noteFormats logs when the fleet begins to have routers of several releases, and when it no longer does.
func (c *controlLoop) noteFormats(now time.Time) {
	formats := c.presence.Formats(now)
	isMixed := len(formats) > 1
	if isMixed == c.isMixed {
		return
	}
	c.isMixed = isMixed
	message := "all routers have releases with the same message format"
	if isMixed {
		message = "routers of several releases are in the fleet"
	}
	c.log.Info(message, zap.Any("routers_by_format", formats))
}

// applyPeerLoads passes the loads that other routers have just reported to the gateway, because
// they are old enough when they arrive.
func (c *controlLoop) applyPeerLoads(now time.Time) {
	c.upstreams.UpdatePeerLoads(loadsByServerID(c.roster.Servers(), c.presence.OtherReports(now, c.self).Loads))
	if c.gateway.Permits.HasBrittle(now) {
		c.gateway.Permits.SetLoads(now, c.upstreams.Loads())
	}
}

// storeFailureExpiry is the time after which a failed call to the store is disregarded. A router
// that cannot reach the store may stop calling it, and would otherwise never learn that it can
// again.
const storeFailureExpiry = 5 * time.Second

// updateWatching decides whether this router watches the store.
func (c *controlLoop) updateWatching(now time.Time) {
	if !c.storeFailedAt.IsZero() && now.Sub(c.storeFailedAt) > storeFailureExpiry {
		c.storeFailedAt = time.Time{}
	}
	delay := joinStartDelay
	if c.presence.LiveCount(now) > 0 || slices.Contains(c.seeds, c.self.Peer) {
		delay = seedStartDelay
	}
	watch := now.Sub(c.started) >= delay && c.presence.MustWatchStore(now, c.storeContact, c.started, !c.storeFailedAt.IsZero()) ||
		c.isConfigUnclear()
	if c.watching.Set(watch) {
		c.log.Info("metadata store watch changed", zap.Bool("on_duty", watch), zap.Int("routers", c.presence.LiveCount(now)+1),
			zap.Duration("own_contact", age(now, c.storeContact)))
	}
}

// age returns the time since at, or 0 if at is zero.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// state returns the state that this router reports to the other routers, without its reports on
// backend servers. A StoreContactAge of -1 means that the store has never responded to this router.
func (c *controlLoop) state(now time.Time) presence.Record {
	r := c.self
	r.StoreContactAge = -1
	if !c.storeContact.IsZero() {
		r.StoreContactAge = now.Sub(c.storeContact).Milliseconds()
	}
	if t := c.gateway.Table(); t != nil {
		r.Config = t.Version()
	}
	r.StoreLost = !c.storeFailedAt.IsZero()
	r.Servers = c.roster.Revision()
	zones := c.evacuations.Zones()
	r.Evacuated = presence.Evacuated{Revision: zones.Revision, Zones: zones.Names}
	r.Ready = c.isReady()
	for _, service := range c.lostPaths {
		r.Unreached = append(r.Unreached, presence.ServiceKeyOf(service))
	}
	return r
}

// record returns the state that this router reports to the other routers, with its reports on
// backend servers. These count as announced.
func (c *controlLoop) record(now time.Time) presence.Record {
	r := c.state(now)
	report := c.upstreams.LocalReport(now)
	r.Loads, r.Down, r.Leaving = loadsByKey(report.Load), c.withoutUnreached(report.Down), report.Leaving
	r.Overloads = overloads(c.gateway.Permits.Overloads(now))
	r.Brittle = brittleServices(c.gateway.Permits.BrittleServices(now))
	r.Limits = serverLimits(now, c.gateway.Permits.Outgoing(now, c.presence.ForwardsReports(now, c.self)))
	r.Crashes = crashRecords(now, c.gateway.Crashes.Outgoing(now, c.presence.ForwardsReports(now, c.self)))
	r.Parts = partRecords(c.gateway.Crashes.OutgoingParts(now, c.presence.ForwardsReports(now, c.self)))
	return r
}

// isReady reports whether this router takes callers.
func (c *controlLoop) isReady() bool {
	return c.gateway.Table() != nil && c.drainingSince.Load() == nil
}

// loadsByKey converts loads by server ID to loads by the short server key that messages carry.
func loadsByKey(loads map[string]int) map[presence.ServerKey]int {
	out := make(map[presence.ServerKey]int, len(loads))
	for id, n := range loads {
		out[presence.ServerKeyOf(id)] += n
	}
	return out
}

// loadsByServerID converts loads by server key to loads by server ID.
func loadsByServerID(servers []roster.Server, loads map[presence.ServerKey]int) map[string]int {
	out := make(map[string]int, len(servers))
	for _, s := range servers {
		out[s.ID] = loads[presence.ServerKeyOf(s.ID)]
	}
	return out
}

// sendHeartbeat sends a heartbeat to the other routers, and to the seeds from which no heartbeats
// arrive.
func (c *controlLoop) sendHeartbeat(now time.Time) {
	c.lastHeartbeat = now
	c.self.Sequence++
	own := c.record(now)
	for _, m := range c.presence.Heartbeat(now, own) {
		c.send(m)
	}
	var silentSeeds []string
	for _, seed := range c.seeds {
		if seed != c.self.Peer && !c.presence.IsPeerLive(now, seed) {
			silentSeeds = append(silentSeeds, seed)
		}
	}
	c.send(presence.OutgoingMessage{To: silentSeeds, Message: presence.Message{From: own.ID, Records: []presence.AgedRecord{{Record: own}}}})
}

// maxJoinedLogged is the largest number of routers named in one log line.
const maxJoinedLogged = 8

// handleMessage processes a message from another router. It sends the records of the other routers
// to routers that have just joined. A message from an address other than that of its sender is
// dropped.
func (c *controlLoop) handleMessage(ctx context.Context, m presence.Message, source string) {
	now := time.Now()
	if !c.presence.IsAuthentic(m, source) {
		if c.presence.Knows(m) {
			c.countForeign(now, m, source)
		}
		return
	}
	if c.handlePermit(now, m, source) || c.handleOrigin(now, m, source) {
		return
	}
	joined, introduce := c.presence.Receive(now, m)
	for _, r := range m.Records {
		c.mergeLimits(now, m.From, r.Limits)
		c.mergeEvacuations(m.From, r.Evacuated)
		c.mergeOverloads(now, m.From, r)
		c.mergeBrittle(now, m.From, r)
		c.gateway.Crashes.Merge(now, crashEntries(now, r.Crashes))
		c.gateway.Crashes.MergeParts(now, partReports(r.Parts))
	}
	if len(m.ZoneLoads) > 0 || !c.presence.UsesHubs() {
		c.applyPeerLoads(now)
	}
	if len(joined) > 0 {
		// One line per message, because with one line per router, the number of lines would grow
		// with the square of the fleet size when all routers start at the same time.
		c.log.Info("routers joined", zap.Strings("peers", joined[:min(len(joined), maxJoinedLogged)]), zap.Int("joined", len(joined)),
			zap.Int("routers", c.presence.LiveCount(now)+1), zap.String("from", m.From))
	}
	for _, id := range introduce {
		c.send(c.presence.Introduce(now, c.record(now), id))
	}
	c.fetchNewer(ctx, now)
}

// foreignLogInterval is the minimum time between two log lines about dropped messages.
const foreignLogInterval = 5 * time.Second

// countForeign counts a message that was not sent from the address of its sender. It logs the count
// once per foreignLogInterval, since any program can send such messages.
func (c *controlLoop) countForeign(now time.Time, m presence.Message, source string) {
	c.foreignMessages++
	if now.Sub(c.foreignLoggedAt) < foreignLogInterval {
		return
	}
	c.foreignLoggedAt = now
	c.log.Warn("dropped messages that were not sent from the address of their sender", zap.String("sender", m.From),
		zap.String("source", source), zap.Int("dropped", c.foreignMessages))
}

// storeAnswered records that the store responded to this router.
func (c *controlLoop) storeAnswered() {
	c.storeContact, c.storeFailedAt = time.Now(), time.Time{}
	if !c.storeAvailable {
		c.log.Info("metadata store is available")
	}
	c.storeAvailable = true
}

// storeFailed records that a call of this router to the store failed.
func (c *controlLoop) storeFailed(err error) {
	now := time.Now()
	alreadyReported := !c.storeFailedAt.IsZero()
	c.storeFailedAt = now
	if c.storeAvailable {
		c.log.Warn("metadata store is unavailable", zap.Error(err), zap.Duration("own_contact", age(now, c.storeContact)))
	}
	c.storeAvailable = false
	if !alreadyReported {
		// The heartbeat reports the failure, so that another router can take over watching the
		// store.
		c.sendHeartbeat(now)
	}
}

// unclearRetryInterval is the time between two attempts to get a configuration from other routers
// after one of an earlier release has sent it without the key policy. One of this release may get it.
const unclearRetryInterval = time.Second

// storeSource is the source of a configuration or a list that this router read from the store itself.
const storeSource = "store"

// applyConfig activates a configuration unless the active one is as new or newer.
func (c *controlLoop) applyConfig(config routes.Config, from string) {
	if t := c.gateway.Table(); t != nil && t.Version() >= config.Version {
		return
	}
	required, known := config.RequiresKey()
	if !known && from != storeSource {
		c.readConfigFromStore(config.Version, from)
		return
	}
	table, err := routes.New(config)
	if err != nil {
		c.log.Error("new configuration is invalid; the active one remains", zap.Error(err))
		return
	}
	if c.gateway.SetTable(table) {
		c.gateway.Permits.SetServices(config.Services)
		c.configAppliedAt, c.configSource = time.Now(), from
		c.log.Info("configuration applied", zap.Int64("config", config.Version), zap.Int("routes", table.RouteCount()),
			zap.Int("accounts", len(config.Accounts)), zap.Bool("requires_key", required), zap.String("from", from))
		c.updateReadiness()
		c.sendHeartbeat(time.Now())
	}
}

// readConfigFromStore makes this router watch the store until it has a version of the configuration
// itself. The router that offers the version runs an earlier release, which does not say whether an
// empty list of client accounts is configured, or none.
func (c *controlLoop) readConfigFromStore(version int64, from string) {
	c.unclearAt = time.Now()
	if version <= c.unclearConfig {
		return
	}
	c.unclearConfig = version
	c.log.Info("configuration of an earlier release does not say whether requests need a key; reading it from the store",
		zap.Int64("config", version), zap.String("from", from))
	c.updateWatching(c.unclearAt)
}

// isConfigUnclear reports whether a newer configuration is known that only the store can tell.
func (c *controlLoop) isConfigUnclear() bool {
	t := c.gateway.Table()
	return c.unclearConfig > 0 && (t == nil || t.Version() < c.unclearConfig)
}

// updateReadiness releases the requests that wait in the gateway, once both the configuration and
// the backend servers are known.
func (c *controlLoop) updateReadiness() {
	if c.gateway.Table() != nil && !c.roster.Revision().IsZero() {
		c.gateway.SetReady()
	}
}

// applyServers applies a list of backend servers unless the current one is as new or newer.
func (c *controlLoop) applyServers(next roster.Snapshot, from string) {
	if !c.roster.Update(time.Now(), next) {
		return
	}
	c.log.Info("backend servers changed", revisionField(next.Revision), eraField(next.Revision), zap.Int("servers", len(next.Servers)),
		zap.Int("kept", c.roster.RetainedCount()), zap.String("from", from))
	c.storeEra.Store(next.Revision.Era)
	c.publishServers()
	c.updateReadiness()
	c.sendHeartbeat(time.Now())
}

// revisionField and eraField are the log fields of a revision of the list of backend servers.
func revisionField(r roster.Revision) zap.Field { return zap.Int64("revision", r.Number) }
func eraField(r roster.Revision) zap.Field      { return zap.Int64("era", r.Era) }

// publishServers passes the list of backend servers to the gateway, and makes it available to other
// routers. Only the gateway's list includes the servers that are retained although their store
// entries are missing.
func (c *controlLoop) publishServers() {
	c.upstreams.SetServers(c.evacuations.Apply(time.Now(), c.roster.Servers()), c.roster.Revision())
	c.gateway.Permits.SetServers(c.roster.Servers())
	c.gateway.Origins.SetServers(time.Now(), c.roster.Servers(), c.roster.Snapshot().History)
	c.gateway.Paths.SetServers(c.roster.Servers())
	c.serverIDs = serverIDsByKey(c.roster.Servers())
	r := c.roster.Snapshot()
	c.serverSnapshot.Store(&r)
}

// Kinds of data that routers fetch from each other; the keys of controlLoop.fetching.
const (
	configKind  = "config"
	serversKind = "servers"
)

// fetchNewer fetches the configuration and the list of backend servers from other routers that have
// newer ones.
func (c *controlLoop) fetchNewer(ctx context.Context, now time.Time) {
	config := int64(0)
	if t := c.gateway.Table(); t != nil {
		config = t.Version()
	}
	forConfig, forServers := c.presence.UpdateSources(now, config, c.roster.Revision())
	if forConfig.ID != "" && (!c.isConfigUnclear() || now.Sub(c.unclearAt) >= unclearRetryInterval) {
		fetchFrom(ctx, c, configKind, forConfig, mesh.FetchConfig, c.applyConfig)
	}
	if forServers.ID != "" {
		fetchFrom(ctx, c, serversKind, forServers, mesh.FetchServers, c.applyServers)
	}
}

// fetchFrom fetches one kind of data from another router in the background and applies the response
// on the control goroutine. It does nothing while a fetch of that kind is in progress.
func fetchFrom[T any](
	ctx context.Context, c *controlLoop, kind string, from presence.Member, fetch func(context.Context, string) (T, error), apply func(T, string),
) {
	if c.fetching[kind] {
		return
	}
	c.fetching[kind] = true
	go func() {
		value, err := fetch(ctx, from.Control)
		c.enqueue(func() {
			c.fetching[kind] = false
			if err != nil {
				c.log.Info("fetching data from another router failed", zap.String("peer", from.ID), zap.String("kind", kind), zap.Error(err))
				return
			}
			apply(value, from.ID)
		})
	}()
}

// Config implements mesh.StateProvider.
func (c *controlLoop) Config() (routes.Config, bool) {
	t := c.gateway.Table()
	if t == nil {
		return routes.Config{}, false
	}
	return t.Config(), true
}

// Servers implements mesh.StateProvider.
func (c *controlLoop) Servers() roster.Snapshot {
	if r := c.serverSnapshot.Load(); r != nil {
		return *r
	}
	return roster.Snapshot{}
}
