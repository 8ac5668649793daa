// Package owner assigns engines, claim shards and roles to routers by weighted rendezvous hashing.
package owner

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultShards is the number of shards of the claim log, which ensures that a non-idempotent
	// request runs at most once; see package claim.
	DefaultShards = 64
	// DefaultRelays is the number of relays per availability zone. Relays watch the object API for
	// the routers of their zone. With two, the failure of one does not delay updates in the zone.
	DefaultRelays = 2
)

// Router is a candidate for ownership. Leaving and damped routers must not be passed.
type Router struct {
	ID, Zone, Region string
	// Weight is the relative share of the work. 0 means 1.
	Weight float64
}

// Engine is a model engine. Its owner decides on the admission of requests to it.
type Engine struct {
	ID, Zone, Region string
}

// Input is everything that ownership depends on. Equal inputs give equal snapshots, regardless of
// the order of their lists.
type Input struct {
	// Self is the ID of the local router.
	Self    string
	Routers []Router
	Engines []Engine
	// Pools are the names of the pools whose load is aggregated.
	Pools []string
	// Shards and Relays default to DefaultShards and DefaultRelays.
	Shards, Relays int
}

// Kind says what a Change assigns to a router: an engine, a shard of the claim log or a role.
type Kind uint8

// Engines and shards each have one owner. Relay and aggregator are roles of routers in an
// availability zone.
const (
	// KindEngine is a model engine. Its owner decides on the admission of requests.
	KindEngine Kind = iota
	// KindShard is a shard of the claim log.
	KindShard
	// KindRelay is the role of watching the object API for an availability zone.
	KindRelay
	// KindAggregator is the role of summing up the load of a pool in an availability zone.
	KindAggregator
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case KindEngine:
		return "engine"
	case KindShard:
		return "shard"
	case KindRelay:
		return "relay"
	case KindAggregator:
		return "aggregator"
	default:
		return "kind " + strconv.Itoa(int(k))
	}
}

// Change is a difference between two snapshots.
type Change struct {
	Kind Kind
	// Name is the ID of an engine, the number of a shard, the availability zone of relays, or the
	// pool and the availability zone of an aggregator, separated by a space.
	Name string
	// From and To are the IDs of the old and the new router, empty if there is none. For relays,
	// each holds the IDs of all relays of the zone, separated by spaces.
	From, To string
}

// Snapshot is an immutable assignment of engines, shards and roles to routers.
type Snapshot struct {
	// Self is the ID of the router that computed the snapshot.
	Self string
	// Trusted is false while the router must not act as owner: after a pause of its process until
	// its membership is up to date again, and while it may be isolated.
	Trusted bool

	engines     map[string]string
	shards      []string
	relays      map[string][]string
	aggregators map[string]string
	zones       []string
	zone        string
}

// Compute returns the assignment of engines, shards and roles to the given routers. Trusted is
// false in the returned snapshot; WithTrust sets it.
func Compute(in Input) *Snapshot {
	if in.Shards == 0 {
		in.Shards = DefaultShards
	}
	if in.Relays == 0 {
		in.Relays = DefaultRelays
	}
	c := newCandidates(in.Routers)
	s := &Snapshot{
		Self:        in.Self,
		engines:     make(map[string]string, len(in.Engines)),
		shards:      make([]string, in.Shards),
		relays:      make(map[string][]string, len(c.zones)),
		aggregators: make(map[string]string, len(c.zones)*len(in.Pools)),
		zones:       c.zones,
	}
	for _, r := range in.Routers {
		if r.ID == in.Self {
			s.zone = r.Zone
		}
	}
	for _, e := range in.Engines {
		s.engines[e.ID] = best(c.near(e.Zone, e.Region), hashKey("engine", e.ID))
	}
	for i := range s.shards {
		s.shards[i] = best(c.all, hashKey("shard", strconv.Itoa(i)))
	}
	for _, zone := range c.zones {
		s.relays[zone] = top(c.byZone[zone], hashKey("relay", zone), in.Relays)
		for _, pool := range in.Pools {
			s.aggregators[poolZone(pool, zone)] = best(c.byZone[zone], hashKey("aggregator", pool))
		}
	}
	return s
}

// WithTrust returns the snapshot with Trusted set to the given value.
func (s *Snapshot) WithTrust(trusted bool) *Snapshot {
	if s.Trusted == trusted {
		return s
	}
	snapshot := *s
	snapshot.Trusted = trusted
	return &snapshot
}

// EngineOwner returns the owner of an engine, or "" if there is none.
func (s *Snapshot) EngineOwner(id string) string { return s.engines[id] }

// OwnsEngine reports whether the local router owns an engine and the snapshot is trusted.
func (s *Snapshot) OwnsEngine(engine string) bool {
	return s.Trusted && s.Self != "" && s.engines[engine] == s.Self
}

