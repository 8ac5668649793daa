package claim

import (
	"fmt"
	"time"
)

// storedClaim is the stored form of a claim. Times are Unix times in milliseconds.
type storedClaim struct {
	Key   string `json:"key"`
	Token Token  `json:"token"`
	State State  `json:"state"`
	// FingerprintHash is the result of Key.fingerprintHash.
	FingerprintHash string `json:"print"`
	// At is the time of the last change.
	At       int64  `json:"at"`
	Deadline int64  `json:"deadline"`
	Answer   []byte `json:"answer,omitempty"`
}

func (w storedClaim) expired(now int64) bool { return w.At+Retention.Milliseconds() < now }

// immutable reports whether the claim never changes again.
func (w storedClaim) immutable() bool { return w.State == Done || w.State == Unknown }

// toClaim returns the claim as it is reported at time now.
func (w storedClaim) toClaim(now int64) Claim {
	c := Claim{Token: w.Token, State: w.State, Deadline: time.UnixMilli(w.Deadline), Answer: w.Answer}
	if c.State == Claimed && now >= w.Deadline {
		c.State = Unknown
	}
	return c
}

// segmentPointer refers to a segment. Until is the time of its newest claim.
type segmentPointer struct {
	Name  string `json:"name,omitempty"`
	Until int64  `json:"until,omitempty"`
	// Level is 0 for a segment that was not merged, and n+1 for one that was merged from segments of
	// level n. RunLength is the number of consecutive segments of this level in the linked list, up
	// to and including this one.
	Level     int `json:"level,omitempty"`
	RunLength int `json:"run,omitempty"`
}

// headRecord is the head record of a shard.
type headRecord struct {
	// At is the latest time ever written to the shard. It never decreases, even if the clock of the
	// next owner is behind.
	At      int64          `json:"at"`
	Segment segmentPointer `json:"segment"`
	// Claims has at most one claim per key. They override the claims of the segments.
	Claims []storedClaim `json:"claims"`
}

// storedSegment is an immutable part of a shard. Its claims override those of the previous
// segments.
type storedSegment struct {
	Previous segmentPointer `json:"previous"`
	Claims   []storedClaim  `json:"claims"`
}

// withChanges returns the head record with the changes of a plan and without expired claims.
func (h headRecord) withChanges(p plan) headRecord {
	changed := make(map[string]bool, len(p.changes))
	for _, c := range p.changes {
		changed[c.Key] = true
	}
	out := headRecord{At: p.at, Segment: h.Segment, Claims: make([]storedClaim, 0, len(h.Claims)+len(p.changes))}
	for _, c := range h.Claims {
		if !changed[c.Key] && !c.expired(p.now) {
			out.Claims = append(out.Claims, c)
		}
	}
	out.Claims = append(out.Claims, p.changes...)
	return out
}

// segmentTime returns the time in the name of a segment, and false if the object is not a segment.
func segmentTime(name string) (int64, bool) {
	var shard int
	var at int64
	n, err := fmt.Sscanf(name, "segment-%d-%d-", &shard, &at)
	return at, err == nil && n == 2
}

func headName(shard int) string { return fmt.Sprintf("head-%02d", shard) }
