package objectapi

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// memoryWatchLimit is the default time that a watch on Memory waits for a change.
const memoryWatchLimit = 30 * time.Second

// maxRecords is the number of values that Memory keeps of each object, so that reads can return
// stale ones.
const maxRecords = 16

var (
	errOutage    = errors.New("injected outage")
	errReplyLost = errors.New("injected loss of the reply")
)

// Memory is a linearizable in-memory Store that can inject faults. Its zero value is ready for use.
type Memory struct {
	// WatchLimit limits how long a watch waits; 30 s if 0. Set it before use.
	WatchLimit time.Duration

	mu      sync.Mutex
	rule    FaultRule
	version int64
	// objects holds the records of each object, oldest first. The last record is the current one,
	// and no list is empty.
	objects map[id][]record
	// changed is closed and replaced at every write.
	changed chan struct{}
	counts  Counts
	// held contains the writes to be applied by ApplyHeld, oldest first.
	held []func()
}

type id struct{ kind, name string }

type record struct {
	version int64
	value   []byte
	deleted bool
}

// Inject sets the rule that chooses the fault of each call; nil injects no faults.
func (m *Memory) Inject(rule FaultRule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rule = rule
}

// Counts returns the number of calls by operation since the store was created. A waiting watch
// counts as one call.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// ApplyHeld applies the held writes, oldest first, each only if its version still matches. It
// returns the number of held writes.
func (m *Memory) ApplyHeld() int {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	for _, apply := range held {
		apply()
	}
	return len(held)
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, kind, name string) (Object, error) {
	f, err := m.begin(ctx, Call{Op: OpGet, Kind: kind, Name: name})
	if err != nil {
		return Object{}, err
	}
	o, ok := m.read(id{kind, name}, f.WritesBehind)
	if err := pause(ctx, f.Slow/2); err != nil {
		return Object{}, &UnavailableError{Cause: err}
	}
	if !ok {
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	}
	return o, nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, o Object) (int64, error) {
	if len(o.Value) > MaxValue {
		return 0, &TooLargeError{Kind: o.Kind, Name: o.Name, Size: len(o.Value)}
	}
	o.Value = slices.Clone(o.Value)
	return m.write(ctx, OpPut, o)
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, kind, name string, version int64) error {
	_, err := m.write(ctx, OpDelete, Object{Kind: kind, Name: name, Version: version})
	return err
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind string) ([]Object, error) {
	f, err := m.begin(ctx, Call{Op: OpList, Kind: kind})
	if err != nil {
		return nil, err
	}
	out, _ := m.newer(kind, 0, f.WritesBehind)
	for i := range out {
		out[i].Value = nil
	}
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	if err := pause(ctx, f.Slow/2); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return out, nil
}

// Watch implements Store. It returns objects in the order of their versions and does not report
// deletions.
func (m *Memory) Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error) {
	f, err := m.begin(ctx, Call{Op: OpWatch, Kind: kind})
	if err != nil {
		return nil, after, err
	}
	limit := time.NewTimer(m.watchLimit())
	defer limit.Stop()
	for {
		m.mu.Lock()
		changed := m.signal()
		m.mu.Unlock()
		out, next := m.newer(kind, after, f.WritesBehind)
		if len(out) > 0 {
			return out, next, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, max(after, next), nil
		case <-ctx.Done():
			return nil, after, &UnavailableError{Cause: ctx.Err()}
		}
	}
}

func (m *Memory) watchLimit() time.Duration {
	if m.WatchLimit > 0 {
		return m.WatchLimit
	}
	return memoryWatchLimit
}

// begin counts a call, chooses its fault, and waits for the first half of an injected delay.
func (m *Memory) begin(ctx context.Context, c Call) (Fault, error) {
	m.mu.Lock()
	c.N = m.counts.add(c.Op)
	var f Fault
	if m.rule != nil {
		f = m.rule(c)
	}
	m.mu.Unlock()
	if err := pause(ctx, f.Slow/2); err != nil {
		return f, &UnavailableError{Cause: err}
	}
	if f.Unavailable {
		return f, &UnavailableError{Retry: time.Second, Cause: errOutage}
	}
	return f, nil
}

func (m *Memory) write(ctx context.Context, op Op, o Object) (int64, error) {
	f, err := m.begin(ctx, Call{Op: op, Kind: o.Kind, Name: o.Name})
	if err != nil {
		return 0, err
	}
	lost := &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: errReplyLost}
	apply := func() { _, _ = m.apply(op, o) }
	switch {
	case f.Hold:
		m.mu.Lock()
		m.held = append(m.held, apply)
		m.mu.Unlock()
		return 0, lost
	case f.Late > 0:
		time.AfterFunc(f.Late, apply)
		return 0, lost
	}
	version, err := m.apply(op, o)
	if f.Lost {
		return 0, lost
	}
	if ctxErr := pause(ctx, f.Slow/2); ctxErr != nil {
		lost.Cause = ctxErr
		return 0, lost
	}
	return version, err
}

// apply performs a conditional write atomically.
func (m *Memory) apply(op Op, o Object) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := id{o.Kind, o.Name}
	var have int64
	if last, ok := m.last(key); ok && !last.deleted {
		have = last.version
	}
	if op == OpDelete && have == 0 {
		return 0, &NotFoundError{Kind: o.Kind, Name: o.Name}
	}
	if have != o.Version {
		return 0, &ConflictError{Kind: o.Kind, Name: o.Name, Want: o.Version, Have: have}
	}
	if m.objects == nil {
		m.objects = map[id][]record{}
	}
	m.version++
	records := append(m.objects[key], record{version: m.version, value: o.Value, deleted: op == OpDelete})
	if len(records) > maxRecords {
		records = slices.Clone(records[len(records)-maxRecords:])
	}
	m.objects[key] = records
	close(m.signal())
	m.changed = nil
	return m.version, nil
}

// signal returns the channel that the next write closes. The caller holds mu.
func (m *Memory) signal() chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func (m *Memory) last(key id) (record, bool) {
	records := m.objects[key]
	if len(records) == 0 {
		return record{}, false
	}
	return records[len(records)-1], true
}

// read returns an object in its state of a number of writes ago.
func (m *Memory) read(key id, behind int64) (Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at(key, m.version-behind)
}

// at returns an object in its state at a version of the store. The caller holds mu.
func (m *Memory) at(key id, version int64) (Object, bool) {
	for _, r := range slices.Backward(m.objects[key]) {
		if r.version > version {
			continue
		}
		if r.deleted {
			return Object{}, false
		}
		return Object{Kind: key.kind, Name: key.name, Version: r.version, Value: slices.Clone(r.value)}, true
	}
	return Object{}, false
}

// newer returns the objects of a kind with a version above after, ordered by version, in their
// state of a number of writes ago. It also returns the version of that state.
func (m *Memory) newer(kind string, after, behind int64) ([]Object, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.version - behind
	var out []Object
	for key := range m.objects {
		if key.kind != kind {
			continue
		}
		if o, ok := m.at(key, seen); ok && o.Version > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return int(a.Version - b.Version) })
	return out, seen
}

// pause waits for d, or returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
