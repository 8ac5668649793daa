package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// These values apply to the fields of an ObjectLog that are 0.
const (
	// DefaultMinWriteInterval limits the head record writes of all shards together to 64 / 0.25 s =
	// 256 per second, whatever the size of the fleet, as long as only its owner writes each shard.
	DefaultMinWriteInterval = 250 * time.Millisecond
	// DefaultTimeout is the default time limit of one call of Claim, Finish or Lookup.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxHeadBytes keeps each head record write small: at the peak load that the system is
	// designed for, the owner of a shard writes 11 KB/s with a limit of 4 KB, and 35 KB/s with 16 KB.
	DefaultMaxHeadBytes = 4 << 10
)

const (
	// storeCallTimeout limits one call of the object API.
	storeCallTimeout = 2 * time.Second
	// commitTimeout is how long a batch is retried after conflicts and lost replies, even after its
	// callers have stopped waiting. The retries determine whether a write whose reply was lost took
	// effect.
	commitTimeout = time.Minute
	// maxBatch is the largest number of operations in one write. Even with the largest answers, the
	// claims of a batch stay below objectapi.MaxValue.
	maxBatch = 256
	// maxQueue is the largest number of operations that wait for one shard.
	maxQueue = 4096
)

var (
	errQueueFull      = errors.New("too many operations are queued for the shard")
	errOutcomeUnknown = errors.New("could not determine whether the write of the shard took effect")
)

// ObjectLog is a Log that stores its claims in the object API. Set its fields before use.
type ObjectLog struct {
	Store objectapi.Store
	// Now returns the current time for deadlines and retention; time.Now if nil.
	Now func() time.Time
	// MinWriteInterval is the minimum time between the starts of two writes of a shard;
	// DefaultMinWriteInterval if 0.
	MinWriteInterval time.Duration
	// Timeout limits the duration of a call of Claim, Finish or Lookup; DefaultTimeout if 0.
	Timeout time.Duration
	// MaxHeadBytes is the size above which the claims of a head record are sealed into a segment;
	// DefaultMaxHeadBytes if 0.
	MaxHeadBytes int
	// ObserveWait, if not nil, is called at the end of each call of Claim, Finish or Lookup with the
	// time that the call waited for its result, even if it timed out. It must not block.
	ObserveWait func(time.Duration)

	mu     sync.Mutex
	shards [ShardCount]*shard
	stats  Stats
}

// Stats holds counters since the start of an ObjectLog.
type Stats struct {
	// Writes is the number of successful head record writes, and Seals the number of segments
	// written.
	Writes, Seals int64
	// Conflicts is the number of head record writes that failed because another router had changed
	// the record, and Ambiguous the number of head record writes whose reply was lost.
	Conflicts, Ambiguous int64
	// Retries is the number of attempts to commit a batch, not counting the first attempt of each
	// batch.
	Retries int64
	// Rebuilds is the number of times that a shard was loaded because its cached state was missing
	// or outdated.
	Rebuilds int64
	// Abandoned is the number of claims that were recorded although their caller had stopped
	// waiting, and that a separate operation then released. Claims that a retry of their own batch
	// released are not counted.
	Abandoned int64
}

var _ Log = (*ObjectLog)(nil)

// Claim implements Log.
func (l *ObjectLog) Claim(ctx context.Context, k Key, token Token) (Claim, error) {
	latestDeadline := l.now().Add(MaxTimeToDeadline)
	if k.Deadline.IsZero() || k.Deadline.After(latestDeadline) {
		k.Deadline = latestDeadline
	}
	r := l.submit(ctx, k.Shard(), newOperation(k, token, Claimed, nil))
	return r.claim, r.err
}

// Finish implements Log.
func (l *ObjectLog) Finish(ctx context.Context, k Key, token Token, s State, answer []byte) error {
	if s != Released && s != Done && s != Unknown {
		return &NotHolderError{State: s}
	}
	if len(answer) > MaxAnswerBytes || s != Done {
		answer = nil
	}
	return l.submit(ctx, k.Shard(), newOperation(k, token, s, answer)).err
}

