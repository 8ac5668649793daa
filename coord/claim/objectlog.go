package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// Defaults of Table.
const (
	// DefaultPace limits the head writes of all shards together to 64 / 0.25 s = 256 a second, whatever the size of the fleet.
	DefaultPace  = 250 * time.Millisecond
	DefaultLimit = 5 * time.Second
	// DefaultSeal keeps the bytes of one group commit small: at the peak of the size to design for, the owner of a shard writes 11 KB/s
	// with it, against 35 KB/s with 16 KB.
	DefaultSeal = 4 << 10
)

const (
	callTimeout = 2 * time.Second
	// settleLimit is how long an ambiguous write is followed up after its callers have gone.
	settleLimit = time.Minute
	// maxBatch claims with the largest answers stay below objectapi.MaxValue.
	maxBatch = 256
	maxQueue = 4096
)

var (
	errBusy      = errors.New("too many claims wait for the shard")
	errUnsettled = errors.New("no write of the shard could be settled")
)

// Table is a Log in the object API. Set its fields before use.
type Table struct {
	Store objectapi.Store
	// Now is the clock of claims; time.Now if nil.
	Now func() time.Time
	// Pace is the least time between the starts of two writes of a shard; DefaultPace if 0.
	Pace time.Duration
	// Limit is the longest duration of a call; DefaultLimit if 0.
	Limit time.Duration
	// Seal is the size, in bytes, at which a head record is sealed; DefaultSeal if 0.
	Seal int
	// Waited is told how long each operation waited for its result, ended or not; nil for nobody. It must not block.
	Waited func(time.Duration)

	mu     sync.Mutex
	shards [Shards]*shard
	stats  Stats
}

// Stats count what a Table did since its start.
type Stats struct {
	// Writes are head writes that succeeded, and Seals segments written.
	Writes, Seals int64
	// Conflicts are head writes that lost to another router, and Ambiguous those whose reply was lost.
	Conflicts, Ambiguous int64
	// Retries are rounds of a batch after its first.
	Retries int64
	// Rebuilds are readings of a shard by a router that did not know its state.
	Rebuilds int64
	// Abandoned are claims that were recorded after their caller had gone, and then released.
	Abandoned int64
}

var _ Log = (*Table)(nil)

// Claim implements Log.
func (t *Table) Claim(ctx context.Context, k Key, token Token) (Claim, error) {
	latest := t.now().Add(MaxDeadline)
	if k.Deadline.IsZero() || k.Deadline.After(latest) {
		k.Deadline = latest
	}
	r := t.submit(ctx, k.Shard(), newOp(k, token, Claimed, nil))
	return r.claim, r.err
}

// Finish implements Log.
func (t *Table) Finish(ctx context.Context, k Key, token Token, s State, answer []byte) error {
	if s != Released && s != Done && s != Unknown {
		return &NotHolderError{State: s}
	}
	if len(answer) > MaxAnswer || s != Done {
		answer = nil
	}
	return t.submit(ctx, k.Shard(), newOp(k, token, s, answer)).err
}

