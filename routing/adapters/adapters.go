// Package adapters decides which adapters and versions to load on which engines.
package adapters

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Adapter is an adapter in the version that should be served.
type Adapter struct {
	Name, Version string
	// Size in bytes, of the memory it takes and of the transfer from the weight store.
	Size int64
	// Demand in requests per second.
	Demand float64
}

// Loaded is a version of an adapter on an engine.
type Loaded struct {
	Name, Version string
	Size          int64
	// Ready is false while the engine still loads it.
	Ready bool
}

// Engine is what the plan needs to know of an engine.
type Engine struct {
	ID string
	// Memory for adapters in bytes.
	Memory int64
	Loaded []Loaded
	// Fit is false for engines that are not in service; they get no orders and do not count as serving.
	Fit bool
}

// Kind is the type of an order.
type Kind string

// The kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Order is one change of one engine.
type Order struct {
	Kind          Kind
	Engine        string
	Name, Version string
	Size          int64
}

// Settings of a planner.
type Settings struct {
	// Rate of the weight store in bytes per second, and Burst the bytes that may be fetched at once.
	Rate, Burst float64
	// Replicas is the least number of engines for an adapter with demand.
	Replicas int
	// PerEngine is the demand in requests per second that one engine with the adapter is meant to take.
	PerEngine float64
	// Settle is the time after an engine has got a new version before the next one does. An engine's cache is of no use for
	// the new version, so this bounds the share of the cache that is lost at once.
	Settle time.Duration
	// Spare is how much lower the demand must be before a replica is dropped, such as 0.5 for half.
	Spare float64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Rate: 500e6, Burst: 2e9, Replicas: 2, PerEngine: 5, Settle: 30 * time.Second, Spare: 0.5}
}

// Planner turns demand into orders. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	tokens   float64
	at       time.Time
	// rolled is when the latest engine got a new version of each adapter.
	rolled map[string]time.Time
}

// New returns a planner whose transfer budget is full.
func New(now time.Time, s Settings) *Planner {
	s.Replicas = max(1, s.Replicas)
	return &Planner{settings: s, tokens: s.Burst, at: now, rolled: map[string]time.Time{}}
}

// Plan returns the orders to give now. It never unloads the last ready copy of an adapter with demand, fetches no more
// than the weight store's rate, and gives no engine more than its memory.
func (p *Planner) Plan(now time.Time, want []Adapter, engines []Engine) []Order {
	p.tokens = min(p.settings.Burst, p.tokens+p.settings.Rate*now.Sub(p.at).Seconds())
	p.at = now
	s := state{planner: p, now: now, byID: map[string]*Engine{}}
	for _, e := range engines {
		e.Loaded = slices.Clone(e.Loaded)
		if e.Fit {
			s.byID[e.ID] = &e
			s.ids = append(s.ids, e.ID)
		}
	}
	slices.Sort(s.ids)
	sorted := slices.Clone(want)
	slices.SortFunc(sorted, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), strings.Compare(a.Name, b.Name))
	})
	s.removeUnknown(sorted)
	for _, a := range sorted {
		s.adapter(a)
	}
	return s.orders
}

type state struct {
	planner *Planner
	now     time.Time
	ids     []string
	byID    map[string]*Engine
	orders  []Order
}

// copies returns the engines that have the adapter in a version ("" for any), in the order of their IDs.
func (s *state) copies(name, version string, ready bool) []string {
	var ids []string
	for _, id := range s.ids {
		if slices.ContainsFunc(s.byID[id].Loaded, func(l Loaded) bool {
			return l.Name == name && (version == "" || l.Version == version) && (l.Ready || !ready)
		}) {
			ids = append(ids, id)
		}
	}
	return ids
}

// removeUnknown unloads adapters that are no longer wanted.
func (s *state) removeUnknown(want []Adapter) {
	for _, id := range s.ids {
		for _, l := range slices.Clone(s.byID[id].Loaded) {
			if !slices.ContainsFunc(want, func(a Adapter) bool { return a.Name == l.Name }) {
				s.unload(id, l)
			}
		}
	}
}

