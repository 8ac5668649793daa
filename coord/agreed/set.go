package agreed

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts that two sets are compared by: a difference costs one part of the records.
const Buckets = 32

type key struct {
	kind Kind
	name string
}

// Set is what one router knows. It is not safe for concurrent use.
type Set struct {
	records map[key]Record
	// digests are those of the buckets, valid unless dirty.
	digests [Buckets]uint32
	dirty   bool
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{records: map[key]Record{}} }

// Change is a record that a merge changed.
type Change struct {
	Record
	// New are the marks that were not known before.
	New []string
}

// Merge takes the records of another router or of the object API. Records that exceed a bound are ignored.
func (s *Set) Merge(now time.Time, records []Record) []Change {
	var changed []Change
	for _, in := range records {
		if !in.valid() || in.expired(now) {
			continue
		}
		k := key{in.Kind, in.Name}
		old, known := s.records[k]
		next := merge(old, in)
		next.Kind, next.Name = in.Kind, in.Name
		if known && next.Equal(old) {
			continue
		}
		c := Change{Record: next}
		for mark := range next.Marks {
			if _, ok := old.Marks[mark]; !ok {
				c.New = append(c.New, mark)
			}
		}
		slices.Sort(c.New)
		s.records[k] = next
		s.dirty = true
		changed = append(changed, c)
	}
	s.Tidy(now)
	return changed
}

// Decide records a decision of an operator or of this router and returns the record to tell the others. It is later than every
// decision known here, so that an operator's order prevails over the one it answers, even if this router's clock is behind.
func (s *Set) Decide(now time.Time, kind Kind, name string, on bool, reason string) Record {
	r := Record{Kind: kind, Name: name, Reason: shorten(reason)}
	at := max(now.UnixNano(), s.records[key{kind, name}].Last()+1)
	if on {
		r.On = at
	} else {
		r.Off = at
	}
	s.Merge(now, []Record{r})
	return r
}

func shorten(reason string) string {
	if len(reason) <= MaxReason {
		return reason
	}
	return strings.ToValidUTF8(reason[:MaxReason], "")
}

// Get returns the record of a name.
func (s *Set) Get(kind Kind, name string) (Record, bool) {
	r, ok := s.records[key{kind, name}]
	return r, ok
}

// Records returns the records of a kind, in the order of their names.
func (s *Set) Records(kind Kind) []Record {
	var out []Record
	for k, r := range s.records {
		if k.kind == kind {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b Record) int {
	return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
}

// Tidy forgets what has expired and, of a kind with too many records, first the oldest that are not in force.
func (s *Set) Tidy(now time.Time) {
	counts := map[Kind]int{}
	for k, r := range s.records {
		if r.expired(now) {
			delete(s.records, k)
			s.dirty = true
			continue
		}
		counts[k.kind]++
	}
	for kind, n := range counts {
		if n <= MaxRecords {
			continue
		}
		list := s.Records(kind)
		slices.SortStableFunc(list, func(a, b Record) int {
			return cmp.Or(compare(a.InForce(), b.InForce()), cmp.Compare(a.Last(), b.Last()))
		})
		for _, r := range list[:n-MaxRecords] {
			delete(s.records, key{kind, r.Name})
		}
		s.dirty = true
	}
}

func compare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Digests returns a digest of each bucket; they are equal for equal sets.
func (s *Set) Digests() [Buckets]uint32 {
	if !s.dirty {
		return s.digests
	}
	s.digests, s.dirty = [Buckets]uint32{}, false
	for k, r := range s.records {
		s.digests[bucket(k)] ^= uint32(r.hash())
	}
	return s.digests
}

// Digest returns a digest of the set, 0 for an empty one.
func (s *Set) Digest() uint64 {
	if len(s.records) == 0 {
		return 0
	}
	var raw []byte
	for _, d := range s.Digests() {
		raw = binary.BigEndian.AppendUint32(raw, d)
	}
	return xxhash.Sum64(raw)
}

// Differing returns the records of the buckets whose digests differ from another set's.
func (s *Set) Differing(digests []uint32) []Record {
	own := s.Digests()
	var out []Record
	for k, r := range s.records {
		if i := bucket(k); i >= len(digests) || own[i] != digests[i] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

func bucket(k key) int { return int(xxhash.Sum64String(string(k.kind)+"/"+k.name) % Buckets) }

func (r Record) hash() uint64 {
	h := xxhash.New()
	write := func(text string, at int64) {
		// A write to a hash does not fail.
		_, _ = h.Write(binary.BigEndian.AppendUint64(binary.AppendUvarint(nil, uint64(len(text))), uint64(at)))
		_, _ = h.WriteString(text)
	}
	write(string(r.Kind), 0)
	write(r.Name, r.On)
	write(r.Account, r.Off)
	write(r.Reason, int64(len(r.Marks)))
	var marks []string
	for mark := range r.Marks {
		marks = append(marks, mark)
	}
	slices.Sort(marks)
	for _, mark := range marks {
		write(mark, r.Marks[mark])
	}
	return h.Sum64()
}
