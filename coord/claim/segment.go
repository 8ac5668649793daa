package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

const (
	// fan is the number of segments of one level that become one of the next. A shard with 30 minutes of claims then takes about a
	// tenth of the reads, while each claim is written to at most four segments.
	fan = 4
	// maxLevel ends the merging at 64 segments of 4 KB.
	maxLevel = 3
	// maxSegment keeps merged segments far below objectapi.MaxValue.
	maxSegment = 512 << 10
)

// seal writes the claims of the head record into a segment. The head record is not changed yet.
func (t *Table) seal(s *shard, now int64) (wirePointer, error) {
	if s.sealedVersion == s.version && s.sealed.Name != "" {
		return s.sealed, nil
	}
	segment, level := t.merge(wireSegment{Previous: s.head.Segment, Claims: s.head.Claims}, now)
	value, err := json.Marshal(segment)
	if err != nil {
		return wirePointer{}, err
	}
	// Equal segments have equal names, so a repeated seal writes nothing new. The time lets Sweep delete segments without reading them.
	sum := sha256.Sum256(value)
	name := fmt.Sprintf("segment-%02d-%d-%s", s.number, s.head.At, base64.RawURLEncoding.EncodeToString(sum[:12]))
	pointer := wirePointer{Name: name, Until: s.head.At, Level: level, Run: 1}
	if previous := segment.Previous; previous.Name != "" && previous.Level == level {
		pointer.Run = previous.Run + 1
	}
	if err := t.create(name, value); err != nil {
		// Nothing refers to the segment yet, so the batch surely had no effect whether the segment exists or not.
		return wirePointer{}, &objectapi.UnavailableError{Retry: time.Second, Cause: err}
	}
	t.count(func(st *Stats) { st.Seals++ })
	s.sealed, s.sealedVersion = pointer, s.version
	return pointer, nil
}

func (t *Table) create(name string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := t.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: name, Value: value})
	var conflict *objectapi.ConflictError
	var ambiguous *objectapi.AmbiguousError
	switch {
	case errors.As(err, &conflict):
		return nil
	case errors.As(err, &ambiguous):
		_, err = t.get(name)
	}
	return err
}

// merge adds the previous segments to a new one while there are enough of one level. If they can not be read, the new segment stays as
// it is, and a later one merges them.
func (t *Table) merge(segment wireSegment, now int64) (wireSegment, int) {
	level := 0
	for level < maxLevel && segment.Previous.Level == level && segment.Previous.Run >= fan-1 {
		merged, ok := t.absorb(segment, now)
		if !ok {
			break
		}
		segment = merged
		level++
	}
	return segment, level
}

// absorb adds the previous fan-1 segments to a segment.
func (t *Table) absorb(segment wireSegment, now int64) (wireSegment, bool) {
	parts := [][]wireClaim{segment.Claims}
	previous := segment.Previous
	size := 0
	for range fan - 1 {
		o, err := t.get(previous.Name)
		if err != nil {
			return wireSegment{}, false
		}
		var older wireSegment
		if json.Unmarshal(o.Value, &older) != nil {
			return wireSegment{}, false
		}
		size += len(o.Value)
		parts = append(parts, older.Claims)
		previous = older.Previous
	}
	if size > maxSegment {
		return wireSegment{}, false
	}
	return wireSegment{Previous: previous, Claims: latest(parts, now)}, true
}

// latest returns the newest claim of each key, oldest first. The parts are in the order from the newest to the oldest.
func latest(parts [][]wireClaim, now int64) []wireClaim {
	seen := map[string]bool{}
	var out []wireClaim
	for _, part := range parts {
		for _, c := range slices.Backward(part) {
			if !seen[c.Key] && !c.expired(now) {
				out = append(out, c)
			}
			seen[c.Key] = true
		}
	}
	slices.Reverse(out)
	return out
}
