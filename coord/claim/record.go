package claim

import (
	"fmt"
	"time"
)

// wireClaim is the stored form of a claim. Times are in milliseconds since 1970.
type wireClaim struct {
	Key      string `json:"key"`
	Token    Token  `json:"token"`
	State    State  `json:"state"`
	Print    string `json:"print"`
	At       int64  `json:"at"`
	Deadline int64  `json:"deadline"`
	Answer   []byte `json:"answer,omitempty"`
}

func (w wireClaim) expired(now int64) bool { return w.At+Retention.Milliseconds() < now }

// final reports whether the claim never changes again.
func (w wireClaim) final() bool { return w.State == Done || w.State == Unknown }

// read returns the claim as it reads at a time.
func (w wireClaim) read(now int64) Claim {
	c := Claim{Token: w.Token, State: w.State, Deadline: time.UnixMilli(w.Deadline), Answer: w.Answer}
	if c.State == Claimed && now >= w.Deadline {
		c.State = Unknown
	}
	return c
}

// wirePointer names a segment. Until is the time of its newest claim.
type wirePointer struct {
	Name  string `json:"name,omitempty"`
	Until int64  `json:"until,omitempty"`
	// Level counts how often the claims were merged, and Run how many segments of this level follow each other, this one included.
	Level int `json:"level,omitempty"`
	Run   int `json:"run,omitempty"`
}

// wireHead is the head record of a shard.
type wireHead struct {
	// At is the highest time ever written. Times never run back, even if the next owner's clock is behind.
	At      int64       `json:"at"`
	Segment wirePointer `json:"segment"`
	// Claims has each key at most once. They override those of the segments.
	Claims []wireClaim `json:"claims"`
}

// wireSegment is a sealed part of a shard. Its claims override those of the previous ones.
type wireSegment struct {
	Previous wirePointer `json:"previous"`
	Claims   []wireClaim `json:"claims"`
}

// with returns the head with the changes of a plan, without claims whose retention has passed.
func (h wireHead) with(p plan) wireHead {
	changed := make(map[string]bool, len(p.changes))
	for _, c := range p.changes {
		changed[c.Key] = true
	}
	out := wireHead{At: p.at, Segment: h.Segment, Claims: make([]wireClaim, 0, len(h.Claims)+len(p.changes))}
	for _, c := range h.Claims {
		if !changed[c.Key] && !c.expired(p.now) {
			out.Claims = append(out.Claims, c)
		}
	}
	out.Claims = append(out.Claims, p.changes...)
	return out
}

// sealedAt returns the time in the name of a segment.
func sealedAt(name string) (int64, bool) {
	var shard int
	var at int64
	n, err := fmt.Sscanf(name, "segment-%d-%d-", &shard, &at)
	return at, err == nil && n == 2
}

func headName(shard int) string { return fmt.Sprintf("head-%02d", shard) }
