package reach

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// network simulates the connections of one router to the servers of the service "pool".
type network struct {
	tracker *Tracker
	now     time.Time
	// reaches says whether a connection to a server succeeds at a time since the start, and
	// dialTimeout how long a failed one takes.
	reaches     func(address string, at time.Duration) bool
	dialTimeout time.Duration
	start       time.Time
	pending     []pendingDial
	// log holds the changes, as "lost" or "regained" with the time since the start.
	log []event
	// dials counts the probes.
	dials int
}

type pendingDial struct {
	address string
	ok      bool
	at      time.Time
}

type event struct {
	lost bool
	at   time.Duration
}

func newNetwork(servers int, reaches func(string, time.Duration) bool) *network {
	n := &network{tracker: New(DefaultSettings()), now: time.Unix(1_700_000_000, 0), reaches: reaches, dialTimeout: 150 * time.Millisecond}
	n.start = n.now
	var list []Server
	for i := range servers {
		list = append(list, Server{"pool", fmt.Sprint("s", i)})
	}
	n.tracker.SetServers(list)
	return n
}

// dial starts a connection, whose result arrives later.
func (n *network) dial(address string) {
	ok := n.reaches(address, n.now.Sub(n.start))
	took := 3 * time.Millisecond
	if !ok {
		took = n.dialTimeout
	}
	n.pending = append(n.pending, pendingDial{address, ok, n.now.Add(took)})
}

// run simulates the given time in steps of 10 ms and calls step in each of them.
func (n *network) run(d time.Duration, step func(at time.Duration)) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		if step != nil {
			step(n.now.Sub(n.start))
		}
		var rest []pendingDial
		for _, p := range n.pending {
			if p.at.After(n.now) {
				rest = append(rest, p)
				continue
			}
			n.record(n.tracker.RecordDial(n.now, p.address, p.ok))
		}
		n.pending = rest
		probes, changes := n.tracker.Tick(n.now)
		n.record(changes)
		for _, address := range probes {
			n.dials++
			n.dial(address)
		}
	}
}

func (n *network) record(changes []Change) {
	for _, c := range changes {
		n.log = append(n.log, event{c.Lost, n.now.Sub(n.start)})
	}
}

// Guards against a lost path that is noticed late, and failures of servers taken for one.
func TestPath(t *testing.T) {
	const cutAt, cutEnd, length = 2 * time.Second, 7 * time.Second, 12 * time.Second
	isCut := func(at time.Duration) bool { return at >= cutAt && at < cutEnd }
	for name, test := range map[string]struct {
		servers     int
		reaches     func(address string, at time.Duration) bool
		dialTimeout time.Duration
		// dialEvery is the interval of connections for requests; 0 if idle connections are reused.
		dialEvery time.Duration
		// isSilent says whether waiting requests get no data.
		isSilent func(at time.Duration) bool
		isLost   bool
	}{
		"hung connections":            {9, func(_ string, at time.Duration) bool { return !isCut(at) }, 150 * time.Millisecond, 0, isCut, true},
		"refused connections":         {9, func(_ string, at time.Duration) bool { return !isCut(at) }, 0, 50 * time.Millisecond, isCut, true},
		"old connections live on":     {9, func(_ string, at time.Duration) bool { return !isCut(at) }, 0, 50 * time.Millisecond, nil, true},
		"three servers":               {3, func(_ string, at time.Duration) bool { return !isCut(at) }, 150 * time.Millisecond, 0, isCut, true},
		"one server":                  {1, func(_ string, at time.Duration) bool { return !isCut(at) }, 150 * time.Millisecond, 0, isCut, true},
		"one of nine servers crashes": {9, func(s string, at time.Duration) bool { return s != "s1" || !isCut(at) }, 0, 20 * time.Millisecond, nil, false},
		"half of the servers crash":   {18, func(s string, at time.Duration) bool { return s < "s13" || !isCut(at) }, 0, 20 * time.Millisecond, nil, false},
		"all servers fall silent":     {9, func(string, time.Duration) bool { return true }, 0, 0, isCut, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNetwork(test.servers, test.reaches)
			n.dialTimeout = test.dialTimeout
			n.tracker.RecordWaiting(n.now, "pool", 1)
			next := 0
			n.run(length, func(at time.Duration) {
				if test.isSilent == nil || !test.isSilent(at) {
					n.tracker.RecordData(n.now, "pool")
				}
				if test.dialEvery > 0 && at%test.dialEvery == 0 && !n.tracker.IsLost("pool") {
					next += 5
					n.dial(fmt.Sprint("s", next%test.servers))
				}
			})
			if !test.isLost {
				c.Assert(n.log, qt.HasLen, 0)
				return
			}
			c.Assert(n.log, qt.HasLen, 2)
			c.Assert(n.log[0].lost, qt.IsTrue)
			c.Assert(n.log[0].at > cutAt && n.log[0].at < cutAt+time.Second, qt.IsTrue, qt.Commentf("%v", n.log))
			c.Assert(n.log[1].at >= cutEnd && n.log[1].at < cutEnd+time.Second, qt.IsTrue, qt.Commentf("%v", n.log))
		})
	}
}

// Guards against probes while nothing indicates a failure, and against many of them during one.
func TestProbes(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(300, func(string, time.Duration) bool { return true })
	n.tracker.RecordWaiting(n.now, "pool", 5)
	n.run(5*time.Second, func(time.Duration) { n.tracker.RecordData(n.now, "pool") })
	c.Assert(n.dials, qt.Equals, 0)
	n.run(5*time.Second, nil)
	c.Assert(n.dials <= 5*4*3, qt.IsTrue, qt.Commentf("%d probes in 5 s", n.dials))
}

// Guards against peers that get more than their share of relayed requests.
func TestChoosePeer(t *testing.T) {
	c := qt.New(t)
	_, found := ChoosePeer(nil, "z1", 0.5)
	c.Assert(found, qt.IsFalse)
	peers := []Peer{{ID: "near", Zone: "z1", Capacity: 1}, {ID: "far", Zone: "z2", Capacity: 1}, {ID: "large", Zone: "z2", Capacity: 3}, {ID: "unknown", Zone: "z2"}}
	counts := map[string]int{}
	for i := range 1000 {
		p, _ := ChoosePeer(peers, "z1", float64(i)/1000)
		counts[p.ID]++
	}
	c.Assert(counts["near"] > counts["large"], qt.IsTrue)
	c.Assert(counts["large"] > 2*counts["far"], qt.IsTrue)
	c.Assert(counts["unknown"] > 0, qt.IsTrue)
}

// Guards against a service that counts as out of reach while one of its crashed servers is back.
func TestServersReturnOneByOne(t *testing.T) {
	const crash, firstBack, secondBack = 2 * time.Second, 5 * time.Second, 9 * time.Second
	c := qt.New(t)
	n := newNetwork(3, func(address string, at time.Duration) bool {
		return at < crash || address == "s0" && at >= firstBack || at >= secondBack
	})
	n.dialTimeout = 0
	n.run(secondBack, func(at time.Duration) {
		if at%(100*time.Millisecond) == 0 && !n.tracker.IsLost("pool") {
			for i := range 3 {
				n.dial(fmt.Sprint("s", i))
			}
		}
	})
	c.Assert(n.log, qt.HasLen, 2)
	c.Assert(n.log[1].lost, qt.IsFalse)
	c.Assert(n.log[1].at >= firstBack && n.log[1].at < firstBack+time.Second, qt.IsTrue, qt.Commentf("%v", n.log))
}
