package decision

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets into which a set is divided for comparison with another set.
// If a record differs, only the records of its bucket are transferred, not the whole set.
const BucketCount = 32

type key struct {
	kind Kind
	name string
}

// Set holds the records that one router knows. It is not safe for concurrent use.
type Set struct {
	records map[key]Record
	// digests caches the digest of each bucket; it is out of date while dirty is set.
	digests [BucketCount]uint32
	dirty   bool
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{records: map[key]Record{}} }

// Change is a record that a merge changed.
type Change struct {
	Record
	// NewCrashes holds the IDs of the crashes that were not known before, sorted.
	NewCrashes []string
}

// Merge merges records from another router or from the object API into the set and returns those
// that changed. Invalid and expired records are ignored. Then it calls Prune.
func (s *Set) Merge(now time.Time, records []Record) []Change {
	var changed []Change
	for _, in := range records {
		if !in.valid() || in.expired(now) {
			continue
		}
		k := key{in.Kind, in.Name}
		old, known := s.records[k]
		merged := merge(old, in)
		merged.Kind, merged.Name = in.Kind, in.Name
		if known && merged.Equal(old) {
			continue
		}
		c := Change{Record: merged}
		for crash := range merged.Crashes {
			if _, ok := old.Crashes[crash]; !ok {
				c.NewCrashes = append(c.NewCrashes, crash)
			}
		}
		slices.Sort(c.NewCrashes)
		s.records[k] = merged
		s.dirty = true
		changed = append(changed, c)
	}
	s.Prune(now)
	return changed
}

// Decide records a decision of an operator or of this router and returns the record to send to the
// other routers. If on is true, the drain or quarantine is set, otherwise it is revoked. The time
// of the decision is later than that of every decision and crash known for the name, so that an
// operator can override an earlier decision even if this router's clock is behind.
func (s *Set) Decide(now time.Time, kind Kind, name string, on bool, reason string) Record {
	r := Record{Kind: kind, Name: name, Reason: truncateReason(reason)}
	at := max(now.UnixNano(), s.records[key{kind, name}].LastUpdate()+1)
	if on {
		r.SetAt = at
	} else {
		r.RevokedAt = at
	}
	s.Merge(now, []Record{r})
	return r
}

func truncateReason(reason string) string {
	if len(reason) <= MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:MaxReasonBytes], "")
}

// Get returns the record with the given kind and name, and whether there is one.
func (s *Set) Get(kind Kind, name string) (Record, bool) {
	r, ok := s.records[key{kind, name}]
	return r, ok
}

// Records returns the records of a kind, sorted by name.
func (s *Set) Records(kind Kind) []Record {
	var out []Record
	for k, r := range s.records {
		if k.kind == kind {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func compareKeys(a, b Record) int {
	return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
}

// Prune deletes expired records. If a kind still has more than MaxRecords, it deletes the excess:
// first the inactive records, then the active ones, each from the oldest.
func (s *Set) Prune(now time.Time) {
	counts := map[Kind]int{}
	for k, r := range s.records {
		if r.expired(now) {
			delete(s.records, k)
			s.dirty = true
			continue
		}
		counts[k.kind]++
	}
	for kind, count := range counts {
		if count <= MaxRecords {
			continue
		}
		list := s.Records(kind)
		slices.SortStableFunc(list, func(a, b Record) int {
			return cmp.Or(compareBools(a.IsActive(), b.IsActive()), cmp.Compare(a.LastUpdate(), b.LastUpdate()))
		})
		for _, r := range list[:count-MaxRecords] {
			delete(s.records, key{kind, r.Name})
		}
		s.dirty = true
	}
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Digests returns the digest of each bucket. Sets with equal records have equal digests.
func (s *Set) Digests() [BucketCount]uint32 {
	if !s.dirty {
		return s.digests
	}
	s.digests, s.dirty = [BucketCount]uint32{}, false
	for k, r := range s.records {
		s.digests[bucketOf(k)] ^= uint32(r.hash())
	}
	return s.digests
}

// Digest returns the digest of the whole set, or 0 if it is empty.
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

// Differing returns the records in the buckets whose digests differ from those of another set,
// sorted by kind and name.
func (s *Set) Differing(digests []uint32) []Record {
	local := s.Digests()
	var out []Record
	for k, r := range s.records {
		if i := bucketOf(k); i >= len(digests) || local[i] != digests[i] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func bucketOf(k key) int { return int(xxhash.Sum64String(string(k.kind)+"/"+k.name) % BucketCount) }

func (r Record) hash() uint64 {
	h := xxhash.New()
	write := func(text string, number int64) {
		// Writes to a hash never return an error.
		_, _ = h.Write(binary.BigEndian.AppendUint64(binary.AppendUvarint(nil, uint64(len(text))), uint64(number)))
		_, _ = h.WriteString(text)
	}
	write(string(r.Kind), 0)
	write(r.Name, r.SetAt)
	write(r.Account, r.RevokedAt)
	write(r.Reason, int64(len(r.Crashes)))
	var crashes []string
	for crash := range r.Crashes {
		crashes = append(crashes, crash)
	}
	slices.Sort(crashes)
	for _, crash := range crashes {
		write(crash, r.Crashes[crash])
	}
	return h.Sum64()
}
