package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// operation is a queued call: a lookup if state is empty, a claim if it is Claimed, otherwise a
// finish with that state.
type operation struct {
	key    Key
	id     string
	token  Token
	state  State
	answer []byte
	// maybeWritten is true once a write that includes this operation may have taken effect. Only
	// the shard's writer uses it.
	maybeWritten bool
	// done receives the result. Its buffer of one keeps the writer from blocking.
	done chan result

	mu sync.Mutex
	// delivered is true once the result was sent on done. abandoned is true if the caller stopped
	// waiting before that.
	delivered bool
	abandoned bool
}

type result struct {
	claim Claim
	// found is true if there is a claim that has not been released.
	found bool
	err   error
}

func newOperation(k Key, t Token, s State, answer []byte) *operation {
	return &operation{key: k, id: k.id(), token: t, state: s, answer: answer, done: make(chan result, 1)}
}

// deliver sends the result to the caller and returns false if the caller has stopped waiting.
func (o *operation) deliver(r result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.delivered || o.abandoned {
		return !o.abandoned
	}
	o.delivered = true
	o.done <- r
	return true
}

// abandon marks the operation as abandoned by its caller. It returns false if the result has
// already been delivered.
func (o *operation) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned = !o.delivered
	return o.abandoned
}

func (o *operation) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// shard is this router's cached state of one shard of the log. The fields from loaded on are used
// only by the shard's single writer, or under mu while no writer runs.
type shard struct {
	number int

	mu            sync.Mutex
	queue         []*operation
	writerRunning bool
	// dropCache asks the writer to clear the cached state.
	dropCache bool

	// loaded is true while version, head and index are assumed to be current. If another router has
	// written since, they match an earlier version of the log: finished claims in them still hold,
	// and a write with the old version fails.
	loaded  bool
	version int64
	// minVersion is the highest version known to exist; a read that returns a lower one is stale.
	minVersion int64
	head       headRecord
	// index holds the claims of the head record and of all loaded segments, by Key.id.
	index map[string]storedClaim
	// loadedSegments holds the names of the segments whose claims are in index.
	loadedSegments map[string]bool
	// sealed is the latest segment that this router wrote, from version sealedVersion of the head
	// record. It is reused if sealing that version is retried.
	sealed        segmentPointer
	sealedVersion int64
	// lastWriteStart is when the last write of the head record began.
	lastWriteStart time.Time
}

// continueWriter reports whether operations are queued. If none are, it marks the writer as
// stopped.
func (s *shard) continueWriter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropCache {
		s.clearCache()
	}
	s.writerRunning = len(s.queue) > 0
	return s.writerRunning
}

// nextBatch removes and returns up to maxBatch queued operations.
func (s *shard) nextBatch() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxBatch)
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	return batch
}

// clearCache drops the cached state. The caller holds mu, and either is the writer or knows that no
// writer runs.
func (s *shard) clearCache() {
	s.dropCache, s.loaded, s.version, s.index, s.loadedSegments, s.head = false, false, 0, nil, nil, headRecord{}
}

// recordConflict records that another router changed the head record, so that it is read again.
func (s *shard) recordConflict(c *objectapi.ConflictError) {
	s.loaded = false
	s.minVersion = max(s.minVersion, c.Have, s.version+1)
}

// applyWrite updates the cached state after a successful write of the head record.
func (s *shard) applyWrite(version int64, head headRecord, changes []storedClaim, now int64) {
	s.version, s.minVersion, s.head = version, version, head
	if head.Segment.Name != "" && !s.loadedSegments[head.Segment.Name] {
		s.loadedSegments[head.Segment.Name] = true
		s.evictExpired(now)
	}
	for _, c := range changes {
		s.index[c.Key] = c
	}
}

// evictExpired removes expired claims from the index to free memory. It also removes the names of
// segments that are too old to be read again.
func (s *shard) evictExpired(now int64) {
	for id, c := range s.index {
		if c.expired(now) {
			delete(s.index, id)
		}
	}
	for name := range s.loadedSegments {
		if at, ok := segmentTime(name); ok && at+2*Retention.Milliseconds() < now {
			delete(s.loadedSegments, name)
		}
	}
}

// plan is the effect of a batch of operations on the cached state of a shard.
type plan struct {
	batch   []*operation
	results []result
	// changes has at most one claim per key, in the order of the first change of each key.
	changes []storedClaim
	// writes tells, for each operation of the batch, whether it changes a claim.
	writes []bool
	// now is the time of this router's clock and at the time stored with the changes, both in Unix
	// milliseconds. If this router's clock is behind the time in the head record, at is the latter.
	now, at int64
	// immutable is true if all results come from claims that are Done or Unknown. Such claims never
	// change again, so the results need not be checked against the head record.
	immutable bool
}

// plan evaluates the operations of a batch in order. Evaluating an operation that has already taken
// effect gives the same result.
func (s *shard) plan(batch []*operation, now time.Time) plan {
	p := plan{batch: batch, results: make([]result, len(batch)), writes: make([]bool, len(batch)), now: now.UnixMilli(), immutable: true}
	p.at = max(p.now, s.head.At)
	changed := map[string]int{}
	for i, o := range batch {
		old, ok := s.index[o.id]
		if j, again := changed[o.id]; again {
			old, ok = p.changes[j], true
		}
		ok = ok && !old.expired(p.now)
		if !ok {
			old = storedClaim{}
		}
		next, r := o.evaluate(old, ok, p.now)
		p.results[i] = r
		p.immutable = p.immutable && old.immutable()
		if next == nil {
			continue
		}
		p.writes[i] = true
		next.At = p.at
		if j, again := changed[o.id]; again {
			p.changes[j] = *next
			continue
		}
		changed[o.id] = len(p.changes)
		p.changes = append(p.changes, *next)
	}
	return p
}

