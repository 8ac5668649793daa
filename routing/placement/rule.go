package placement

import "time"

// Settings of the placement rule. All durations are in wall time of the engines.
type Settings struct {
	// Prefill is the time that an engine needs for one prompt token that is not in its cache.
	Prefill time.Duration
	// Transfer is the time to export and import the KV cache of one token; TransferBase is added for each move.
	// Transfer 0 means that no KV cache is moved.
	Transfer, TransferBase time.Duration
	// Margin is how much cheaper another engine has to be before a chat with context leaves its engine. It keeps chats
	// from moving back and forth when waits are nearly equal.
	Margin time.Duration
	// Retention is the idle time after which a context counts as evicted if the engine has not told of any eviction.
	Retention time.Duration
}

// Defaults returns the settings for engines of the size in the design page: a prompt of 1,000 tokens takes 0.1 s, and
// moving its KV cache takes 25 ms.
func Defaults() Settings {
	return Settings{
		Prefill:      100 * time.Microsecond,
		Transfer:     20 * time.Microsecond,
		TransferBase: 5 * time.Millisecond,
		Margin:       20 * time.Millisecond,
		Retention:    12 * time.Hour,
	}
}

// Rule is the project's placement: weighted rendezvous hashing with spills when the wait costs more than the miss.
type Rule struct {
	Settings Settings
}

var _ Placer = Rule{}

// New returns the placement rule.
func New(s Settings) Rule { return Rule{Settings: s} }

// Place returns where the request goes. It does not allocate.
func (p Rule) Place(now time.Time, r Request, v View) Decision {
	s := v.candidates(r.Model, r.Adapter)
	if s == nil {
		return Decision{Reason: NoEngine}
	}
	key := Key(r.Model, r.Adapter, r.Chat)
	first, second := top(s.groups, key)
	d := Decision{Home: v.id(first.index), Second: v.id(second.index)}
	at, reason := first.index, AtHome
	source := p.source(now, r, v, s, key, first, second)
	if source != none && source != first.index && r.Held != "" && v.takes(source) {
		at, reason = source, AtHeld
	}
	if !v.busy(at) {
		return p.finish(d, r, v, at, reason, source)
	}
	return p.spill(d, r, v, at, second.index, source)
}

// source returns the engine that holds the chat's context, or none for a chat without context.
func (p Rule) source(now time.Time, r Request, v View, s *set, key uint64, first, second ranked) int32 {
	if r.Context == 0 {
		return none
	}
	at := first.index
	switch held, ok := v.index[r.Held]; {
	case ok && v.engines[held].State != Gone && serves(v.engines[held], pair{model: r.Model}):
		at = held
	case len(s.leaving) > 0:
		// The home before the departure is the better of the best leaving engine and the present home.
		if old, _ := top(s.leaving, key); old.score < first.score {
			at = old.index
		}
	case v.engines[at].State == Joining && second.index != none:
		at = second.index
	}
	if p.evicted(now, r, v.status[at]) {
		return none
	}
	return at
}

// evicted is true if the chat has been idle for so long that its context is surely gone.
func (p Rule) evicted(now time.Time, r Request, s Status) bool {
	if r.Last.IsZero() {
		return false
	}
	if !s.Evicted.IsZero() {
		return r.Last.Before(s.Evicted)
	}
	return now.Sub(r.Last) > p.Settings.Retention
}

// spill chooses between the preferred engine and the alternatives by the wait plus the cost of the miss.
func (p Rule) spill(d Decision, r Request, v View, at, second, source int32) Decision {
	best, reason := at, AtHome
	if at == source && v.id(at) != d.Home {
		reason = AtHeld
	}
	limit := p.cost(r, v, at, source) - p.Settings.Margin
	if source == none {
		limit = p.cost(r, v, at, source)
	}
	blocked := !v.takes(at)
	home := v.index[d.Home]
	prefix := none
	if source == none && r.Prefix != "" {
		prefix = p.prefixHome(r, v)
	}
	for _, alt := range [...]int32{prefix, home, second} {
		if alt == none || alt == at || !v.takes(alt) {
			continue
		}
		c := p.cost(r, v, alt, source)
		if alt == prefix {
			c -= time.Duration(r.PrefixTokens) * p.Settings.Prefill
		}
		if !blocked && c >= limit {
			continue
		}
		best, limit = alt, c
		switch {
		case blocked || reason == Avoided:
			reason = Avoided
		case alt == prefix:
			reason = AtPrefix
		default:
			reason = Spilled
		}
		blocked = false
	}
	if blocked {
		if next := v.firstTaking(r); next != none {
			return p.finish(d, r, v, next, Avoided, source)
		}
		return Decision{Home: d.Home, Second: d.Second, Reason: NoEngine}
	}
	return p.finish(d, r, v, best, reason, source)
}

// prefixHome is the engine that new chats with the same shared prefix spill to, so that the prefix is computed once.
func (p Rule) prefixHome(r Request, v View) int32 {
	s := v.candidates(r.Model, r.Adapter)
	first, _ := top(s.groups, Key(r.Model, r.Adapter, r.Prefix))
	return first.index
}

// cost is the expected time until the first token, as far as it depends on the engine.
func (p Rule) cost(r Request, v View, at, source int32) time.Duration {
	c := v.status[at].Wait
	if source == none || source == at {
		return c
	}
	return c + min(p.miss(r), p.moveCost(r, p.miss(r)))
}

// moveCost is the time to move the context, or miss if KV cache is not moved.
func (p Rule) moveCost(r Request, miss time.Duration) time.Duration {
	if p.Settings.Transfer <= 0 {
		return miss
	}
	return p.Settings.TransferBase + time.Duration(r.Context)*p.Settings.Transfer
}

func (p Rule) finish(d Decision, r Request, v View, at int32, reason Reason, source int32) Decision {
	d.Engine, d.Reason = v.id(at), reason
	if source == none || p.moveCost(r, p.miss(r)) >= p.miss(r) {
		return d
	}
	for _, id := range [...]string{v.id(source), d.Home, d.Second} {
		i, ok := v.index[id]
		if !ok || i == at || id == d.From || v.engines[i].State == Suspect {
			continue
		}
		if d.From == "" {
			if source == at {
				return d
			}
			d.From = id
			continue
		}
		d.Else = id
		return d
	}
	return d
}

func (p Rule) miss(r Request) time.Duration { return time.Duration(r.Context) * p.Settings.Prefill }

// takes is true if the engine takes new work.
func (v View) takes(i int32) bool {
	s := v.engines[i].State
	return s == InService || s == Joining
}

// busy is true if a request at the engine would wait, or if it takes no work.
func (v View) busy(i int32) bool {
	return !v.takes(i) || v.status[i].Full || v.status[i].Wait > 0
}
