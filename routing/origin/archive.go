package origin

import (
	"slices"
	"time"
)

const (
	// archiveWindow is the time for which the origins of the streams that begin are written to the
	// same slot, and ArchiveSlots the number of slots. After that, a slot is overwritten.
	archiveWindow = 2 * time.Second
	// ArchiveSlots is the number of slots. They hold the origins of the streams that began within
	// half a minute, which is longer than most streams last.
	ArchiveSlots = 16
	// archiveInterval is the least time between two writes.
	archiveInterval = 200 * time.Millisecond
)

// Batch holds the origins of the streams that began within one window.
type Batch struct {
	// Window numbers the windows since 1970.
	Window  int64
	Streams map[Build][]Stream
}

// Slot returns the slot of the batch.
func (b Batch) Slot() int { return int(uint64(b.Window) % ArchiveSlots) }

// With returns the batch with the streams of another one of the same window.
func (b Batch) With(o Batch) Batch {
	out := Batch{Window: b.Window, Streams: map[Build][]Stream{}}
	for _, streams := range []map[Build][]Stream{b.Streams, o.Streams} {
		for build, list := range streams {
			out.Streams[build] = append(slices.Clone(out.Streams[build]), list...)
		}
	}
	for build, list := range out.Streams {
		slices.Sort(list)
		out.Streams[build] = slices.Compact(list)
	}
	return out
}

// Size returns the number of streams in the batch.
func (b Batch) Size() int {
	n := 0
	for _, list := range b.Streams {
		n += len(list)
	}
	return n
}

// Archiver collects the origins that one router writes to the store on behalf of all, while streams
// may be in progress at several versions of a service. It is not safe for concurrent use.
type Archiver struct {
	// current holds all streams of the current window, and isDirty is true if some of them have not
	// been returned by Due. late is the previous window, if it has such streams.
	current Batch
	late    *Batch
	isDirty bool
	sentAt  time.Time
}

// Add adds the origin of a stream.
func (a *Archiver) Add(now time.Time, stream Stream, build Build) {
	if window := now.UnixMilli() / archiveWindow.Milliseconds(); a.current.Streams == nil || window != a.current.Window {
		if a.isDirty {
			late := a.current
			a.late = &late
		}
		a.current = Batch{Window: window, Streams: map[Build][]Stream{}}
	}
	a.current.Streams[build] = append(a.current.Streams[build], stream)
	a.isDirty = true
}

// Due returns a batch to write now; false if there is none.
func (a *Archiver) Due(now time.Time) (Batch, bool) {
	if a.late != nil {
		late := *a.late
		a.late = nil
		return late, true
	}
	if !a.isDirty || now.Sub(a.sentAt) < archiveInterval {
		return Batch{}, false
	}
	a.isDirty, a.sentAt = false, now
	return a.current.With(Batch{}), true
}
