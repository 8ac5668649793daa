package lease

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/ports/objectapi"
)

// Holder holds the lease of one router. Set its fields before use.
type Holder struct {
	Store objectapi.Store
	// Router is the name of the record, and Boot is unique for each process.
	Router, Boot string
	// Term is the time for which one write holds; DefaultTerm if 0. It is the same on all routers.
	Term time.Duration
	// Gap is the longest pause between two beats that needs no renewal; DefaultGap if 0.
	Gap time.Duration
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time
	// Counters may be shared with other holders; nil for none.
	Counters *Counters

	// writing serializes the writes of the record.
	writing sync.Mutex

	mu      sync.Mutex
	version int64
	record  wireRecord
	// granted is the clock before the last successful write was first sent. Zero if the lease is not held.
	granted time.Time
	// beat is the last sign of life of the process, zero before the first.
	beat time.Time
	// gap is the longest pause since the last renewal, if it exceeds Gap.
	gap  time.Duration
	lost bool
}

// Acquire takes the lease. The record of an earlier process of the same router has to be ended first: *HeldError otherwise, unless
// the observer has seen it unchanged for a term. Errors of the object API are returned as they are.
func (h *Holder) Acquire(ctx context.Context, o *Observer, engines []string) error {
	s, err := o.Look(ctx, h.Router)
	if err != nil {
		return err
	}
	if s.State == Held && s.boot != h.Boot {
		return &HeldError{Router: h.Router, Retry: s.Retry}
	}
	h.mu.Lock()
	h.version, h.lost = s.Version, false
	h.record = wireRecord{Boot: h.Boot, Turn: h.record.Turn}
	h.mu.Unlock()
	return h.write(ctx, func(r *wireRecord) { r.Engines = sorted(engines) })
}

// Renew writes the record again. Errors: *LostError, and those of the object API. A renewal whose reply is lost is settled by reading
// back until ctx ends.
func (h *Holder) Renew(ctx context.Context) error {
	return h.write(ctx, func(*wireRecord) {})
}

// SetEngines changes the engines under the lease, and renews it.
func (h *Holder) SetEngines(ctx context.Context, engines []string) error {
	return h.write(ctx, func(r *wireRecord) { r.Engines = sorted(engines) })
}

// Release ends the lease. The caller has no order in progress.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	h.granted = time.Time{}
	h.mu.Unlock()
	return h.write(ctx, func(r *wireRecord) { r.Ended, r.Engines = true, nil })
}

// Run renews the lease every third of its term until ctx ends, and beats. It returns *LostError if the lease was ended.
func (h *Holder) Run(ctx context.Context) error {
	tick := time.NewTicker(h.gapLimit() / 3)
	defer tick.Stop()
	renewed := h.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h.Beat()
		if elapsed(h.now(), renewed) < h.term()/3 && !h.paused() {
			continue
		}
		renewed = h.now()
		call, cancel := context.WithTimeout(ctx, h.term()/6)
		err := h.Renew(call)
		cancel()
		var lost *LostError
		if errors.As(err, &lost) {
			return err
		}
	}
}

// Beat is a sign of life. A gap between two beats that exceeds Gap makes the lease invalid until it is renewed.
func (h *Holder) Beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beatAt(h.now())
}

func (h *Holder) beatAt(now time.Time) {
	if !h.beat.IsZero() {
		if gap := elapsed(now, h.beat); gap > h.gapLimit() {
			h.gap = max(h.gap, gap)
		}
	}
	h.beat = now
}

func (h *Holder) paused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gap > 0
}

// Valid returns nil if the lease is held now, or *ExpiredError, *PausedError or *LostError. It is asked right before each action.
func (h *Holder) Valid() error {
	err := h.valid()
	var expired *ExpiredError
	var paused *PausedError
	var lost *LostError
	switch c := h.counters(); {
	case errors.As(err, &expired):
		c.Expired.Add(1)
	case errors.As(err, &paused):
		c.Paused.Add(1)
	case errors.As(err, &lost):
		c.Lost.Add(1)
	}
	return err
}

