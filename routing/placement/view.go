package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the engines as known to a router. The zero value has no engines.
type View struct {
	// engines is sorted by ID and never modified.
	engines []Engine
	// status holds the status of the engine at the same position in engines.
	status []Status
	// index holds the position in engines by ID.
	index map[string]int32
	// candidateSets holds the candidates for each pair of a listed model and a listed adapter.
	// Either may also be "" (see modelAdapter).
	candidateSets map[modelAdapter]*candidateSet
}

// modelAdapter is a pair of a model and an adapter. An empty model stands for the models that no
// engine lists, and an empty adapter for no adapter.
type modelAdapter struct{ model, adapter string }

// NewView returns a view of the engines. If several engines have the same ID, the last one is used.
func NewView(engines []Engine) View { return View{}.WithEngines(engines) }

// WithEngines returns a view of the given engines that keeps the status of those that v contains
// too.
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
	next.buildCandidateSets()
	return next
}

// WithState returns a view in which one engine has the given state. An unknown ID is ignored.
func (v View) WithState(id string, s State) View {
	i, ok := v.index[id]
	if !ok || v.engines[i].State == s {
		return v
	}
	engines := slices.Clone(v.engines)
	engines[i].State = s
	return v.WithEngines(engines)
}

// WithStatus returns a view in which one engine has the given status. An unknown ID is ignored.
func (v View) WithStatus(id string, s Status) View {
	return v.WithStatuses(map[string]Status{id: s})
}

// WithStatuses returns a view with new statuses of several engines, by ID. It copies the view once,
// unlike repeated calls of WithStatus. Unknown IDs are ignored.
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

// Engines returns the engines sorted by ID. The caller must not modify them.
func (v View) Engines() []Engine { return v.engines }

// Engine returns the engine with the given ID and whether it exists.
func (v View) Engine(id string) (Engine, bool) {
	i, ok := v.index[id]
	if !ok {
		return Engine{}, false
	}
	return v.engines[i], true
}

// Status returns the last known status of an engine, or the zero value for an unknown ID.
func (v View) Status(id string) Status {
	i, ok := v.index[id]
	if !ok {
		return Status{}
	}
	return v.status[i]
}

// Homes returns the IDs of the home and the second home for a key from function Key; empty if there
// are fewer candidates.
func (v View) Homes(model, adapter string, key uint64) (home, second string) {
	s := v.candidates(model, adapter)
	if s == nil {
		return "", ""
	}
	best, next := firstTwo(s.groups, key)
	return v.id(best.index), v.id(next.index)
}

// PreferenceList appends to dst the IDs of up to n engines in rendezvous order: the home, the
// second home and so on. It includes Suspect engines.
func (v View) PreferenceList(dst []string, r Request, n int) []string {
	s := v.candidates(r.Model, r.Adapter)
	if s == nil {
		return dst
	}
	key := Key(r.Model, r.Adapter, r.Chat)
	scored := make([]scoredEngine, 0, s.size)
	for i := range s.groups {
		g := &s.groups[i]
		for position := range g.seeds {
			scored = append(scored, g.scored(key, position))
		}
	}
	slices.SortFunc(scored, func(a, b scoredEngine) int {
		if a.score < b.score || a.score == b.score && a.index < b.index {
			return -1
		}
		return 1
	})
	for _, c := range scored[:min(n, len(scored))] {
		dst = append(dst, v.engines[c.index].ID)
	}
	return dst
}

// firstAccepting returns the position of the first engine in the order of PreferenceList that
// accepts work, or noIndex. It is only called if neither the home nor the second home accepts work,
// so that its allocations only matter while several engines are out of service.
func (v View) firstAccepting(r Request) int32 {
	for _, id := range v.PreferenceList(nil, r, len(v.engines)) {
		if i := v.index[id]; v.acceptsWork(i) {
			return i
		}
	}
	return noIndex
}

// id returns the ID of the engine at a position, and "" for noIndex.
func (v View) id(i int32) string {
	if i == noIndex {
		return ""
	}
	return v.engines[i].ID
}

// roundWeight rounds a weight to a positive multiple of 0.05, and replaces a weight that is not
// positive or not finite by 1. Rounding keeps the number of distinct weights small, because
// placement computes logarithms for each of them.
func roundWeight(w float64) float64 {
	const step = 0.05
	if !(w > 0) || math.IsInf(w, 1) {
		return 1
	}
	return max(step, math.Round(w/step)*step)
}

// candidates returns the engines that can serve a model and an adapter, or nil if there are none.
// Leaving and Gone engines are not candidates. If no engine has the adapter loaded, it returns
// those that serve the model, because an engine can load an adapter on demand. For a model that no
// engine lists, it returns the engines that serve every model.
func (v View) candidates(model, adapter string) *candidateSet {
	for _, p := range [...]modelAdapter{{model, adapter}, {model, ""}, {"", adapter}, {}} {
		if s := v.candidateSets[p]; s != nil && s.size > 0 {
			return s
		}
	}
	return nil
}

// buildCandidateSets fills candidateSets from engines.
func (v *View) buildCandidateSets() {
	v.candidateSets = map[modelAdapter]*candidateSet{}
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
			if s := v.buildCandidateSet(modelAdapter{m, a}); s != nil {
				v.candidateSets[modelAdapter{m, a}] = s
			}
		}
	}
}

// buildCandidateSet returns the candidates for a model and an adapter, or nil if no engine serves
// them.
func (v *View) buildCandidateSet(p modelAdapter) *candidateSet {
	s := &candidateSet{}
	for i, e := range v.engines {
		if e.State == Gone || !serves(e, p) {
			continue
		}
		seed := mix(xxhash.Sum64String(e.ID))
		if e.State == Leaving {
			s.leaving = addEngine(s.leaving, e.Weight, seed, int32(i))
			continue
		}
		s.groups = addEngine(s.groups, e.Weight, seed, int32(i))
		s.size++
	}
	if s.size == 0 && len(s.leaving) == 0 {
		return nil
	}
	return s
}

// serves reports whether the engine serves the model and has the adapter loaded.
func serves(e Engine, p modelAdapter) bool {
	if len(e.Models) > 0 && !slices.Contains(e.Models, p.model) {
		return false
	}
	return p.adapter == "" || slices.Contains(e.Adapters, p.adapter)
}

// addEngine adds an engine to the group of its weight and creates the group if it is missing.
func addEngine(groups []weightGroup, weight float64, seed uint64, index int32) []weightGroup {
	for i := range groups {
		if groups[i].weight == weight {
			groups[i].seeds = append(groups[i].seeds, seed)
			groups[i].index = append(groups[i].index, index)
			return groups
		}
	}
	return append(groups, weightGroup{weight: weight, seeds: []uint64{seed}, index: []int32{index}})
}
