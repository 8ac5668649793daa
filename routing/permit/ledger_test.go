package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/permit"
)

var start = time.Unix(1000, 0)

func newLedger() *permit.Ledger {
	l := permit.NewLedger()
	l.SetServers(map[string]int64{"s": 1})
	return l
}

func perSecond(at time.Time, n float64) permit.Limit { return permit.Limit{PerSecond: n, At: at} }

func ended(at time.Time) permit.Limit { return permit.Limit{Ended: true, At: at} }

// Guards against a limit that outlives its statement, and against one that late news restores.
func TestLedger(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		own     []permit.Limit
		merged  []permit.Limit
		want    float64
		limited bool
	}{
		"unknown":            {nil, nil, 0, false},
		"stated":             {[]permit.Limit{perSecond(at(0), 5)}, nil, 5, true},
		"zero":               {[]permit.Limit{perSecond(at(0), 0)}, nil, 0, true},
		"falls":              {[]permit.Limit{perSecond(at(0), 5), perSecond(at(1), 2)}, nil, 2, true},
		"ends":               {[]permit.Limit{perSecond(at(0), 5), ended(at(1))}, nil, 0, false},
		"never began":        {[]permit.Limit{ended(at(0))}, nil, 0, false},
		"earlier response":   {[]permit.Limit{perSecond(at(1), 5), ended(at(0))}, nil, 5, true},
		"told":               {nil, []permit.Limit{perSecond(at(0), 3)}, 3, true},
		"told late":          {[]permit.Limit{perSecond(at(1), 5)}, []permit.Limit{perSecond(at(0), 3)}, 5, true},
		"told later":         {[]permit.Limit{perSecond(at(0), 5)}, []permit.Limit{perSecond(at(1), 3)}, 3, true},
		"told of the end":    {[]permit.Limit{perSecond(at(0), 5)}, []permit.Limit{ended(at(1))}, 0, false},
		"told after the end": {[]permit.Limit{perSecond(at(0), 5), ended(at(2))}, []permit.Limit{perSecond(at(1), 5)}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			for _, limit := range test.own {
				l.Observe(limit.At, "s", limit)
			}
			for _, limit := range test.merged {
				l.Merge(at(10), []permit.Report{{Server: "s", Limit: limit}})
			}
			got, limited := l.Limit("s")
			qt.Check(t, got, qt.Equals, test.want)
			qt.Check(t, limited, qt.Equals, test.limited)
		})
	}
}

// Guards against the limit of an earlier process of a server, or of a server that is gone.
func TestLedgerForgetsRestartedServer(t *testing.T) {
	for name, servers := range map[string]map[string]int64{"restarted": {"s": 2}, "gone": {}} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.Observe(start, "s", perSecond(start, 5))
			l.SetServers(map[string]int64{"s": 1, "other": 1})
			_, limited := l.Limit("s")
			qt.Check(t, limited, qt.IsTrue)
			l.SetServers(servers)
			_, limited = l.Limit("s")
			qt.Check(t, limited, qt.IsFalse)
		})
	}
}

// Guards against a router that never learns of a limit, and against endless announcements.
func TestLedgerAnnouncements(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	l.Observe(start, "s", perSecond(start, 5))
	c.Assert(l.Outgoing(start, false, 8), qt.HasLen, 1)
	later := start.Add(5 * time.Second)
	c.Assert(l.Outgoing(later, false, 8), qt.HasLen, 0)
	c.Assert(l.Outgoing(later, true, 8), qt.HasLen, 1)
	c.Assert(l.Outgoing(later, true, 8), qt.HasLen, 0)
	// A router that holds an outdated limit is corrected.
	l.Observe(later, "s", ended(later))
	later = later.Add(5 * time.Second)
	c.Assert(l.Outgoing(later, true, 8), qt.HasLen, 0)
	l.Merge(later, []permit.Report{{Server: "s", Limit: perSecond(start, 5)}})
	c.Assert(l.Outgoing(later, false, 8), qt.DeepEquals, []permit.Report{{Server: "s", Limit: ended(start.Add(5 * time.Second))}})
}
