package control_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/quarantine"
)

// fakeProbe is an engine that answers every request for a load report in the same way. A slow one
// does not answer before the deadline.
type fakeProbe struct {
	fakeEngine

	boot string
	err  error
	slow bool
}

func (p fakeProbe) Load(ctx context.Context) (engine.Report, error) {
	if p.slow {
		<-ctx.Done()
		return engine.Report{}, ctx.Err()
	}
	return engine.Report{Boot: p.boot}, p.err
}

// announcingPeers is a fleet in which r2 owns the engine and grants slots with boot identifier "1".
// It records what is announced to the other routers.
type announcingPeers struct {
	*control.SingleRouter

	announced []string
}

func (s *announcingPeers) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: "r1", Routers: []owner.Router{{ID: "r2", Zone: "z"}}, Engines: []owner.Engine{{ID: "e1", Zone: "z"}},
	}).WithTrust(true)
}

func (s *announcingPeers) Take(_ context.Context, _, _ string, slotRequest control.EngineSlotRequest) (control.Answer, error) {
	granted := admission.Action{Kind: admission.Granted, Request: slotRequest.SlotRequest, Slot: admission.Slot{ID: 1}}
	return control.Answer{Action: granted, Boot: "1"}, nil
}

func (s *announcingPeers) Announce(kind, fingerprint, _ string, _ quarantine.Crash, _ time.Time) {
	s.announced = append(s.announced, kind+" "+fingerprint)
}

// Guards against a harmless request that is quarantined because two engines were slow, and against
// a crash that goes undetected.
func TestOnlyADeadEngineCountsAsCrashed(t *testing.T) {
	tests := map[string]struct {
		engine  fakeProbe
		crashed bool
	}{
		"slow to answer":      {fakeProbe{slow: true}, false},
		"fails with an error": {fakeProbe{err: errors.New("status 500")}, false},
		"same boot ID":        {fakeProbe{boot: "1"}, false},
		"different boot ID":   {fakeProbe{boot: "2"}, true},
		"refused":             {fakeProbe{err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}, true},
		"reset":               {fakeProbe{err: fmt.Errorf("read: %w", syscall.ECONNRESET)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &announcingPeers{SingleRouter: singleRouter()}
			l, _ := startWithEngine(t, p, test.engine, nil)
			grant, err := l.Admit(t.Context(), newSlotRequest("q1"))
			qt.Assert(t, err, qt.IsNil)
			l.Release(grant, caller.Result{Ending: caller.EndedCrashed, RequestID: "q1", Fingerprint: "q1"})
			qt.Check(t, len(p.announced) > 0, qt.Equals, test.crashed, qt.Commentf("%v", p.announced))
		})
	}
}
