package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what happens to a part of the system.
type kind string

// The kinds of faults and of planned work.
const (
	killRouter    kind = "kill router"
	killAll       kind = "kill all routers"
	pauseRouter   kind = "pause router"
	stopRouter    kind = "stop router"
	rollRouters   kind = "stop routers in turn"
	reloadRouter  kind = "reload settings"
	cutStore      kind = "cut router from store"
	cutStoreBack  kind = "lose answers of store"
	slowStore     kind = "slow store"
	refuseStore   kind = "store turns routers away"
	silentStore   kind = "store silent"
	pauseStore    kind = "pause store"
	compactStore  kind = "compact store"
	killServer    kind = "kill server"
	pauseServer   kind = "pause server"
	drainServer   kind = "drain server"
	faultyServer  kind = "server misbehaves"
	resetServer   kind = "reset connections of server"
	cutServer     kind = "cut server one way"
	slowServer    kind = "slow link of server"
	resetCallers  kind = "reset connections of callers"
	silentCallers kind = "silence connections of callers"
	changeConfig  kind = "change configuration"
	foreignEntry  kind = "foreign entry"
)

// kinds holds what may happen. Planned work comes as often as faults.
var kinds = []kind{
	killRouter, killAll, pauseRouter, stopRouter, stopRouter, rollRouters, reloadRouter, cutStore, cutStoreBack, slowStore, refuseStore,
	silentStore, pauseStore, compactStore, killServer, killServer, pauseServer, drainServer, drainServer, faultyServer, faultyServer,
	resetServer, cutServer, slowServer, resetCallers, silentCallers, changeConfig, changeConfig, changeConfig, foreignEntry,
}

// event is one thing that happens, at a time after the start of traffic.
type event struct {
	Kind kind
	At   time.Duration
	// For is how long it lasts; 0 for what is done at once.
	For time.Duration
	// Target chooses the router or the server: it is the remainder by their number.
	Target int
	// Strength chooses the variant of the fault.
	Strength int
}

// longest is the longest time for which a fault lasts.
const longest = 4 * time.Second

// draw returns the events of a seed in the order of their times, all within a span. Series and overlaps are likely: half of the
// events follow another one within half a second.
func draw(seed uint64, span time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 0))
	n := 4 + random.IntN(12)
	events := make([]event, 0, n)
	for range n {
		e := event{
			Kind: kinds[random.IntN(len(kinds))], At: rand64(random, span),
			For: 200*time.Millisecond + rand64(random, longest), Target: random.IntN(1 << 16), Strength: random.IntN(1 << 16),
		}
		if len(events) > 0 && random.IntN(2) == 0 {
			e.At = min(span, events[len(events)-1].At+rand64(random, 500*time.Millisecond))
		}
		if e.Kind == rollRouters || e.Kind == stopRouter {
			e.For = 0
		}
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
	return events
}

func rand64(r *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(below)))
}
