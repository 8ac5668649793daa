package placement

import "time"

// Settings configures the placement rule. All durations are wall-clock times; those of prefill and
// transfer are times on the engines.
type Settings struct {
	// PrefillPerToken is the time that an engine needs to process one prompt token that is not in
	// its KV cache.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to export and import the KV cache of one token. TransferBase is
	// the fixed time of each move. If TransferPerToken is 0, no KV cache is moved.
	TransferPerToken, TransferBase time.Duration
	// Margin is how much earlier the first token must be expected on another engine before a chat
	// leaves the engine that holds its context. It keeps chats from moving back and forth when the
	// waiting times are nearly equal.
	Margin time.Duration
	// Retention is the idle time after which a context counts as evicted if the engine has not
	// reported any eviction.
	Retention time.Duration
}

// Defaults returns the settings for an engine that processes a prompt of 1,000 tokens in 0.1 s and
// moves its KV cache in 25 ms.
func Defaults() Settings {
	return Settings{
		PrefillPerToken:  100 * time.Microsecond,
		TransferPerToken: 20 * time.Microsecond,
		TransferBase:     5 * time.Millisecond,
		Margin:           20 * time.Millisecond,
		Retention:        12 * time.Hour,
	}
}

// Rule places requests by weighted rendezvous hashing. A request spills over to another engine if
// waiting for the preferred one would take longer than a cache miss, or than moving the KV cache,
// on the other one.
type Rule struct {
	Settings Settings
}

var _ Placer = Rule{}

// New returns a placement rule with the given settings.
func New(s Settings) Rule { return Rule{Settings: s} }

// Place chooses the engine for a request. It does not allocate memory, except while the home and
// the second home of a chat both accept no work.
func (p Rule) Place(now time.Time, r Request, v View) Decision {
	s := v.candidates(r.Model, r.Adapter)
	if s == nil {
		return Decision{Reason: NoEngine}
	}
	key := Key(r.Model, r.Adapter, r.Chat)
	first, second := firstTwo(s.groups, key)
	d := Decision{Home: v.id(first.index), SecondHome: v.id(second.index)}
	preferred, reason := first.index, AtHome
	holder := p.contextHolder(now, r, v, s, key, first, second)
	if holder != noIndex && holder != first.index && r.Holder != "" && v.acceptsWork(holder) {
		preferred, reason = holder, AtHolder
	}
	if !v.busy(preferred) {
		return p.complete(d, r, v, preferred, reason, holder)
	}
	return p.spillOver(d, r, v, preferred, second.index, holder)
}

// contextHolder returns the position of the engine that should hold the chat's context, or noIndex
// if the chat has no context or it counts as evicted.
func (p Rule) contextHolder(now time.Time, r Request, v View, s *candidateSet, key uint64, first, second scoredEngine) int32 {
	if r.ContextTokens == 0 {
		return noIndex
	}
	holder := first.index
	switch known, ok := v.index[r.Holder]; {
	case ok && v.engines[known].State != Gone && serves(v.engines[known], modelAdapter{model: r.Model}):
		holder = known
	case len(s.leaving) > 0:
		// Before the leaving engines started to leave, the home was the engine with the lowest
		// score among them and the present candidates.
		if old, _ := firstTwo(s.leaving, key); old.score < first.score {
			holder = old.index
		}
	case v.engines[holder].State == Joining && second.index != noIndex:
		// Before the home joined, the present second home was the home.
		holder = second.index
	}
	if p.evicted(now, r, v.status[holder]) {
		return noIndex
	}
	return holder
}

// evicted reports whether the chat has been idle for so long that its context counts as evicted.
func (p Rule) evicted(now time.Time, r Request, s Status) bool {
	if r.Last.IsZero() {
		return false
	}
	if !s.EvictedBefore.IsZero() {
		return r.Last.Before(s.EvictedBefore)
	}
	return now.Sub(r.Last) > p.Settings.Retention
}

