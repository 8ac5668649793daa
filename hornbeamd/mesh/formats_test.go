package mesh

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
)

// withoutSlots returns fullMessage without the question for a slot, which earlier formats lack.
func withoutSlots() presence.Message {
	m := fullMessage
	p := *m.Permit
	p.NeedsSlot, p.MaxHold, p.Releases, p.Ending = false, 0, 0, 0
	m.Permit = &p
	return m
}

// messageIn returns what is left of fullMessage in a format.
func messageIn(format int) presence.Message {
	m := fullMessage
	if format < slotsFormat {
		m = withoutSlots()
	}
	m.Records = append([]presence.AgedRecord(nil), m.Records...)
	m.Records[0].Format = format
	if format < slotsFormat {
		m.Records[0].Brittle = nil
	}
	if format < demandsFormat {
		m.Records[0].Evacuated, m.Records[0].Overloads = presence.Evacuated{}, nil
		m.Permit.Cold, m.Permit.PerSecond = false, 0
		o := *m.Origin
		o.Several = false
		m.Origin = &o
	}
	m.Format = format
	return m
}

// Guards against changes of a released format, which routers of that release would not read any more, and
// against datagrams of such routers that are not read.
func TestReleasedFormats(t *testing.T) {
	for format := oldestFormat; format <= newestFormat; format++ {
		t.Run(fmt.Sprint(format), func(t *testing.T) {
			c := qt.New(t)
			// Recorded from the release that introduced the format.
			released, err := os.ReadFile(fmt.Sprintf("testdata/formats/%d.datagram", format))
			c.Assert(err, qt.IsNil)
			got, err := decode(released)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, messageIn(format))
			sent := fullMessage
			if format < slotsFormat {
				sent = withoutSlots()
			}
			written, err := encode(sent, format)
			c.Assert(err, qt.IsNil)
			c.Assert(written, qt.DeepEquals, released)
		})
	}
}

// Guards against a question for a slot that a router of an earlier release takes for one which it can grant.
func TestSlotsNeedFormat(t *testing.T) {
	c := qt.New(t)
	for _, p := range []presence.Permit{{NeedsSlot: true}, {Releases: 7}} {
		_, err := encode(presence.Message{Kind: presence.PermitRequest, From: "a", Permit: &p}, slotsFormat-1)
		c.Assert(err, qt.Equals, errNotInFormat)
	}
}

// Guards against datagrams in a format that their receiver does not read, against formats without limit in
// memory, and against a router that is never written to in the format of an earlier release.
func TestPeerFormats(t *testing.T) {
	c := qt.New(t)
	var p peerFormats
	now := time.Now()
	c.Assert(p.of(now, "a"), qt.DeepEquals, []int{23, 22, 21})
	p.record(now, "b", 22)
	c.Assert(p.of(now, "a"), qt.DeepEquals, []int{23, 22})
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{23, 22}, qt.Commentf("it may read the newest one"))
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{22})
	p.record(now, "b", 23)
	p.record(now.Add(time.Millisecond), "b", 21)
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{23}, qt.Commentf("it does not know yet what this router reads"))
	now = now.Add(rollbackTime)
	p.record(now, "b", 22)
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{23, 22}, qt.Commentf("it was replaced by an earlier release"))
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{22})
	now = now.Add(2 * formatTTL)
	p.record(now, "c", 23)
	c.Assert(p.of(now, "a"), qt.DeepEquals, []int{23})
	c.Assert(p.of(now, "b"), qt.DeepEquals, []int{23})
	for i := range 3 * maxKnownFormats {
		p.record(now, fmt.Sprint(i), 23)
	}
	c.Assert(len(p.known) <= maxKnownFormats, qt.IsTrue)
}

// Guards against two routers of this release that stay at an earlier format, because the first datagrams
// in the newest one were lost.
func TestRoutersLeaveEarlierFormat(t *testing.T) {
	c := qt.New(t)
	var a, b peerFormats
	now := time.Now()
	// Only the one in the oldest format arrives.
	c.Assert(a.of(now, "b")[0], qt.Equals, newestFormat)
	b.record(now, "a", oldestFormat)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		for _, format := range b.of(now, "a") {
			a.record(now, "b", format)
		}
		for _, format := range a.of(now, "b") {
			b.record(now, "a", format)
		}
	}
	c.Assert(a.of(now, "b"), qt.DeepEquals, []int{newestFormat})
	c.Assert(b.of(now, "a"), qt.DeepEquals, []int{newestFormat})
}