// markMaybeWritten records that a write of the plan may have taken effect.
func (p plan) markMaybeWritten() {
	for i, o := range p.batch {
		o.maybeWritten = o.maybeWritten || p.writes[i]
	}
}

// evaluate returns the changed claim, nil if nothing changes, and the result of the operation.
func (o *operation) evaluate(old storedClaim, exists bool, now int64) (*storedClaim, result) {
	if o.state == "" {
		return nil, result{claim: old.toClaim(now), found: exists && old.State != Released}
	}
	if o.state == Claimed {
		return o.evaluateClaim(old, exists, now)
	}
	switch {
	case exists && old.Token == o.token && old.State == Claimed:
		next := old
		next.State, next.Answer = o.state, o.answer
		return &next, result{}
	case exists && old.Token == o.token && old.State == o.state:
		return nil, result{}
	case o.maybeWritten:
		// The token held the claim when this operation was first written, and only this operation
		// could have changed that. So the earlier write has taken effect, and the claim has been
		// replaced or has expired since.
		return nil, result{}
	}
	return nil, result{err: &NotHolderError{State: old.State}}
}

// evaluateClaim does the same for a claim operation. If the caller has stopped waiting, it releases
// the claim that an earlier attempt recorded, because the caller does not run the request.
func (o *operation) evaluateClaim(old storedClaim, exists bool, now int64) (*storedClaim, result) {
	ownClaim := exists && old.Token == o.token
	if o.isAbandoned() {
		if !ownClaim || old.State != Claimed {
			return nil, result{err: context.Canceled}
		}
		next := old
		next.State = Released
		return &next, result{err: context.Canceled}
	}
	switch {
	case ownClaim:
		return nil, result{claim: old.toClaim(now)}
	case !exists || old.State == Released:
		next := storedClaim{Key: o.id, Token: o.token, State: Claimed, FingerprintHash: o.key.fingerprintHash(), Deadline: o.key.Deadline.UnixMilli()}
		return &next, result{claim: next.toClaim(now)}
	case old.FingerprintHash != o.key.fingerprintHash():
		return nil, result{err: &KeyReusedError{Claim: old.toClaim(now)}}
	}
	return nil, result{claim: old.toClaim(now)}
}

// verifyCurrent reports whether the results of a plan without changes are up to date. It reads the
// head record, unless the results come from claims that never change again.
func (l *ObjectLog) verifyCurrent(s *shard, p plan) (bool, error) {
	if p.immutable {
		return true, nil
	}
	before := s.version
	err := l.load(s)
	return s.version == before, err
}

// load reads the head record and the segments that have not been loaded yet.
func (l *ObjectLog) load(s *shard) error {
	o, err := l.get(headName(s.number))
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		err = nil
	}
	if err != nil {
		return err
	}
	if o.Version < s.minVersion {
		return &objectapi.UnavailableError{Retry: time.Second, Cause: fmt.Errorf("object API returned a stale version of the head record of shard %d", s.number)}
	}
	if s.index != nil && o.Version == s.version {
		s.loaded = true
		return nil
	}
	var head headRecord
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &head); err != nil {
			return fmt.Errorf("head record of shard %d cannot be decoded; restore it: %w", s.number, err)
		}
	}
	segments, names, err := l.readSegments(s, head.Segment)
	if err != nil {
		return err
	}
	l.updateStats(func(st *Stats) { st.Rebuilds++ })
	s.indexSegments(segments, names)
	for _, c := range head.Claims {
		s.index[c.Key] = c
	}
	s.version, s.minVersion, s.head, s.loaded = o.Version, o.Version, head, true
	return nil
}

// readSegments reads the segments that have not been loaded, newest first. It stops at a loaded
// segment or at one whose claims have all expired. It returns the segments and their names.
func (l *ObjectLog) readSegments(s *shard, from segmentPointer) ([]storedSegment, []string, error) {
	var segments []storedSegment
	var names []string
	cutoff := l.now().Add(-Retention).UnixMilli()
	for p := from; p.Name != "" && p.Until >= cutoff && !s.loadedSegments[p.Name]; p = segments[len(segments)-1].Previous {
		o, err := l.get(p.Name)
		if err != nil {
			return nil, nil, err
		}
		var segment storedSegment
		if err := json.Unmarshal(o.Value, &segment); err != nil {
			return nil, nil, fmt.Errorf("segment %s cannot be decoded; its shard refuses claims until the segment is restored or is %s old: %w", p.Name, Retention, err)
		}
		segments = append(segments, segment)
		names = append(names, p.Name)
	}
	return segments, names, nil
}

// indexSegments adds segments to the index, oldest first, so that newer claims override older ones.
func (s *shard) indexSegments(segments []storedSegment, names []string) {
	if s.index == nil {
		s.index, s.loadedSegments = map[string]storedClaim{}, map[string]bool{}
	}
	for i, segment := range slices.Backward(segments) {
		s.loadedSegments[names[i]] = true
		for _, c := range segment.Claims {
			s.index[c.Key] = c
		}
	}
}

func (l *ObjectLog) get(name string) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	return l.Store.Get(ctx, Kind, name)
}

func encodeHead(h headRecord) ([]byte, error) { return json.Marshal(h) }