// OwnedEngines returns the sorted IDs of the engines that the local router owns, none if the
// snapshot is not trusted.
func (s *Snapshot) OwnedEngines() []string {
	if !s.Trusted {
		return nil
	}
	var out []string
	for id, router := range s.engines {
		if router == s.Self {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ShardCount returns the number of claim shards.
func (s *Snapshot) ShardCount() int { return len(s.shards) }

// ShardOwner returns the owner of a claim shard.
func (s *Snapshot) ShardOwner(i int) string { return s.shards[i] }

// OwnsShard reports whether the local router owns a claim shard and the snapshot is trusted.
func (s *Snapshot) OwnsShard(i int) bool { return s.Trusted && s.Self != "" && s.shards[i] == s.Self }

// Relays returns the routers of an availability zone that watch the object API, highest score
// first.
func (s *Snapshot) Relays(zone string) []string { return slices.Clone(s.relays[zone]) }

// IsRelay reports whether the local router is a relay. It does not depend on Trusted, because an
// unnecessary watch does no harm.
func (s *Snapshot) IsRelay() bool { return slices.Contains(s.relays[s.zone], s.Self) }

// Zones returns the availability zones that have routers, sorted.
func (s *Snapshot) Zones() []string { return slices.Clone(s.zones) }

// Zone returns the availability zone of the local router.
func (s *Snapshot) Zone() string { return s.zone }

// Aggregator returns the router that sums up the load of a pool over the engine owners in an
// availability zone.
func (s *Snapshot) Aggregator(pool, zone string) string { return s.aggregators[poolZone(pool, zone)] }

// Changes returns the differences between two snapshots in a fixed order. Either may be nil.
func Changes(from, to *Snapshot) []Change {
	if from == nil {
		from = &Snapshot{}
	}
	if to == nil {
		to = &Snapshot{}
	}
	out := diffAssignments(KindEngine, from.engines, to.engines)
	out = append(out, diffAssignments(KindShard, shardsByNumber(from.shards), shardsByNumber(to.shards))...)
	out = append(out, diffAssignments(KindRelay, joinRelays(from.relays), joinRelays(to.relays))...)
	return append(out, diffAssignments(KindAggregator, from.aggregators, to.aggregators)...)
}

func diffAssignments(kind Kind, from, to map[string]string) []Change {
	var out []Change
	for name, router := range to {
		if from[name] != router {
			out = append(out, Change{kind, name, from[name], router})
		}
	}
	for name, router := range from {
		if _, ok := to[name]; !ok && router != "" {
			out = append(out, Change{kind, name, router, ""})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func shardsByNumber(shards []string) map[string]string {
	out := make(map[string]string, len(shards))
	for i, router := range shards {
		out[strconv.Itoa(i)] = router
	}
	return out
}

func joinRelays(relays map[string][]string) map[string]string {
	out := make(map[string]string, len(relays))
	for zone, ids := range relays {
		out[zone] = strings.Join(ids, " ")
	}
	return out
}

// poolZone returns the key of an aggregator.
func poolZone(pool, zone string) string { return pool + " " + zone }

// candidate is a router with the hash of its ID.
type candidate struct {
	Router
	hash uint64
}

type candidates struct {
	all      []candidate
	byZone   map[string][]candidate
	byRegion map[string][]candidate
	zones    []string
}

func newCandidates(routers []Router) candidates {
	c := candidates{byZone: map[string][]candidate{}, byRegion: map[string][]candidate{}}
	for _, r := range routers {
		if r.Weight == 0 {
			r.Weight = 1
		}
		added := candidate{r, xxhash.Sum64String(r.ID)}
		c.all = append(c.all, added)
		if _, ok := c.byZone[r.Zone]; !ok {
			c.zones = append(c.zones, r.Zone)
		}
		c.byZone[r.Zone] = append(c.byZone[r.Zone], added)
		c.byRegion[r.Region] = append(c.byRegion[r.Region], added)
	}
	slices.Sort(c.zones)
	return c
}

// near returns the routers in an availability zone, or those in its region if the zone has none, or
// else all routers. An owner in the engine's zone keeps most admission requests within that zone.
func (c candidates) near(zone, region string) []candidate {
	if in := c.byZone[zone]; len(in) > 0 {
		return in
	}
	if in := c.byRegion[region]; len(in) > 0 {
		return in
	}
	return c.all
}

func hashKey(kind, name string) uint64 { return xxhash.Sum64String(kind + " " + name) }

// score returns the weighted rendezvous hash -weight / ln(u), where u is uniform in (0, 1).
func (c candidate) score(key uint64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], c.hash)
	binary.LittleEndian.PutUint64(buf[8:], key)
	u := (float64(xxhash.Sum64(buf[:])>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// best returns the ID with the highest score. Of equal scores, the lower ID wins.
func best(in []candidate, key uint64) string {
	id, highest := "", 0.0
	for _, c := range in {
		if s := c.score(key); s > highest || (s == highest && c.ID < id) {
			id, highest = c.ID, s
		}
	}
	return id
}

// top returns the IDs with the n highest scores, highest first.
func top(in []candidate, key uint64, n int) []string {
	type scored struct {
		id    string
		score float64
	}
	all := make([]scored, 0, len(in))
	for _, c := range in {
		all = append(all, scored{c.ID, c.score(key)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id)) })
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}
	return out
}
