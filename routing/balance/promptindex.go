package balance

import "time"

// prefixBuckets is the maximum number of prompt prefixes that are remembered. Forgetting one can
// cause a cache transfer that was not needed.
const prefixBuckets = 1 << 14

// serversPerPrefix is the number of servers that are remembered for each prefix.
const serversPerPrefix = 4

// promptIndex records to which servers this router sent requests with each shared prompt prefix. A
// prefix is identified by its hash; see PrefixHashes. The size of the index is fixed: a new prefix
// replaces the previous one in its bucket.
type promptIndex struct {
	entries []prefixEntry
}

type prefixEntry struct {
	prefix uint64
	// servers holds the servers as returned by entry.incarnation.
	servers [serversPerPrefix]uint64
	// next is the count of recorded servers; modulo serversPerPrefix it is the index that is
	// overwritten next.
	next     uint8
	requests rate
}

func newPromptIndex() *promptIndex { return &promptIndex{entries: make([]prefixEntry, prefixBuckets)} }

func (idx *promptIndex) bucket(prefix uint64) *prefixEntry {
	return &idx.entries[mix(prefix)%prefixBuckets]
}

// has reports whether the index records that a request with the prefix was sent to the server.
func (idx *promptIndex) has(prefix, server uint64) bool {
	e := idx.bucket(prefix)
	if e.prefix != prefix {
		return false
	}
	for _, s := range e.servers {
		if s == server {
			return true
		}
	}
	return false
}

// rate returns the rate of this router's requests with the prefix, per second.
func (idx *promptIndex) rate(now time.Time, prefix uint64) float64 {
	if e := idx.bucket(prefix); e.prefix == prefix {
		return e.requests.perSecond(now)
	}
	return 0
}

// count counts a request with the prefix, if the prefix has an entry.
func (idx *promptIndex) count(now time.Time, prefix uint64) {
	if e := idx.bucket(prefix); e.prefix == prefix {
		e.requests.count(now)
	}
}

// put records that a request with the prefix is sent to the server.
func (idx *promptIndex) put(prefix, server uint64) {
	if idx.has(prefix, server) {
		return
	}
	e := idx.bucket(prefix)
	if e.prefix != prefix {
		*e = prefixEntry{prefix: prefix}
	}
	e.servers[e.next%serversPerPrefix] = server
	e.next++
}
