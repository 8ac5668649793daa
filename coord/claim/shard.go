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

// op is a queued claim, finish or, with an empty state, read.
type op struct {
	key    Key
	id     string
	token  Token
	state  State
	answer []byte
	// sent is true once a write with this operation may have taken effect. Only the writer uses it.
	sent bool
	done chan result

	mu       sync.Mutex
	settled  bool
	deserted bool
}

type result struct {
	claim Claim
	// stands is true if there is a claim that has not been released.
	stands bool
	err    error
}

func newOp(k Key, t Token, s State, answer []byte) *op {
	return &op{key: k, id: k.id(), token: t, state: s, answer: answer, done: make(chan result, 1)}
}

// deliver hands over the result and reports whether the caller still waits.
func (o *op) deliver(r result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled || o.deserted {
		return !o.deserted
	}
	o.settled = true
	o.done <- r
	return true
}

// abandon reports whether the caller went before there was a result.
func (o *op) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deserted = !o.settled
	return o.deserted
}

func (o *op) abandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deserted
}

// shard is this router's view of one part of the log. The fields after mu's group belong to the shard's single writer.
type shard struct {
	number int

	mu      sync.Mutex
	queue   []*op
	running bool
	// forget asks the writer to drop the cache.
	forget bool

	// loaded is true while version, head and index are believed current. They always are a state that the log had.
	loaded  bool
	version int64
	// seen is the highest version known to exist; a read below it lags.
	seen int64
	head wireHead
	// index holds the claims of the head and of all segments in known.
	index map[string]wireClaim
	known map[string]bool
	// sealed is the segment written for the head at sealedVersion.
	sealed        wirePointer
	sealedVersion int64
	// started is the start of the last write.
	started time.Time
}

// pending reports whether operations wait, and otherwise ends the writer.
func (s *shard) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forget {
		s.clear()
	}
	s.running = len(s.queue) > 0
	return s.running
}

// take returns the next batch.
func (s *shard) take() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxBatch)
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	return batch
}

// clear drops the cache. The caller holds mu and no writer runs, or is the writer.
func (s *shard) clear() {
	s.forget, s.loaded, s.version, s.index, s.known, s.head = false, false, 0, nil, nil, wireHead{}
}

// lost notes that another write changed the head record.
func (s *shard) lost(c *objectapi.ConflictError) {
	s.loaded = false
	s.seen = max(s.seen, c.Have, s.version+1)
}

// install makes a head record current after its write succeeded.
func (s *shard) install(version int64, head wireHead, changes []wireClaim, now int64) {
	s.version, s.seen, s.head = version, version, head
	if head.Segment.Name != "" && !s.known[head.Segment.Name] {
		s.known[head.Segment.Name] = true
		s.expire(now)
	}
	for _, c := range changes {
		s.index[c.Key] = c
	}
}

// expire frees the memory of claims whose retention has passed.
func (s *shard) expire(now int64) {
	for id, c := range s.index {
		if c.expired(now) {
			delete(s.index, id)
		}
	}
	for name := range s.known {
		if at, ok := sealedAt(name); ok && at+2*Retention.Milliseconds() < now {
			delete(s.known, name)
		}
	}
}

// plan is the effect of a batch on the state that the shard knows.
type plan struct {
	batch   []*op
	results []result
	// changes has each key at most once, in the order of the first change.
	changes []wireClaim
	// writes tells which operations of the batch are in changes.
	writes []bool
	// now is this router's clock, and at the time of the changes.
	now, at int64
	// final is true if no result can be changed by another router.
	final bool
}

