package lease

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/ports/objectapi"
)

// Holder acquires and renews one lease. Set its fields before use.
type Holder struct {
	Store objectapi.Store
	// Router is the name of the lease record: the ID of this router, or a fixed name for a lease
	// that several routers compete for. Boot is an identifier that is unique to each process.
	Router, Boot string
	// Term is how long the lease is valid after a write; DefaultTerm if 0. All routers must use the
	// same term. If the term in a record is longer than that of an observer, the observer waits for
	// the longer one.
	Term time.Duration
	// MaxGap is the longest interval between two heartbeats that leaves the lease valid;
	// DefaultMaxGap if 0.
	MaxGap time.Duration
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time
	// Counters may be shared with other holders; nil disables counting.
	Counters *Counters

	// writeMu serializes writes of the lease record.
	writeMu sync.Mutex

	mu      sync.Mutex
	version int64
	record  leaseRecord
	// termStart is the time just before the last successful write was first sent; zero if the lease
	// is not held.
	termStart time.Time
	// lastHeartbeat is the time of the last heartbeat of this process; zero before the first.
	lastHeartbeat time.Time
	// longestGap is the longest interval between heartbeats since the last renewal; 0 unless it
	// exceeds MaxGap.
	longestGap time.Duration
	// lost is true once another process has ended or acquired the lease; Acquire resets it.
	lost bool
}

// Acquire acquires the lease for the given engines. It returns *HeldError while another process may
// still hold the lease: until the lease is released or ended, or the observer has seen the record
// unchanged for the term plus the allowance for clock drift. It returns *LostError if another
// process writes the record at the same time. Object API errors are returned unwrapped.
func (h *Holder) Acquire(ctx context.Context, o *Observer, engines []string) error {
	s, err := o.Status(ctx, h.Router)
	if err != nil {
		return err
	}
	if s.State == Held && s.boot != h.Boot {
		return &HeldError{Router: h.Router, Retry: s.Retry}
	}
	h.mu.Lock()
	h.version, h.lost = s.Version, false
	h.record = leaseRecord{Boot: h.Boot, Seq: h.record.Seq}
	h.mu.Unlock()
	return h.write(ctx, func(r *leaseRecord) { r.Engines = sorted(engines) })
}

// Renew renews the lease by writing its record again. It returns *LostError or an object API error.
// If the reply to the write is lost, Renew reads the record back until it knows the outcome or ctx
// ends.
func (h *Holder) Renew(ctx context.Context) error {
	return h.write(ctx, func(*leaseRecord) {})
}

// SetEngines replaces the set of engines that the lease covers, and renews the lease.
func (h *Holder) SetEngines(ctx context.Context, engines []string) error {
	return h.write(ctx, func(r *leaseRecord) { r.Engines = sorted(engines) })
}

// Release ends the lease. The caller must have no order to an engine in progress.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	h.termStart = time.Time{}
	h.mu.Unlock()
	return h.write(ctx, func(r *leaseRecord) { r.Ended, r.Engines = true, nil })
}

// Run records heartbeats and renews the lease every third of its term. After a pause it renews the
// lease at once. It returns nil when ctx ends, and *LostError if another process has ended or
// acquired the lease.
func (h *Holder) Run(ctx context.Context) error {
	tick := time.NewTicker(h.maxGap() / 3)
	defer tick.Stop()
	lastAttempt := h.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		h.Heartbeat()
		if elapsed(h.now(), lastAttempt) < h.term()/3 && !h.paused() {
			continue
		}
		lastAttempt = h.now()
		call, cancel := context.WithTimeout(ctx, h.term()/6)
		err := h.Renew(call)
		cancel()
		var lost *LostError
		if errors.As(err, &lost) {
			return err
		}
	}
}

// Heartbeat records a heartbeat, which shows that the process is running. An interval between two
// heartbeats that exceeds MaxGap makes the lease invalid until it is renewed.
func (h *Holder) Heartbeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordHeartbeat(h.now())
}

