package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/hornbeamd/settings"
)

// Guards against metrics with conflicting names, metrics missing for a kind of state, and metrics
// that do not follow the state.
func TestStateMetrics(t *testing.T) {
	s, err := settings.Default("r1", "z")
	qt.Assert(t, err, qt.IsNil)
	s.Caller.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	// Port 1 of the loopback address refuses connections.
	s.Platform.Objects, s.Platform.Instances = "http://127.0.0.1:1", "http://127.0.0.1:1"
	d := &Daemon{Settings: s}
	qt.Assert(t, d.Open(), qt.IsNil)
	defer d.listener.Close()
	_, err = d.claims.Claim(t.Context(), claim.Key{Name: "k", Deadline: time.Now().Add(time.Minute)}, claim.NewToken())
	qt.Check(t, err, qt.IsNotNil)
	d.counters.orders.Fenced.Add(2)
	d.counters.leases.Paused.Add(3)
	d.sharedState.recordCrash(decision.Record{Kind: decision.Quarantine, Name: "f", SetAt: time.Now().UnixNano()})
	families, err := d.registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			got[name] = m.GetCounter().GetValue()
			if h := m.GetHistogram(); h != nil {
				got[name] = float64(h.GetSampleCount())
			}
		}
	}
	for name, want := range map[string]float64{
		"hornbeam_claim_wait_seconds": 1, "hornbeam_claim_writes_total conflict": 0, "hornbeam_claim_writes_total retry": 0,
		"hornbeam_order_results_total fenced": 2, "hornbeam_order_results_total wait": 0, "hornbeam_lease_refusals_total paused": 3,
		"hornbeam_lease_writes_total ok": 0, "hornbeam_order_writes_total retry": 0, "hornbeam_agreed_writes_total ok": 0,
	} {
		value, ok := got[name]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s", name))
		qt.Check(t, value, qt.Equals, want, qt.Commentf("%s", name))
	}
}