func (s *state) adapter(a Adapter) {
	current := s.copies(a.Name, a.Version, false)
	for _, id := range current {
		s.dropOld(a, id)
	}
	old := s.outdated(a)
	target := s.target(a, len(current)+len(old))
	if len(old) > 0 {
		s.rollOut(a, current, old, target)
		return
	}
	for n := len(current); n < target; n++ {
		if !s.add(a) {
			return
		}
	}
	ready := s.copies(a.Name, a.Version, true)
	for n := len(current); n > target && len(ready) > 1; n-- {
		last := ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		s.unload(last, Loaded{Name: a.Name, Version: a.Version, Size: a.Size})
	}
}

// outdated returns the engines that have only another version of the adapter.
func (s *state) outdated(a Adapter) []string {
	return slices.DeleteFunc(s.copies(a.Name, "", false), func(id string) bool {
		return slices.ContainsFunc(s.byID[id].Loaded, func(l Loaded) bool { return l.Name == a.Name && l.Version == a.Version })
	})
}

// target is the number of copies for the demand. A copy is dropped only when the demand is well below what the others take.
func (s *state) target(a Adapter, have int) int {
	set := s.planner.settings
	if a.Demand <= 0 {
		return min(have, set.Replicas)
	}
	need := func(perEngine float64) int {
		n := int(a.Demand / perEngine)
		if float64(n)*perEngine < a.Demand {
			n++
		}
		return min(max(set.Replicas, n), len(s.ids))
	}
	least, most := need(set.PerEngine), need(set.PerEngine*set.Spare)
	return min(max(have, least), max(most, least))
}

// rollOut brings the new version to one engine after the other. Where memory allows, the old version stays until the new
// one is ready; else another engine must be ready with either version.
func (s *state) rollOut(a Adapter, current, old []string, target int) {
	loading := len(current) - len(s.copies(a.Name, a.Version, true))
	last, ever := s.planner.rolled[a.Name]
	if loading > 0 || ever && s.now.Sub(last) < s.planner.settings.Settle {
		return
	}
	id := old[0]
	if len(current)+len(old) > target && len(current) > 0 {
		s.dropAll(a, id)
		return
	}
	e := s.byID[id]
	if !s.affordable(a) {
		return
	}
	if free(e) < a.Size {
		others := slices.DeleteFunc(s.copies(a.Name, "", true), func(o string) bool { return o == id })
		if len(others) == 0 {
			if s.add(a) {
				s.planner.rolled[a.Name] = s.now
			}
			return
		}
		s.dropAll(a, id)
	}
	if free(e) >= a.Size {
		s.load(a, id)
		s.planner.rolled[a.Name] = s.now
	}
}

// dropOld unloads other versions from an engine on which the new one is ready.
func (s *state) dropOld(a Adapter, id string) {
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

func (s *state) dropAll(a Adapter, id string) {
	for _, l := range slices.Clone(s.byID[id].Loaded) {
		if l.Name == a.Name {
			s.unload(id, l)
		}
	}
}

// add loads the adapter on the engine with the most free memory, the first of equals.
func (s *state) add(a Adapter) bool {
	if !s.affordable(a) {
		return false
	}
	best := ""
	for _, id := range s.ids {
		e := s.byID[id]
		has := slices.ContainsFunc(e.Loaded, func(l Loaded) bool { return l.Name == a.Name })
		if has || free(e) < a.Size {
			continue
		}
		if best == "" || free(e) > free(s.byID[best]) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	s.load(a, best)
	return true
}

// affordable is true if the weight store's budget covers the transfer. A size above the burst needs a full budget.
func (s *state) affordable(a Adapter) bool {
	return s.planner.tokens >= min(float64(a.Size), s.planner.settings.Burst)
}

func (s *state) load(a Adapter, id string) {
	s.planner.tokens -= float64(a.Size)
	e := s.byID[id]
	e.Loaded = append(e.Loaded, Loaded{Name: a.Name, Version: a.Version, Size: a.Size})
	s.orders = append(s.orders, Order{Kind: Load, Engine: id, Name: a.Name, Version: a.Version, Size: a.Size})
}

func (s *state) unload(id string, l Loaded) {
	e := s.byID[id]
	e.Loaded = slices.DeleteFunc(e.Loaded, func(o Loaded) bool { return o.Name == l.Name && o.Version == l.Version })
	s.orders = append(s.orders, Order{Kind: Unload, Engine: id, Name: l.Name, Version: l.Version, Size: l.Size})
}

func free(e *Engine) int64 {
	n := e.Memory
	for _, l := range e.Loaded {
		n -= l.Size
	}
	return n
}