func (h *Holder) recordHeartbeat(now time.Time) {
	if !h.lastHeartbeat.IsZero() {
		if gap := elapsed(now, h.lastHeartbeat); gap > h.maxGap() {
			h.longestGap = max(h.longestGap, gap)
		}
	}
	h.lastHeartbeat = now
}

func (h *Holder) paused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.longestGap > 0
}

// Valid returns nil if the lease is valid now, and *ExpiredError, *PausedError or *LostError
// otherwise. Callers check it right before each action that needs the lease. A call counts as a
// heartbeat, so a pause that has just ended makes the lease invalid.
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

// counters returns the configured counters, or discarded ones if there are none.
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
	h.recordHeartbeat(now)
	switch {
	case h.lost:
		return &LostError{Router: h.Router}
	case h.termStart.IsZero():
		return &ExpiredError{}
	case h.longestGap > 0:
		return &PausedError{Gap: h.longestGap}
	}
	if over := elapsed(now, h.termStart) - h.term(); over >= 0 {
		return &ExpiredError{Since: over}
	}
	return nil
}

// Fence returns the fencing token of the lease. It increases with every write, and is 0 before the
// first call of Acquire. Between the read of the record in Acquire and the first successful write,
// it is the version that Acquire read.
func (h *Holder) Fence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// Covers reports whether the lease covers an engine.
func (h *Holder) Covers(engine string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := slices.BinarySearch(h.record.Engines, engine)
	return ok
}

// write updates the record, on condition that it still has the version that this holder last read
// in Acquire or wrote.
func (h *Holder) write(ctx context.Context, change func(*leaseRecord)) error {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return &LostError{Router: h.Router}
	}
	next, version := h.record, h.version
	next.Seq++
	next.Term = h.term().Milliseconds()
	change(&next)
	// The sequence number is used up even if the write fails, so that no two writes of the process
	// look the same. Engines that the write removes are removed locally before the write is sent,
	// because a write that appears to fail may still take effect.
	h.record.Seq = next.Seq
	h.record.Engines = intersect(h.record.Engines, next.Engines)
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
		h.lost, h.termStart = true, time.Time{}
	}
	if err != nil {
		return err
	}
	h.version, h.record, h.termStart, h.longestGap, h.lastHeartbeat = version, next, sent, 0, h.now()
	if next.Ended {
		h.termStart = time.Time{}
	}
	return nil
}

// put writes the record and resolves writes whose reply was lost. It sends the same write again
// while the stored version is unchanged, which is safe because all attempts depend on that version
// and only one of them can succeed.
func (h *Holder) put(ctx context.Context, o objectapi.Object, next leaseRecord) (int64, error) {
	counters := h.counters()
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			counters.Retries.Add(1)
		}
		version, err := h.Store.Put(ctx, o)
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case err == nil:
			counters.Writes.Add(1)
			return version, nil
		case errors.As(err, &conflict):
			counters.Conflicts.Add(1)
		case errors.As(err, &ambiguous):
			counters.Ambiguous.Add(1)
		default:
			return version, err
		}
		stored, readErr := h.Store.Get(ctx, Kind, h.Router)
		if readErr == nil && stored.Version != o.Version {
			record, err := decode(stored.Value)
			if err != nil {
				return 0, err
			}
			if record.Boot == h.Boot && record.Seq == next.Seq {
				return stored.Version, nil
			}
			if record.Boot != h.Boot || record.Ended {
				return 0, &LostError{Router: h.Router}
			}
			// An earlier write of this process took effect after its caller had stopped waiting for
			// it. The next attempt replaces that version.
			o.Version = stored.Version
		}
		if err := sleep.For(ctx, h.term()/100); err != nil {
			return 0, &objectapi.UnavailableError{Cause: err}
		}
	}
}

// intersect returns the engines that are in both sorted lists, in order.
func intersect(a, b []string) []string {
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

func (h *Holder) maxGap() time.Duration {
	if h.MaxGap > 0 {
		return h.MaxGap
	}
	return DefaultMaxGap
}
