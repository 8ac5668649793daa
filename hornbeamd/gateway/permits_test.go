package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Guards against an overloaded service whose servers get requests without permits, at this router or
// through an issuer that has seen no rejection, and against one that never gets its room back.
func TestOverloadedServiceNeedsPermits(t *testing.T) {
	c := qt.New(t)
	servers := []roster.Server{{ID: "a", Service: "plain", Slots: 6}}
	newPermits := func() *Permits {
		p := NewPermits()
		p.Self = "r"
		p.SetServers(servers)
		return p
	}
	p, issuer := newPermits(), newPermits()
	p.RecordAnswer("plain", 60*time.Millisecond)
	_, limited := p.Limit("a")
	c.Assert(limited, qt.IsFalse)
	now := time.Now()
	p.RecordRejection(now, "a")
	p.RecordRejection(now, "a")
	c.Assert(p.RecordRejection(now, "a"), qt.IsTrue)
	rate, limited := p.Limit("a")
	c.Assert(limited, qt.IsTrue)
	c.Assert(rate > 50 && rate <= 100, qt.IsTrue, qt.Commentf("%.1f", rate))

	granted := 0
	for i := range 1000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if answer, _ := issuer.AnswerQuestion(at, permit.Ask{Server: "a", PerSecond: rate}); answer.Granted {
			granted++
		}
	}
	c.Assert(float64(granted) >= 0.9*rate && float64(granted) <= rate+12, qt.IsTrue, qt.Commentf("%d permits at %.1f/s", granted, rate))

	c.Assert(p.Overloads(now)["plain"] < time.Second, qt.IsTrue)
	c.Assert(issuer.MergeOverload(now, "plain", 0), qt.IsTrue)
	c.Assert(issuer.MergeOverload(now, "plain", 3*time.Second), qt.IsFalse)
	c.Assert(issuer.Overloads(now.Add(3*time.Second)), qt.HasLen, 0)
}

// Guards against a cold server that an issuer takes for warm although the router that asks knows better.
func TestIssuerHearsOfColdServer(t *testing.T) {
	c := qt.New(t)
	p := NewPermits()
	p.Self = "r"
	p.SetServers([]roster.Server{{ID: "a", Service: "pool", Slots: 32}})
	p.SetServices([]routes.Service{{Name: "pool", ColdRate: 10}})
	now := time.Now()
	answer, _ := p.AnswerQuestion(now, permit.Ask{Server: "a"})
	c.Assert(answer.Granted, qt.IsTrue)
	granted := 0
	for i := range 100 {
		if answer, _ := p.AnswerQuestion(now.Add(time.Duration(i)*10*time.Millisecond), permit.Ask{Server: "a", IsCold: true}); answer.Granted {
			granted++
		}
	}
	c.Assert(granted <= 10+5, qt.IsTrue, qt.Commentf("%d permits in a second", granted))
	c.Assert(p.Suspect(now, "a"), qt.IsTrue)
	c.Assert(p.ColdCount(), qt.Equals, 1)
}

// Guards against a router that takes a server for warm on its return, although another router has seen
// it crash, and against one that suspects a process which has started since.
func TestCrashReportedByOthersMakesServerCold(t *testing.T) {
	c := qt.New(t)
	p := NewPermits()
	p.SetServers([]roster.Server{{ID: "a", Service: "pool", Slots: 32, Born: 7}})
	p.SetServices([]routes.Service{{Name: "pool", ColdRate: 10}})
	crashes := NewCrashTracker()
	crashes.OnCrash = p.SuspectCrashed
	now := time.Now()
	report := func(boot string, age time.Duration) {
		crashes.Merge(now, []quarantine.Entry{{Fingerprint: "f" + boot, Crashes: []quarantine.Crash{{Engine: "a", Boot: boot}}, At: now.Add(-age)}})
	}
	report("6", 0)
	c.Assert(p.ColdCount(), qt.Equals, 0)
	report("7", 0)
	c.Assert(p.ColdCount(), qt.Equals, 1)
}
