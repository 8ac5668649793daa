package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// eventKind is a kind of fault or planned work.
type eventKind string

// Kinds of events.
const (
	killRouter         eventKind = "kill router"
	killAllRouters     eventKind = "kill all routers"
	pauseRouter        eventKind = "pause router"
	stopRouter         eventKind = "stop router"
	rollingRestart     eventKind = "stop routers in turn"
	reloadSettings     eventKind = "reload settings"
	blackholeStore     eventKind = "cut router from store"
	dropStoreResponses eventKind = "lose answers of store"
	delayStore         eventKind = "slow store"
	// failTwoRouters makes the store refuse the requests of two routers or not respond to them.
	failTwoRouters    eventKind = "store turns routers away"
	unresponsiveStore eventKind = "store silent"
	pauseStore        eventKind = "pause store"
	compactStore      eventKind = "compact store"
	killServer        eventKind = "kill server"
	pauseServer       eventKind = "pause server"
	// drainServer replaces a backend server, which is marked as draining first or deleted at once.
	drainServer            eventKind = "drain server"
	faultyServer           eventKind = "server misbehaves"
	resetServerConnections eventKind = "reset connections of server"
	blackholeServer        eventKind = "cut server one way"
	delayServer            eventKind = "slow link of server"
	resetCallerConnections eventKind = "reset connections of callers"
	blackholeCallers       eventKind = "silence connections of callers"
	changeConfig           eventKind = "change configuration"
	// restoreStore makes the store lose its latest changes, once or twice in a row.
	restoreStore eventKind = "store back from a copy"
	// announceLeaving removes a backend server that states in its responses that it is leaving,
	// while its entry in the store says that it is ready.
	announceLeaving eventKind = "server says that it leaves"
	// rejectForTime makes a backend server reject requests and ask for none for some time.
	rejectForTime     eventKind = "server wants nothing for a time"
	putMalformedEntry eventKind = "foreign entry"
	// silenceServer makes one or two sound backend servers send no data for about a second.
	silenceServer eventKind = "server silent and sound"
	// limitServers makes sound backend servers state a rate limit.
	limitServers eventKind = "servers limited"
	// evacuateZone evacuates an availability zone, and returnCold restarts a server that is cold then.
	evacuateZone eventKind = "zone evacuated"
	returnCold   eventKind = "server back and cold"
	// makeBrittle makes the backend servers of a service brittle, beside more callers.
	makeBrittle eventKind = "servers brittle"
	// releaseServers replaces servers by those of a new software version, beside a router that misses it.
	releaseServers eventKind = "release of servers"
	// changeTimeouts changes the timeouts in the configuration. It only occurs beside a silence.
	changeTimeouts eventKind = "change timeouts"
)

// eventKinds holds the kinds to draw from. A kind that occurs several times is drawn more often.
// This applies mainly to planned work, which has fewer kinds than faults.
var eventKinds = []eventKind{
	killRouter, killAllRouters, pauseRouter, stopRouter, stopRouter, rollingRestart, reloadSettings, blackholeStore, dropStoreResponses,
	delayStore, failTwoRouters, unresponsiveStore, pauseStore, compactStore, killServer, killServer, pauseServer, drainServer, drainServer,
	faultyServer, faultyServer, resetServerConnections, blackholeServer, delayServer, resetCallerConnections, blackholeCallers, changeConfig,
	changeConfig, changeConfig, putMalformedEntry,
}

// laterKinds holds kinds that were added later. They are drawn separately, so that an earlier seed
// still has the events with which it violated a guarantee.
var laterKinds = []eventKind{restoreStore, announceLeaving, rejectForTime}

// maxLaterEvents is the maximum number of events of laterKinds in a run. A run has 1 to maxSilences
// events of silenceServer. One of limitOdds runs has an event of limitServers, and one an event of
// makeBrittle.
const (
	maxLaterEvents = 3
	maxSilences    = 3
	limitOdds      = 2
	// One of zoneOdds runs has an event of evacuateZone, and one an event of returnCold.
	zoneOdds = 2
	// Each run has an event of releaseServers, and one of releaseOdds runs a second one.
	releaseOdds = 2
)