// spillOver chooses between the preferred engine, which is busy, and its alternatives by their
// costs. The alternatives are the home, the second home and, for a chat without context, the engine
// that should have its shared prefix in the cache. A preferred engine that accepts no work is
// replaced even by an alternative with a higher cost.
func (p Rule) spillOver(d Decision, r Request, v View, preferred, second, holder int32) Decision {
	best, reason := preferred, AtHome
	if preferred == holder && v.id(preferred) != d.Home {
		reason = AtHolder
	}
	maxCost := p.cost(r, v, preferred, holder) - p.Settings.Margin
	if holder == noIndex {
		maxCost = p.cost(r, v, preferred, holder)
	}
	// needReplacement is true until an engine is found that accepts work.
	needReplacement := !v.acceptsWork(preferred)
	home := v.index[d.Home]
	prefix := noIndex
	if holder == noIndex && r.Prefix != "" {
		prefix = p.prefixHome(r, v)
	}
	for _, alt := range [...]int32{prefix, home, second} {
		if alt == noIndex || alt == preferred || !v.acceptsWork(alt) {
			continue
		}
		cost := p.cost(r, v, alt, holder)
		if alt == prefix {
			cost -= time.Duration(r.PrefixTokens) * p.Settings.PrefillPerToken
		}
		if !needReplacement && cost >= maxCost {
			continue
		}
		best, maxCost = alt, cost
		switch {
		case needReplacement || reason == Avoided:
			reason = Avoided
		case alt == prefix:
			reason = AtPrefix
		default:
			reason = Spilled
		}
		needReplacement = false
	}
	if needReplacement {
		if next := v.firstAccepting(r); next != noIndex {
			return p.complete(d, r, v, next, Avoided, holder)
		}
		return Decision{Home: d.Home, SecondHome: d.SecondHome, Reason: NoEngine}
	}
	return p.complete(d, r, v, best, reason, holder)
}

// prefixHome returns the position of the engine that new chats with the same shared prefix spill
// over to, so that the prefix is computed only once.
func (p Rule) prefixHome(r Request, v View) int32 {
	s := v.candidates(r.Model, r.Adapter)
	first, _ := firstTwo(s.groups, Key(r.Model, r.Adapter, r.Prefix))
	return first.index
}

// cost returns the part of the expected time to first token that depends on the engine. This is the
// wait at the engine and, if another engine holds the context, the time to compute the context anew
// or to move its KV cache, whichever is shorter.
func (p Rule) cost(r Request, v View, engine, holder int32) time.Duration {
	wait := v.status[engine].Wait
	if holder == noIndex || holder == engine {
		return wait
	}
	return wait + min(p.missCost(r), p.moveCost(r, p.missCost(r)))
}

// moveCost returns the time to move the KV cache of the context, or miss if
// Settings.TransferPerToken disables moves.
func (p Rule) moveCost(r Request, miss time.Duration) time.Duration {
	if p.Settings.TransferPerToken <= 0 {
		return miss
	}
	return p.Settings.TransferBase + time.Duration(r.ContextTokens)*p.Settings.TransferPerToken
}

// complete returns d with the chosen engine, the reason and, if a move takes less time than a cache
// miss, the engines from which to import the KV cache.
func (p Rule) complete(d Decision, r Request, v View, engine int32, reason Reason, holder int32) Decision {
	d.Engine, d.Reason = v.id(engine), reason
	if holder == noIndex || p.moveCost(r, p.missCost(r)) >= p.missCost(r) {
		return d
	}
	for _, id := range [...]string{v.id(holder), d.Home, d.SecondHome} {
		i, ok := v.index[id]
		if !ok || i == engine || id == d.From || v.engines[i].State == Suspect {
			continue
		}
		if d.From == "" {
			if holder == engine {
				return d
			}
			d.From = id
			continue
		}
		d.FallbackFrom = id
		return d
	}
	return d
}

// missCost returns the time to compute the whole context anew after a cache miss.
func (p Rule) missCost(r Request) time.Duration {
	return time.Duration(r.ContextTokens) * p.Settings.PrefillPerToken
}

// acceptsWork reports whether the engine accepts new work.
func (v View) acceptsWork(engine int32) bool {
	s := v.engines[engine].State
	return s == InService || s == Joining
}

// busy reports whether a request would wait at the engine, or the engine accepts no work.
func (v View) busy(engine int32) bool {
	return !v.acceptsWork(engine) || v.status[engine].Full || v.status[engine].Wait > 0
}