// plan evaluates a batch in order. Evaluating an operation that has taken effect before gives the same result again.
func (s *shard) plan(batch []*op, now time.Time) plan {
	p := plan{batch: batch, results: make([]result, len(batch)), writes: make([]bool, len(batch)), now: now.UnixMilli(), final: true}
	p.at = max(p.now, s.head.At)
	changed := map[string]int{}
	for i, o := range batch {
		old, ok := s.index[o.id]
		if j, again := changed[o.id]; again {
			old, ok = p.changes[j], true
		}
		ok = ok && !old.expired(p.now)
		if !ok {
			old = wireClaim{}
		}
		next, r := o.evaluate(old, ok, p.now)
		p.results[i] = r
		p.final = p.final && old.final()
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

func (p plan) markSent() {
	for i, o := range p.batch {
		o.sent = o.sent || p.writes[i]
	}
}

// evaluate returns the changed claim, nil if nothing changes, and the result.
func (o *op) evaluate(old wireClaim, exists bool, now int64) (*wireClaim, result) {
	if o.state == "" {
		return nil, result{claim: old.read(now), stands: exists && old.State != Released}
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
	case o.sent:
		// The token held the claim when this operation was first written, and only this operation could end that.
		return nil, result{}
	}
	return nil, result{err: &NotHolderError{State: old.State}}
}

func (o *op) evaluateClaim(old wireClaim, exists bool, now int64) (*wireClaim, result) {
	mine := exists && old.Token == o.token
	if o.abandoned() {
		if !mine || old.State != Claimed {
			return nil, result{err: context.Canceled}
		}
		next := old
		next.State = Released
		return &next, result{err: context.Canceled}
	}
	switch {
	case mine:
		return nil, result{claim: old.read(now)}
	case !exists || old.State == Released:
		next := wireClaim{Key: o.id, Token: o.token, State: Claimed, Print: o.key.print(), Deadline: o.key.Deadline.UnixMilli()}
		return &next, result{claim: next.read(now)}
	case old.Print != o.key.print():
		return nil, result{err: &ReusedError{Claim: old.read(now)}}
	}
	return nil, result{claim: old.read(now)}
}

// fresh reports whether the results of a plan without changes are current. It reads the head record unless no other router could
// change them.
func (t *Table) fresh(s *shard, p plan) (bool, error) {
	if p.final {
		return true, nil
	}
	before := s.version
	err := t.load(s)
	return s.version == before, err
}

// load reads the head record and the segments that are not known yet.
func (t *Table) load(s *shard) error {
	o, err := t.get(headName(s.number))
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		err = nil
	}
	if err != nil {
		return err
	}
	if o.Version < s.seen {
		return &objectapi.UnavailableError{Retry: time.Second, Cause: fmt.Errorf("read of shard %d lags behind", s.number)}
	}
	if s.index != nil && o.Version == s.version {
		s.loaded = true
		return nil
	}
	var head wireHead
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &head); err != nil {
			return fmt.Errorf("head record of shard %d is unreadable; restore it: %w", s.number, err)
		}
	}
	segments, names, err := t.chain(s, head.Segment)
	if err != nil {
		return err
	}
	t.count(func(st *Stats) { st.Rebuilds++ })
	s.adopt(segments, names)
	for _, c := range head.Claims {
		s.index[c.Key] = c
	}
	s.version, s.seen, s.head, s.loaded = o.Version, o.Version, head, true
	return nil
}

// chain returns the unknown segments, newest first, back to a known one or to the end of the retention.
func (t *Table) chain(s *shard, from wirePointer) ([]wireSegment, []string, error) {
	var segments []wireSegment
	var names []string
	cutoff := t.now().Add(-Retention).UnixMilli()
	for p := from; p.Name != "" && p.Until >= cutoff && !s.known[p.Name]; p = segments[len(segments)-1].Previous {
		o, err := t.get(p.Name)
		if err != nil {
			return nil, nil, err
		}
		var segment wireSegment
		if err := json.Unmarshal(o.Value, &segment); err != nil {
			return nil, nil, fmt.Errorf("segment %s is unreadable; its shard refuses claims until it is restored or %s old: %w", p.Name, Retention, err)
		}
		segments = append(segments, segment)
		names = append(names, p.Name)
	}
	return segments, names, nil
}

// adopt adds segments to the index, oldest first, so that newer claims override older ones.
func (s *shard) adopt(segments []wireSegment, names []string) {
	if s.index == nil {
		s.index, s.known = map[string]wireClaim{}, map[string]bool{}
	}
	for i, segment := range slices.Backward(segments) {
		s.known[names[i]] = true
		for _, c := range segment.Claims {
			s.index[c.Key] = c
		}
	}
}

func (t *Table) get(name string) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return t.Store.Get(ctx, Kind, name)
}

func encode(h wireHead) ([]byte, error) { return json.Marshal(h) }
