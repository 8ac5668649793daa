package presence_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
)

// Sizes of the parts of a message in bytes, on the wire.
const (
	messageBytes    = 60
	briefBytes      = 60
	completeBytes   = 180
	liveRouterBytes = 7
	loadBytes       = 7
	wantedBytes     = 5
)

// sizeOf returns the approximate size of a message on the wire.
func sizeOf(m presence.Message) int {
	size := messageBytes + wantedBytes*len(m.Wanted)
	for _, r := range m.Records {
		if size += loadBytes * len(r.Loads); r.WithoutIdentity {
			size += briefBytes
		} else {
			size += completeBytes
		}
	}
	for _, z := range m.ZoneLoads {
		size += loadBytes * len(z.Loads)
	}
	if m.Liveness != nil {
		size += messageBytes + liveRouterBytes*len(m.Liveness.Routers)
	}
	return size
}

// newZonedFleet returns a fleet in five zones with three strong routers each, whose routers have
// requests in progress at 15 of 165 backend servers each.
func newZonedFleet(n int) *fleet {
	f := newFleet(0)
	for i := range n {
		loads := map[presence.ServerKey]int{}
		for k := range 15 {
			loads[presence.ServerKey((i*15+k)%165)] = 1
		}
		id := fmt.Sprint("r", i)
		r := presence.Record{
			ID: id, Zone: fmt.Sprint("z", i%5), Boot: 1, Peer: id, Control: id, Front: id, Ready: true, StoreContactAge: -1, Capacity: 0.08, Loads: loads,
		}
		if i >= 40 && i < 55 {
			r.Capacity = 0.8
		}
		f.ids = append(f.ids, id)
		f.ownRecords[id] = r
		f.states[id] = presence.New(presence.DefaultSettings(), r)
	}
	return f
}

// agrees reports whether each live router knows all others.
func (f *fleet) agrees() bool {
	live := 0
	for _, id := range f.ids {
		if !f.dead[id] {
			live++
		}
	}
	for _, id := range f.ids {
		if !f.dead[id] && f.states[id].LiveCount(f.now)+1 != live {
			return false
		}
	}
	return true
}

// Guards against control traffic that grows with the square of the fleet. The targets for 300
// routers are: all know each other within 5 s of a common start, for which a router handles a
// number of records proportional to the fleet; then 30 KB/s for each router and 300 KB/s for the
// busiest. They hold after the fleet has lost all of its strong routers at once, too.
func TestFleetGrowth(t *testing.T) {
	const (
		maxAgreement          = 5 * time.Second
		maxRecordsPerRouter   = 15
		maxMeanBytesPerSecond = 30_000
		maxBytesPerSecond     = 300_000
		window                = 4 * time.Second
	)
	for _, n := range []int{60, 150, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f := newZonedFleet(n)
			started := f.now
			for !f.agrees() {
				c.Assert(f.now.Sub(started) < maxAgreement, qt.IsTrue)
				f.run(50 * time.Millisecond)
			}
			agreed := f.now.Sub(started)
			mostRecords := 0
			for _, id := range f.ids {
				mostRecords = max(mostRecords, f.received[id])
			}
			c.Check(mostRecords <= maxRecordsPerRouter*n, qt.IsTrue, qt.Commentf("%d records", mostRecords))
			f.run(5 * time.Second)
			clear(f.bytes)
			f.run(window)
			mean, most := f.bytesPerSecond(window)
			c.Check(mean <= maxMeanBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes/s at the mean router", mean))
			c.Check(most <= maxBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes/s at the busiest router", most))
			c.Logf("agreement after %v, %d records at the busiest router; then %d bytes/s at the mean, %d at the busiest", agreed, mostRecords, mean, most)
			for _, id := range f.ids[40:55] {
				f.dead[id] = true
			}
			f.run(6 * time.Second)
			f.check(c)
		})
	}
}

// bytesPerSecond returns the bytes that a router has sent, as the mean and for the busiest one.
func (f *fleet) bytesPerSecond(window time.Duration) (mean, most int) {
	total := 0
	for _, n := range f.bytes {
		total += n
		most = max(most, n)
	}
	perSecond := func(n int) int { return int(float64(n) / window.Seconds()) }
	return perSecond(total) / len(f.ids), perSecond(most)
}

// Guards against a restarted router that stays unknown to routers whose hub reports only a
// checksum, and against one that stays in the directory after it has stopped being ready.
func TestFleetChangesBehindChecksum(t *testing.T) {
	c := qt.New(t)
	f := newZonedFleet(60)
	f.run(8 * time.Second)
	notReady, restarted := f.ids[7], f.ids[8]
	r := f.ownRecords[notReady]
	r.Ready = false
	f.ownRecords[notReady] = r
	r = f.ownRecords[restarted]
	r.Boot, r.Sequence = 2, 0
	f.ownRecords[restarted], f.states[restarted] = r, presence.New(presence.DefaultSettings(), r)
	f.run(2 * time.Second)
	for _, id := range f.ids {
		for _, m := range f.states[id].Members(f.now) {
			c.Assert(m.Ready, qt.Equals, m.ID != notReady, qt.Commentf("%s according to %s", m.ID, id))
			c.Assert(m.Boot, qt.Equals, f.ownRecords[m.ID].Boot, qt.Commentf("%s according to %s", m.ID, id))
		}
	}
}
