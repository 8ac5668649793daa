// Package adapters plans which adapter versions each engine loads and unloads.
package adapters

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Adapter is a wanted adapter version with its demand. Model weights that engines load at run time
// can be planned in the same way.
type Adapter struct {
	Name, Version string
	// Size is the adapter's size in bytes, both in engine memory and in the transfer from the
	// weight store.
	Size int64
	// Demand is the request rate in requests per second.
	Demand float64
}

// Loaded is an adapter version that an engine has loaded or is loading.
type Loaded struct {
	Name, Version string
	Size          int64
	// Ready is false while the engine is still loading the adapter.
	Ready bool
}

// Engine is the state of an engine that the planner uses.
type Engine struct {
	ID string
	// Memory is the capacity for adapters in bytes.
	Memory int64
	Loaded []Loaded
	// InService is false for engines that are out of service; they get no orders and their adapters
	// do not count as replicas.
	InService bool
}

// Kind says what an order requests from an engine.
type Kind string

// Updating an adapter on one engine takes one order of each kind. The new version is loaded first
// if the engine's memory has room for both versions.
const (
	// Load requests that the engine fetches the adapter version from the weight store and loads it.
	Load Kind = "load"
	// Unload requests that the engine removes the adapter version from its memory.
	Unload Kind = "unload"
)

// Order tells one engine to load or unload one adapter version.
type Order struct {
	Kind          Kind
	Engine        string
	Name, Version string
	Size          int64
}

// Settings configures a planner.
type Settings struct {
	// Rate limits transfers from the weight store, in bytes per second, and Burst is the number of
	// bytes that may be fetched at once.
	Rate, Burst float64
	// MinReplicas is the minimum number of replicas of an adapter with demand, and the maximum that
	// an adapter without demand keeps.
	MinReplicas int
	// DemandPerReplica is the demand, in requests per second, that one replica of an adapter is
	// planned to serve.
	DemandPerReplica float64
	// MinUpdateInterval is the minimum time between two engines receiving a new version of an
	// adapter. The KV cache of the old version cannot be used for the new one, so the interval
	// limits how much of the fleet's cache is lost at once.
	MinUpdateInterval time.Duration
	// ScaleDownRatio is the fraction of DemandPerReplica, such as 0.5, that the remaining replicas
	// may each get at most when one is removed. A lower fraction keeps replicas longer when the
	// demand falls.
	ScaleDownRatio float64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Rate: 500e6, Burst: 2e9, MinReplicas: 2, DemandPerReplica: 5, MinUpdateInterval: 30 * time.Second, ScaleDownRatio: 0.5}
}

// Planner computes load and unload orders from the demand for adapters. It is not safe for
// concurrent use.
type Planner struct {
	settings Settings
	// budget is the number of bytes that could be fetched at refilledAt, when it was last updated.
	// It is negative after the transfer of an adapter larger than Settings.Burst.
	budget     float64
	refilledAt time.Time
	// lastUpdate holds, by adapter name, when an engine last received a new version.
	lastUpdate map[string]time.Time
}

// New returns a planner that may transfer up to Settings.Burst bytes at once from the start.
func New(now time.Time, s Settings) *Planner {
	s.MinReplicas = max(1, s.MinReplicas)
	return &Planner{settings: s, budget: s.Burst, refilledAt: now, lastUpdate: map[string]time.Time{}}
}

// Plan returns the orders to send now. It never unloads the last ready replica of an adapter with
// demand, keeps transfers within the rate limit of the weight store, and never plans more adapters
// on an engine than fit in its memory.
func (p *Planner) Plan(now time.Time, want []Adapter, engines []Engine) []Order {
	p.budget = min(p.settings.Burst, p.budget+p.settings.Rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	s := planState{planner: p, now: now, byID: map[string]*Engine{}}
	for _, e := range engines {
		e.Loaded = slices.Clone(e.Loaded)
		if e.InService {
			s.byID[e.ID] = &e
			s.ids = append(s.ids, e.ID)
		}
	}
	slices.Sort(s.ids)
	sorted := slices.Clone(want)
	slices.SortFunc(sorted, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), strings.Compare(a.Name, b.Name))
	})
	s.unloadUnwanted(sorted)
	for _, a := range sorted {
		s.planAdapter(a)
	}
	return s.orders
}

// planState is the state of one call of Plan. Its engines are in the state that results from the
// orders.
type planState struct {
	planner *Planner
	now     time.Time
	ids     []string
	byID    map[string]*Engine
	orders  []Order
}

// replicas returns the IDs of the engines that have the given version of the adapter ("" for any),
// in ascending order. If readyOnly is set, engines that are still loading it are left out.
func (s *planState) replicas(name, version string, readyOnly bool) []string {
	var ids []string
	for _, id := range s.ids {
		if slices.ContainsFunc(s.byID[id].Loaded, func(l Loaded) bool {
			return l.Name == name && (version == "" || l.Version == version) && (l.Ready || !readyOnly)
		}) {
			ids = append(ids, id)
		}
	}
	return ids
}

// unloadUnwanted unloads all versions of the adapters that are not in want.
func (s *planState) unloadUnwanted(want []Adapter) {
	for _, id := range s.ids {
		for _, l := range slices.Clone(s.byID[id].Loaded) {
			if !slices.ContainsFunc(want, func(a Adapter) bool { return a.Name == l.Name }) {
				s.unload(id, l)
			}
		}
	}
}