// Lookup returns the claim of a key, and false if there is none or it was released. The error is
// *UnavailableError.
func (l *ObjectLog) Lookup(ctx context.Context, k Key) (Claim, bool, error) {
	r := l.submit(ctx, k.Shard(), newOperation(k, "", "", nil))
	return r.claim, r.found, r.err
}

// Stats returns a snapshot of the counters.
func (l *ObjectLog) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// DropShardCache drops the cached state of a shard that another router owns, to free memory.
func (l *ObjectLog) DropShardCache(shard int) {
	s := l.shard(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropCache = true
	if !s.writerRunning {
		s.clearCache()
	}
}

// Flush waits until all queued operations have been processed, including the release of claims
// whose callers have stopped waiting. A process calls it after its last request and before it
// exits.
func (l *ObjectLog) Flush(ctx context.Context) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for l.busy() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *ObjectLog) busy() bool {
	for n := range ShardCount {
		s := l.shard(n)
		s.mu.Lock()
		running := s.writerRunning
		s.mu.Unlock()
		if running {
			return true
		}
	}
	return false
}

// DeleteExpiredSegments deletes up to limit segments whose claims have expired and returns how many
// it deleted. One router, such as the owner of shard 0, calls it periodically.
func (l *ObjectLog) DeleteExpiredSegments(ctx context.Context, limit int) (int, error) {
	list, err := l.Store.List(ctx, Kind)
	if err != nil {
		return 0, err
	}
	// Twice the retention allows for clock differences between routers.
	cutoff := l.now().Add(-2 * Retention).UnixMilli()
	deleted := 0
	for _, o := range list {
		at, ok := segmentTime(o.Name)
		if !ok || at >= cutoff {
			continue
		}
		if deleted == limit {
			break
		}
		if err := l.Store.Delete(ctx, Kind, o.Name, o.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func (l *ObjectLog) updateStats(add func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.stats)
}

func (l *ObjectLog) shard(number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards[number] == nil {
		l.shards[number] = &shard{number: number}
	}
	return l.shards[number]
}

func (l *ObjectLog) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

func (l *ObjectLog) minWriteInterval() time.Duration {
	if l.MinWriteInterval > 0 {
		return l.MinWriteInterval
	}
	return DefaultMinWriteInterval
}

func (l *ObjectLog) timeout() time.Duration {
	if l.Timeout > 0 {
		return l.Timeout
	}
	return DefaultTimeout
}

func (l *ObjectLog) maxHeadBytes() int {
	if l.MaxHeadBytes > 0 {
		return l.MaxHeadBytes
	}
	return DefaultMaxHeadBytes
}

// submit queues an operation and waits for its result. If the caller stops waiting and the claim is
// recorded nevertheless, the writer releases it.
func (l *ObjectLog) submit(ctx context.Context, number int, o *operation) result {
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	if l.ObserveWait != nil {
		defer func(begin time.Time) { l.ObserveWait(time.Since(begin)) }(time.Now())
	}
	if !l.enqueue(l.shard(number), o) {
		return result{err: &UnavailableError{RetryAfter: time.Second, Cause: errQueueFull}}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
	}
	if o.abandon() {
		return result{err: &UnavailableError{RetryAfter: time.Second, Cause: ctx.Err()}}
	}
	return <-o.done
}

// enqueue queues an operation and starts the shard's writer if it is not running. Each shard has
// one writer, which stops when the queue is empty. It returns false if the queue is full.
func (l *ObjectLog) enqueue(s *shard, o *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueue {
		return false
	}
	s.queue = append(s.queue, o)
	if !s.writerRunning {
		s.writerRunning = true
		go l.runWriter(s)
	}
	return true
}

func (l *ObjectLog) runWriter(s *shard) {
	for s.continueWriter() {
		// Operations that are queued during the wait join the batch.
		l.waitToWrite(s)
		l.commit(s, s.nextBatch())
	}
}

// commit writes the changes of a batch and delivers the results. It retries after conflicts and
// ambiguous writes.
func (l *ObjectLog) commit(s *shard, batch []*operation) {
	// ambiguous is true while a write of this batch may have taken effect or may still do so.
	ambiguous := false
	end := time.Now().Add(commitTimeout)
	err := errOutcomeUnknown
	for attempt := 0; time.Now().Before(end); attempt++ {
		if attempt > 0 {
			l.updateStats(func(st *Stats) { st.Retries++ })
		}
		// Wait before the record is loaded. With a wait between load and write, the loaded version
		// would often be outdated, and the write would fail whenever another router writes the same
		// shard.
		l.waitToWrite(s)
		if !s.loaded {
			before := s.version
			if err = l.load(s); err != nil {
				if !ambiguous {
					break
				}
				time.Sleep(l.minWriteInterval())
				continue
			}
			// Once the version has changed, an ambiguous write either has taken effect or never will,
			// because it is conditional on the old version.
			ambiguous = ambiguous && s.version == before
		}
		p := s.plan(batch, l.now())
		if len(p.changes) == 0 && !ambiguous {
			current, loadErr := l.verifyCurrent(s, p)
			if err = loadErr; err != nil {
				break
			}
			if current {
				l.deliver(s, p)
				return
			}
			continue
		}
		err = l.writeHead(s, p)
		if err == nil {
			l.deliver(s, p)
			return
		}
		var conflict *objectapi.ConflictError
		var ambiguousErr *objectapi.AmbiguousError
		switch {
		case errors.As(err, &conflict):
			l.updateStats(func(st *Stats) { st.Conflicts++ })
			s.recordConflict(conflict)
		case errors.As(err, &ambiguousErr):
			// The next attempt reads the record again. If the version is unchanged, that attempt
			// writes on condition of the same version, so only one of the two writes can succeed.
			l.updateStats(func(st *Stats) { st.Ambiguous++ })
			ambiguous, s.loaded = true, false
			p.markMaybeWritten()
		case !ambiguous:
			l.failBatch(batch, err)
			return
		}
	}
	s.loaded = false
	l.failBatch(batch, err)
}

func (l *ObjectLog) failBatch(batch []*operation, err error) {
	callerErr := &UnavailableError{RetryAfter: time.Second, Cause: err}
	var storeErr *objectapi.UnavailableError
	if errors.As(err, &storeErr) && storeErr.Retry > 0 {
		callerErr.RetryAfter = storeErr.Retry
	}
	for _, o := range batch {
		o.deliver(result{err: callerErr})
	}
}

func (l *ObjectLog) deliver(s *shard, p plan) {
	for i, o := range p.batch {
		r := p.results[i]
		if o.deliver(r) || r.err != nil || o.state != Claimed || r.claim.Token != o.token {
			continue
		}
		// The caller stopped waiting after the batch was planned. It does not run the request, so
		// its claim is released.
		l.updateStats(func(st *Stats) { st.Abandoned++ })
		l.enqueue(s, newOperation(o.key, o.token, Released, nil))
	}
}

// waitToWrite sleeps until the minimum time since the start of the last write has passed.
func (l *ObjectLog) waitToWrite(s *shard) {
	if remaining := l.minWriteInterval() - time.Since(s.lastWriteStart); remaining > 0 {
		time.Sleep(remaining)
	}
}

// writeHead writes the head record with the changes of a plan. If the record has grown too large,
// its claims are first sealed into a segment.
func (l *ObjectLog) writeHead(s *shard, p plan) error {
	s.lastWriteStart = time.Now()
	head := s.head.withChanges(p)
	value, err := encodeHead(head)
	if err != nil {
		return err
	}
	if len(value) > l.maxHeadBytes() && len(s.head.Claims) > 0 {
		pointer, err := l.seal(s, p.now)
		if err != nil {
			return err
		}
		head = headRecord{At: head.At, Segment: pointer, Claims: p.changes}
		if value, err = encodeHead(head); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	version, err := l.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: headName(s.number), Version: s.version, Value: value})
	if err != nil {
		return err
	}
	l.updateStats(func(st *Stats) { st.Writes++ })
	s.applyWrite(version, head, p.changes, p.now)
	return nil
}
