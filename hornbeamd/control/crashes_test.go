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

// probed answers every load report in one way; an engine that is slow answers after the caller's deadline.
type probed struct {
	fakeEngine

	boot string
	err  error
	slow bool
}

func (p probed) Load(ctx context.Context) (engine.Report, error) {
	if p.slow {
		<-ctx.Done()
		return engine.Report{}, ctx.Err()
	}
	return engine.Report{Boot: p.boot}, p.err
}

// spreading is a fleet in which r2 owns the engine and has seen it in its life "1". It records what is told to the others.
type spreading struct {
	*control.Alone

	told []string
}

func (s *spreading) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: "r1", Routers: []owner.Router{{ID: "r2", Zone: "z"}}, Engines: []owner.Engine{{ID: "e1", Zone: "z"}},
	}).WithTrust(true)
}

func (s *spreading) Take(_ context.Context, _, _ string, ask control.SlotAsk) (control.Answer, error) {
	granted := admission.Action{Kind: admission.Granted, Request: ask.SlotRequest, Slot: admission.Slot{ID: 1}}
	return control.Answer{Action: granted, Boot: "1"}, nil
}

func (s *spreading) Spread(kind, fingerprint, _ string, _ quarantine.Crash, _ time.Time) {
	s.told = append(s.told, kind+" "+fingerprint)
}

// Guards against an innocent request that two slow engines put in quarantine, and against a crash that is not recognised.
func TestOnlyADeadEngineCountsAsCrashed(t *testing.T) {
	tests := map[string]struct {
		engine  probed
		crashed bool
	}{
		"slow to answer":      {probed{slow: true}, false},
		"fails with an error": {probed{err: errors.New("status 500")}, false},
		"same life":           {probed{boot: "1"}, false},
		"another life":        {probed{boot: "2"}, true},
		"refused":             {probed{err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}, true},
		"reset":               {probed{err: fmt.Errorf("read: %w", syscall.ECONNRESET)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &spreading{Alone: alone()}
			l, _ := startWith(t, p, test.engine, nil)
			grant, err := l.Admit(t.Context(), ask("q1"))
			qt.Assert(t, err, qt.IsNil)
			l.Release(grant, caller.Result{Ending: caller.EndedCrashed, Request: "q1", Fingerprint: "q1"})
			qt.Check(t, len(p.told) > 0, qt.Equals, test.crashed, qt.Commentf("%v", p.told))
		})
	}
}