// planAdapter adds the orders for one adapter: it replaces outdated versions, or else adjusts the
// number of replicas.
func (s *planState) planAdapter(a Adapter) {
	current := s.replicas(a.Name, a.Version, false)
	for _, id := range current {
		s.unloadOldVersions(a, id)
	}
	old := s.outdated(a)
	target := s.target(a, len(current)+len(old))
	if len(old) > 0 {
		s.rollOut(a, current, old, target)
		return
	}
	for n := len(current); n < target; n++ {
		if !s.addReplica(a) {
			return
		}
	}
	ready := s.replicas(a.Name, a.Version, true)
	for n := len(current); n > target && len(ready) > 1; n-- {
		last := ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		s.unload(last, Loaded{Name: a.Name, Version: a.Version, Size: a.Size})
	}
}

// outdated returns the engines that have the adapter, but not in the wanted version.
func (s *planState) outdated(a Adapter) []string {
	return slices.DeleteFunc(s.replicas(a.Name, "", false), func(id string) bool {
		return slices.ContainsFunc(s.byID[id].Loaded, func(l Loaded) bool { return l.Name == a.Name && l.Version == a.Version })
	})
}

// target returns the wanted number of replicas of an adapter that has the given number now. A
// replica is only removed once the demand is well below what the remaining ones can serve, so that
// small changes of the demand do not load and unload adapters repeatedly.
func (s *planState) target(a Adapter, replicas int) int {
	settings := s.planner.settings
	if a.Demand <= 0 {
		return min(replicas, settings.MinReplicas)
	}
	need := func(perReplica float64) int {
		n := int(a.Demand / perReplica)
		if float64(n)*perReplica < a.Demand {
			n++
		}
		return min(max(settings.MinReplicas, n), len(s.ids))
	}
	lower, upper := need(settings.DemandPerReplica), need(settings.DemandPerReplica*settings.ScaleDownRatio)
	return min(max(replicas, lower), max(upper, lower))
}

// rollOut replaces the old version on one engine at a time. If the engine's memory has room for
// both, the old version stays loaded until the new one is ready. Otherwise it is unloaded first,
// but only while another engine has a version of the adapter ready; if none has, the new version is
// loaded on another engine. A replica in excess of the target is unloaded instead of replaced.
func (s *planState) rollOut(a Adapter, current, old []string, target int) {
	loading := len(current) - len(s.replicas(a.Name, a.Version, true))
	last, updated := s.planner.lastUpdate[a.Name]
	if loading > 0 || updated && s.now.Sub(last) < s.planner.settings.MinUpdateInterval {
		return
	}
	id := old[0]
	if len(current)+len(old) > target && len(current) > 0 {
		s.unloadAllVersions(a, id)
		return
	}
	e := s.byID[id]
	if !s.affordable(a) {
		return
	}
	if freeMemory(e) < a.Size {
		others := slices.DeleteFunc(s.replicas(a.Name, "", true), func(o string) bool { return o == id })
		if len(others) == 0 {
			if s.addReplica(a) {
				s.planner.lastUpdate[a.Name] = s.now
			}
			return
		}
		s.unloadAllVersions(a, id)
	}
	if freeMemory(e) >= a.Size {
		s.load(a, id)
		s.planner.lastUpdate[a.Name] = s.now
	}
}

// unloadOldVersions unloads the other versions of the adapter from an engine once the wanted
// version is ready there.
func (s *planState) unloadOldVersions(a Adapter, id string) {
	e := s.byID[id]
	if !slices.ContainsFunc(e.Loaded, func(l Loaded) bool { return l.Name == a.Name && l.Version == a.Version && l.Ready }) {
		return
	}
	for _, l := range slices.Clone(e.Loaded) {
		if l.Name == a.Name && l.Version != a.Version {
			s.unload(id, l)
		}
	}
}

// unloadAllVersions unloads every version of the adapter from an engine.
func (s *planState) unloadAllVersions(a Adapter, id string) {
	for _, l := range slices.Clone(s.byID[id].Loaded) {
		if l.Name == a.Name {
			s.unload(id, l)
		}
	}
}

// addReplica loads the adapter on the engine with the most free memory among those that do not have
// it. Ties go to the lowest ID. It returns false if the transfer budget is too low or no engine has
// enough memory.
func (s *planState) addReplica(a Adapter) bool {
	if !s.affordable(a) {
		return false
	}
	best := ""
	for _, id := range s.ids {
		e := s.byID[id]
		has := slices.ContainsFunc(e.Loaded, func(l Loaded) bool { return l.Name == a.Name })
		if has || freeMemory(e) < a.Size {
			continue
		}
		if best == "" || freeMemory(e) > freeMemory(s.byID[best]) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	s.load(a, best)
	return true
}

// affordable reports whether the transfer budget covers the adapter. An adapter larger than the
// burst needs a full budget.
func (s *planState) affordable(a Adapter) bool {
	return s.planner.budget >= min(float64(a.Size), s.planner.settings.Burst)
}

func (s *planState) load(a Adapter, id string) {
	s.planner.budget -= float64(a.Size)
	e := s.byID[id]
	e.Loaded = append(e.Loaded, Loaded{Name: a.Name, Version: a.Version, Size: a.Size})
	s.orders = append(s.orders, Order{Kind: Load, Engine: id, Name: a.Name, Version: a.Version, Size: a.Size})
}

func (s *planState) unload(id string, l Loaded) {
	e := s.byID[id]
	e.Loaded = slices.DeleteFunc(e.Loaded, func(o Loaded) bool { return o.Name == l.Name && o.Version == l.Version })
	s.orders = append(s.orders, Order{Kind: Unload, Engine: id, Name: l.Name, Version: l.Version, Size: l.Size})
}

func freeMemory(e *Engine) int64 {
	n := e.Memory
	for _, l := range e.Loaded {
		n -= l.Size
	}
	return n
}
