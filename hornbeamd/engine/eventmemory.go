package engine

import "sync/atomic"

const (
	// DefaultEventMemory is the size of the EventMemory of Options that have none, in bytes.
	DefaultEventMemory = 32 << 20
	// uncountedBytes is the size up to which a buffer is not counted.
	uncountedBytes = 4 << 10
)

// EventMemory limits the sum of the events that the streams of one or more clients hold in memory.
// The limit on a single event doesn't bound the memory of many concurrent streams.
type EventMemory struct{ available atomic.Int64 }

// NewEventMemory returns an EventMemory of the given size in bytes.
func NewEventMemory(size int) *EventMemory {
	m := &EventMemory{}
	m.available.Store(int64(size))
	return m
}

// eventBuffer is a buffer whose capacity counts toward an EventMemory.
type eventBuffer struct {
	memory *EventMemory
	bytes  []byte
}

// counted returns the part of a capacity that counts.
func counted(capacity int) int64 {
	if capacity <= uncountedBytes {
		return 0
	}
	return int64(capacity)
}

// appendLine appends a line, with a line feed before it if there are others. It returns false if there
// is no memory for it.
func (b *eventBuffer) appendLine(line []byte, hasLines bool) bool {
	if len(b.bytes)+1+len(line) > cap(b.bytes) {
		return (!hasLines || b.append([]byte{'\n'})) && b.append(line)
	}
	if hasLines {
		b.bytes = append(b.bytes, '\n')
	}
	b.bytes = append(b.bytes, line...)
	return true
}

// append appends data. It returns false if there is no memory for it.
func (b *eventBuffer) append(data []byte) bool {
	needed := len(b.bytes) + len(data)
	if needed <= cap(b.bytes) {
		b.bytes = append(b.bytes, data...)
		return true
	}
	capacity := max(needed, 2*cap(b.bytes))
	more := counted(capacity) - counted(cap(b.bytes))
	if b.memory.available.Add(-more) < 0 {
		b.memory.available.Add(more)
		return false
	}
	grown := make([]byte, len(b.bytes), capacity)
	copy(grown, b.bytes)
	b.bytes = append(grown, data...)
	return true
}

// reset empties the buffer, and frees it if it counts.
func (b *eventBuffer) reset() {
	b.bytes = b.bytes[:0]
	if size := counted(cap(b.bytes)); size > 0 {
		b.memory.available.Add(size)
		b.bytes = nil
	}
}
