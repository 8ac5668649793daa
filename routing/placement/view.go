package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of what a router knows of the engines. The zero value knows none.
type View struct {
	// engines are sorted by ID and never modified.
	engines []Engine
	// status belongs to the engine at the same position.
	status []Status
	index  map[string]int32
	sets   map[pair]*set
}

type pair struct{ model, adapter string }

// NewView returns a view of the engines. Of engines with equal IDs, the last counts.
func NewView(engines []Engine) View { return View{}.WithEngines(engines) }

// WithEngines returns a view of other engines, with the known status of those that remain.
func (v View) WithEngines(engines []Engine) View {
	byID := make(map[string]Engine, len(engines))
	for _, e := range engines {
		byID[e.ID] = e
	}
	next := View{index: make(map[string]int32, len(byID))}
	for _, e := range byID {
		e.Weight = roundWeight(e.Weight)
		next.engines = append(next.engines, e)
	}
	slices.SortFunc(next.engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	next.status = make([]Status, len(next.engines))
	for i, e := range next.engines {
		next.index[e.ID] = int32(i)
		if old, ok := v.index[e.ID]; ok {
			next.status[i] = v.status[old]
		}
	}
	next.buildSets()
	return next
}

// WithState returns a view in which one engine has another state. An unknown engine changes nothing.
func (v View) WithState(id string, s State) View {
	i, ok := v.index[id]
	if !ok || v.engines[i].State == s {
		return v
	}
	engines := slices.Clone(v.engines)
	engines[i].State = s
	return v.WithEngines(engines)
}

// WithStatus returns a view with a newer status of one engine. An unknown engine changes nothing.
func (v View) WithStatus(id string, s Status) View {
	return v.WithStatuses(map[string]Status{id: s})
}

// WithStatuses returns a view with the newer status of several engines by ID, for one copy instead of many.
func (v View) WithStatuses(status map[string]Status) View {
	next := v
	next.status = slices.Clone(v.status)
	for id, s := range status {
		if i, ok := v.index[id]; ok {
			next.status[i] = s
		}
	}
	return next
}

// Engines returns the engines in the order of their IDs. The caller must not modify them.
func (v View) Engines() []Engine { return v.engines }

// Engine returns the engine with an ID.
func (v View) Engine(id string) (Engine, bool) {
	i, ok := v.index[id]
	if !ok {
		return Engine{}, false
	}
	return v.engines[i], true
}

// Status returns the last known status of an engine.
func (v View) Status(id string) Status {
	i, ok := v.index[id]
	if !ok {
		return Status{}
	}
	return v.status[i]
}

// Homes returns the home and the second home for a key of function Key; empty where there is none.
func (v View) Homes(model, adapter string, key uint64) (home, second string) {
	s := v.candidates(model, adapter)
	if s == nil {
		return "", ""
	}
	a, b := top(s.groups, key)
	return v.id(a.index), v.id(b.index)
}

// Chain appends up to n engines in the order in which the request spills over, first the home.
func (v View) Chain(dst []string, r Request, n int) []string {
	s := v.candidates(r.Model, r.Adapter)
	if s == nil {
		return dst
	}
	key := Key(r.Model, r.Adapter, r.Chat)
	all := make([]ranked, 0, s.size)
	for i := range s.groups {
		g := &s.groups[i]
		for at := range g.seeds {
			all = append(all, g.rank(key, at))
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.score < b.score || a.score == b.score && a.index < b.index {
			return -1
		}
		return 1
	})
	for _, c := range all[:min(n, len(all))] {
		dst = append(dst, v.engines[c.index].ID)
	}
	return dst
}

// firstTaking is the first engine in the order of Chain that takes work, for chats whose home and second home do not. It
// allocates, which only matters while several engines are out of service.
func (v View) firstTaking(r Request) int32 {
	for _, id := range v.Chain(nil, r, len(v.engines)) {
		if i := v.index[id]; v.takes(i) {
			return i
		}
	}
	return none
}

func (v View) id(i int32) string {
	if i == none {
		return ""
	}
	return v.engines[i].ID
}

// roundWeight keeps the number of distinct weights small, because placement computes logarithms for each of them.
func roundWeight(w float64) float64 {
	const step = 0.05
	if !(w > 0) || math.IsInf(w, 1) {
		return 1
	}
	return max(step, math.Round(w/step)*step)
}

// candidates falls back from the adapter to the model's engines, because an engine can load an adapter on demand, and
// from an unlisted model to the engines that serve every model. It returns nil if there are none.
func (v View) candidates(model, adapter string) *set {
	for _, p := range [...]pair{{model, adapter}, {model, ""}, {"", adapter}, {}} {
		if s := v.sets[p]; s != nil && s.size > 0 {
			return s
		}
	}
	return nil
}

func (v *View) buildSets() {
	v.sets = map[pair]*set{}
	models := []string{""}
	adapters := []string{""}
	for _, e := range v.engines {
		models = append(models, e.Models...)
		adapters = append(adapters, e.Adapters...)
	}
	slices.Sort(models)
	slices.Sort(adapters)
	for _, m := range slices.Compact(models) {
		for _, a := range slices.Compact(adapters) {
			if s := v.buildSet(pair{m, a}); s != nil {
				v.sets[pair{m, a}] = s
			}
		}
	}
}

func (v *View) buildSet(p pair) *set {
	s := &set{}
	for i, e := range v.engines {
		if e.State == Gone || !serves(e, p) {
			continue
		}
		seed := mix(xxhash.Sum64String(e.ID))
		if e.State == Leaving {
			s.leaving = add(s.leaving, e.Weight, seed, int32(i))
			continue
		}
		s.groups = add(s.groups, e.Weight, seed, int32(i))
		s.size++
	}
	if s.size == 0 && len(s.leaving) == 0 {
		return nil
	}
	return s
}

func serves(e Engine, p pair) bool {
	if len(e.Models) > 0 && !slices.Contains(e.Models, p.model) {
		return false
	}
	return p.adapter == "" || slices.Contains(e.Adapters, p.adapter)
}

func add(groups []group, weight float64, seed uint64, index int32) []group {
	for i := range groups {
		if groups[i].weight == weight {
			groups[i].seeds = append(groups[i].seeds, seed)
			groups[i].index = append(groups[i].index, index)
			return groups
		}
	}
	return append(groups, group{weight: weight, seeds: []uint64{seed}, index: []int32{index}})
}