// event is one fault or one piece of planned work.
type event struct {
	Kind eventKind
	// At is the time since the start of the events.
	At time.Duration
	// Duration is how long a fault lasts. For restarts of a router or server, it extends the delay
	// between the exit and the start of the process. Other events ignore it.
	Duration time.Duration
	// Target selects the router or server: its index is Target modulo the number of routers or
	// servers.
	Target int
	// Variant selects the variant of the event: it is taken modulo the number of variants.
	Variant int
}

// faultDurationRange is the difference between the upper and the lower limit of fault durations.
// The lower limit is 200 ms.
const faultDurationRange = 4 * time.Second

// randomEvents returns the events of a seed, sorted by time. All begin within the given window. To
// make series and overlaps likely, about half of the events begin less than 500 ms after the event
// drawn before.
func randomEvents(seed uint64, window time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 0))
	n := 4 + random.IntN(12)
	events := make([]event, 0, n)
	for range n {
		e := event{
			Kind: eventKinds[random.IntN(len(eventKinds))], At: randomDuration(random, window),
			Duration: 200*time.Millisecond + randomDuration(random, faultDurationRange), Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		}
		if len(events) > 0 && random.IntN(2) == 0 {
			e.At = min(window, events[len(events)-1].At+randomDuration(random, 500*time.Millisecond))
		}
		// Planned restarts do not extend restartDelay.
		if e.Kind == rollingRestart || e.Kind == stopRouter {
			e.Duration = 0
		}
		events = append(events, e)
	}
	later := rand.New(rand.NewPCG(seed, 1))
	for range later.IntN(maxLaterEvents + 1) {
		events = append(events, event{
			Kind: laterKinds[later.IntN(len(laterKinds))], At: randomDuration(later, window),
			Duration: 200*time.Millisecond + randomDuration(later, faultDurationRange), Target: later.IntN(1 << 16), Variant: later.IntN(1 << 16),
		})
	}
	// These events are drawn last, for the same reason as those of laterKinds.
	silences := rand.New(rand.NewPCG(seed, 2))
	for range 1 + silences.IntN(maxSilences) {
		events = append(events, event{
			Kind: silenceServer, At: randomDuration(silences, window), Duration: minSilence + randomDuration(silences, silenceRange),
			Target: silences.IntN(1 << 16), Variant: silences.IntN(1 << 16),
		})
	}
	limits := rand.New(rand.NewPCG(seed, 3))
	if limits.IntN(limitOdds) == 0 {
		events = append(events, event{
			Kind: limitServers, At: randomDuration(limits, window/2), Duration: minLimitTime + randomDuration(limits, limitTimeRange),
			Target: limits.IntN(1 << 16), Variant: limits.IntN(1 << 16),
		})
	}
	zones := rand.New(rand.NewPCG(seed, 4))
	if zones.IntN(zoneOdds) == 0 {
		events = append(events, event{Kind: evacuateZone, At: randomDuration(zones, window/2), Duration: minEvacuation + randomDuration(zones, evacuationRange)})
	}
	if zones.IntN(zoneOdds) == 0 {
		events = append(events, event{Kind: returnCold, At: randomDuration(zones, window), Duration: randomDuration(zones, time.Second), Target: zones.IntN(1 << 16)})
	}
	brittle := rand.New(rand.NewPCG(seed, 5))
	if brittle.IntN(limitOdds) == 0 {
		events = append(events, event{Kind: makeBrittle, At: randomDuration(brittle, window/2), Duration: minBrittleTime + randomDuration(brittle, brittleTimeRange), Target: brittle.IntN(1 << 16)})
	}
	releases := rand.New(rand.NewPCG(seed, 6))
	// A release that a router may miss is the first one, as routers know of a version for minutes.
	events = append(events, event{
		Kind: releaseServers, At: randomDuration(releases, window/2), Duration: minCut + randomDuration(releases, cutRange),
		Target: releases.IntN(1 << 16), Variant: releases.IntN(1<<16) &^ withoutPause,
	})
	if releases.IntN(releaseOdds) == 0 {
		events = append(events, event{
			Kind: releaseServers, At: window/2 + randomDuration(releases, window/2), Duration: minCut + randomDuration(releases, cutRange),
			Target: releases.IntN(1 << 16), Variant: releases.IntN(1 << 16),
		})
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// randomDuration returns a duration from 0 up to but not including limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
