package objectapi

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// memoryWatchLimit is how long Memory holds a watch that has nothing to report.
const memoryWatchLimit = 30 * time.Second

// historyKept is the number of earlier values that Memory keeps of an object for lagging reads.
const historyKept = 16

var (
	errDown  = errors.New("injected outage")
	errReply = errors.New("injected loss of the reply")
)

// Memory is a linearizable Store in process, with injected faults. Its zero value is ready for use.
type Memory struct {
	// WatchLimit is the longest wait of a watch; 30 s if 0. Set before use.
	WatchLimit time.Duration

	mu      sync.Mutex
	rule    Rule
	version int64
	// objects holds the values of each object, oldest first; the last one is current and none is empty.
	objects map[id][]record
	// changed is closed and replaced at every write.
	changed chan struct{}
	counts  Counts
	// held are the writes whose effect waits for Deliver, oldest first.
	held []func()
}

type id struct{ kind, name string }

type record struct {
	version int64
	value   []byte
	deleted bool
}

// Inject sets the rule that decides the fault of each call; nil for none.
func (m *Memory) Inject(rule Rule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rule = rule
}

// Counts returns the number of calls of each kind since the start. A waiting watch counts as one call.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Deliver lets the writes that were held back take effect, oldest first, if their versions still match. It returns their number.
func (m *Memory) Deliver() int {
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
	o, ok := m.read(id{kind, name}, f.Behind)
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
	out, _ := m.newer(kind, 0, f.Behind)
	for i := range out {
		out[i].Value = nil
	}
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	if err := pause(ctx, f.Slow/2); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return out, nil
}

// Watch implements Store. Objects come in the order of their versions. Deletions are not reported.
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
		out, next := m.newer(kind, after, f.Behind)
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

// begin counts a call, decides its fault, and waits for the first half of a slow call.
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
	if f.Down {
		return f, &UnavailableError{Retry: time.Second, Cause: errDown}
	}
	return f, nil
}

func (m *Memory) write(ctx context.Context, op Op, o Object) (int64, error) {
	f, err := m.begin(ctx, Call{Op: op, Kind: o.Kind, Name: o.Name})
	if err != nil {
		return 0, err
	}
	lost := &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: errReply}
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

// apply does a conditional write at one instant.
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
	if len(records) > historyKept {
		records = slices.Clone(records[len(records)-historyKept:])
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

// read returns an object as it stood a number of writes ago.
func (m *Memory) read(key id, behind int64) (Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at(key, m.version-behind)
}

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

// newer returns the objects of a kind above a version in the order of their versions, as they stood a number of writes ago.
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