// Standing returns the claim that stands for a key, false if there is none or it was released. The error is *DownError.
func (t *Table) Standing(ctx context.Context, k Key) (Claim, bool, error) {
	r := t.submit(ctx, k.Shard(), newOp(k, "", "", nil))
	return r.claim, r.stands, r.err
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Disown drops the cache of a shard that belongs to another router, to free its memory.
func (t *Table) Disown(shard int) {
	s := t.shard(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget = true
	if !s.running {
		s.clear()
	}
}

// Flush waits until all writes in progress have ended, such as the release of claims whose callers have gone. A process calls it after
// its last request and before it exits.
func (t *Table) Flush(ctx context.Context) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for t.busy() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (t *Table) busy() bool {
	for n := range Shards {
		s := t.shard(n)
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		if running {
			return true
		}
	}
	return false
}

// Sweep deletes up to limit segments whose claims no router reads any more, and returns their number. It is called now and then by
// one router, such as the owner of shard 0.
func (t *Table) Sweep(ctx context.Context, limit int) (int, error) {
	list, err := t.Store.List(ctx, Kind)
	if err != nil {
		return 0, err
	}
	// Twice the retention leaves room for routers whose clocks differ.
	cutoff := t.now().Add(-2 * Retention).UnixMilli()
	deleted := 0
	for _, o := range list {
		at, ok := sealedAt(o.Name)
		if !ok || at >= cutoff {
			continue
		}
		if deleted == limit {
			break
		}
		if err := t.Store.Delete(ctx, Kind, o.Name, o.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func (t *Table) count(add func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add(&t.stats)
}

func (t *Table) shard(n int) *shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shards[n] == nil {
		t.shards[n] = &shard{number: n}
	}
	return t.shards[n]
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func (t *Table) pace() time.Duration {
	if t.Pace > 0 {
		return t.Pace
	}
	return DefaultPace
}

func (t *Table) limit() time.Duration {
	if t.Limit > 0 {
		return t.Limit
	}
	return DefaultLimit
}

func (t *Table) sealSize() int {
	if t.Seal > 0 {
		return t.Seal
	}
	return DefaultSeal
}

// submit queues an operation and waits for its result. A claim whose caller goes is released once it is found recorded.
func (t *Table) submit(ctx context.Context, n int, o *op) result {
	ctx, cancel := context.WithTimeout(ctx, t.limit())
	defer cancel()
	if t.Waited != nil {
		defer func(begin time.Time) { t.Waited(time.Since(begin)) }(time.Now())
	}
	if !t.enqueue(t.shard(n), o) {
		return result{err: &DownError{Retry: time.Second, Cause: errBusy}}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
	}
	if o.abandon() {
		return result{err: &DownError{Retry: time.Second, Cause: ctx.Err()}}
	}
	return <-o.done
}

// enqueue starts the shard's writer if none runs. There is one writer for each shard, and it ends when the queue is empty.
func (t *Table) enqueue(s *shard, o *op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueue {
		return false
	}
	s.queue = append(s.queue, o)
	if !s.running {
		s.running = true
		go t.run(s)
	}
	return true
}

func (t *Table) run(s *shard) {
	for s.pending() {
		// What arrives during the wait joins the batch.
		t.wait(s)
		t.commit(s, s.take())
	}
}

// commit records a batch and delivers its results.
func (t *Table) commit(s *shard, batch []*op) {
	// doubt is true while a write of this batch may have taken effect or may still do so.
	doubt := false
	end := time.Now().Add(settleLimit)
	err := errUnsettled
	for round := 0; time.Now().Before(end); round++ {
		if round > 0 {
			t.count(func(st *Stats) { st.Retries++ })
		}
		// The wait comes before the load: a router that waited after it would lose every race against another one.
		t.wait(s)
		if !s.loaded {
			before := s.version
			if err = t.load(s); err != nil {
				if !doubt {
					break
				}
				time.Sleep(t.pace())
				continue
			}
			// Once the version has moved on, the last write has taken effect or never will.
			doubt = doubt && s.version == before
		}
		p := s.plan(batch, t.now())
		if len(p.changes) == 0 && !doubt {
			fresh, loadErr := t.fresh(s, p)
			if err = loadErr; err != nil {
				break
			}
			if fresh {
				t.deliver(s, p)
				return
			}
			continue
		}
		err = t.write(s, p)
		if err == nil {
			t.deliver(s, p)
			return
		}
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case errors.As(err, &conflict):
			t.count(func(st *Stats) { st.Conflicts++ })
			s.lost(conflict)
		case errors.As(err, &ambiguous):
			// The next round reads the record back. If its version has not moved, it writes again on the same version: exactly one
			// of the writes can succeed.
			t.count(func(st *Stats) { st.Ambiguous++ })
			doubt, s.loaded = true, false
			p.markSent()
		case !doubt:
			t.fail(batch, err)
			return
		}
	}
	s.loaded = false
	t.fail(batch, err)
}

func (t *Table) fail(batch []*op, err error) {
	down := &DownError{Retry: time.Second, Cause: err}
	var unavailable *objectapi.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Retry > 0 {
		down.Retry = unavailable.Retry
	}
	for _, o := range batch {
		o.deliver(result{err: down})
	}
}

func (t *Table) deliver(s *shard, p plan) {
	for i, o := range p.batch {
		r := p.results[i]
		if o.deliver(r) || r.err != nil || o.state != Claimed || r.claim.Token != o.token {
			continue
		}
		// The caller went after the batch was planned. It does not run the request, so the key is given back.
		t.count(func(st *Stats) { st.Abandoned++ })
		t.enqueue(s, newOp(o.key, o.token, Released, nil))
	}
}

// wait leaves the pace between the starts of two writes.
func (t *Table) wait(s *shard) {
	if rest := t.pace() - time.Since(s.started); rest > 0 {
		time.Sleep(rest)
	}
}

// write puts the head record with the changes of a plan, after sealing it if it has grown too large.
func (t *Table) write(s *shard, p plan) error {
	s.started = time.Now()
	head := s.head.with(p)
	value, err := encode(head)
	if err != nil {
		return err
	}
	if len(value) > t.sealSize() && len(s.head.Claims) > 0 {
		pointer, err := t.seal(s, p.now)
		if err != nil {
			return err
		}
		head = wireHead{At: head.At, Segment: pointer, Claims: p.changes}
		if value, err = encode(head); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	version, err := t.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: headName(s.number), Version: s.version, Value: value})
	if err != nil {
		return err
	}
	t.count(func(st *Stats) { st.Writes++ })
	s.install(version, head, p.changes, p.now)
	return nil
}