// counters is never nil.
func (h *Holder) counters() *Counters {
	if h.Counters == nil {
		return &Counters{}
	}
	return h.Counters
}

func (h *Holder) valid() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.beatAt(now)
	switch {
	case h.lost:
		return &LostError{Router: h.Router}
	case h.granted.IsZero():
		return &ExpiredError{}
	case h.gap > 0:
		return &PausedError{Gap: h.gap}
	}
	if over := elapsed(now, h.granted) - h.term(); over >= 0 {
		return &ExpiredError{Since: over}
	}
	return nil
}

// Fence returns the fencing number of the lease, which grows with every renewal; 0 before the first.
func (h *Holder) Fence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// Covers reports whether an engine is under the lease.
func (h *Holder) Covers(engine string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := slices.BinarySearch(h.record.Engines, engine)
	return ok
}

// write changes the record on the version that this holder wrote last.
func (h *Holder) write(ctx context.Context, change func(*wireRecord)) error {
	h.writing.Lock()
	defer h.writing.Unlock()
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return &LostError{Router: h.Router}
	}
	next, version := h.record, h.version
	next.Turn++
	next.Term = h.term().Milliseconds()
	change(&next)
	// The turn is kept even if the write fails, so that no two writes of the process look the same. Engines that the write gives up
	// are given up before it is sent: it may take effect although it seems to fail.
	h.record.Turn = next.Turn
	h.record.Engines = common(h.record.Engines, next.Engines)
	sent := h.now()
	h.mu.Unlock()

	value, err := next.encode()
	if err != nil {
		return err
	}
	version, err = h.put(ctx, objectapi.Object{Kind: Kind, Name: h.Router, Version: version, Value: value}, next)
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost *LostError
	if errors.As(err, &lost) {
		h.lost, h.granted = true, time.Time{}
	}
	if err != nil {
		return err
	}
	h.version, h.record, h.granted, h.gap, h.beat = version, next, sent, 0, h.now()
	if next.Ended {
		h.granted = time.Time{}
	}
	return nil
}

// put writes the record and settles lost replies. Until the version has moved on, the same write is sent again: exactly one of them
// can succeed.
func (h *Holder) put(ctx context.Context, o objectapi.Object, next wireRecord) (int64, error) {
	count := h.counters()
	for round := 0; ; round++ {
		if round > 0 {
			count.Retries.Add(1)
		}
		version, err := h.Store.Put(ctx, o)
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case err == nil:
			count.Writes.Add(1)
			return version, nil
		case errors.As(err, &conflict):
			count.Conflicts.Add(1)
		case errors.As(err, &ambiguous):
			count.Ambiguous.Add(1)
		default:
			return version, err
		}
		now, readErr := h.Store.Get(ctx, Kind, h.Router)
		if readErr == nil && now.Version != o.Version {
			record, err := decode(now.Value)
			if err != nil {
				return 0, err
			}
			if record.Boot == h.Boot && record.Turn == next.Turn {
				return now.Version, nil
			}
			if record.Boot != h.Boot || record.Ended {
				return 0, &LostError{Router: h.Router}
			}
			// An earlier write of this process, given up by its caller, took effect late.
			o.Version = now.Version
		}
		if err := pause.For(ctx, h.term()/100); err != nil {
			return 0, &objectapi.UnavailableError{Cause: err}
		}
	}
}

// common returns the engines that are in both lists, in order.
func common(a, b []string) []string {
	var out []string
	for _, e := range a {
		if _, ok := slices.BinarySearch(b, e); ok {
			out = append(out, e)
		}
	}
	return out
}

func (h *Holder) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

func (h *Holder) term() time.Duration {
	if h.Term > 0 {
		return h.Term
	}
	return DefaultTerm
}

func (h *Holder) gapLimit() time.Duration {
	if h.Gap > 0 {
		return h.Gap
	}
	return DefaultGap
}
