package control_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/routing/admission"
)

func question(request string) control.SlotAsk {
	return control.SlotAsk{SlotRequest: admission.SlotRequest{
		RequestID: request, Router: "r2", Account: "a", Weight: 1, Cost: 1, Deadline: time.Now().Add(time.Minute),
	}}
}

// Guards against a slot that is kept until its lease expires after the caller has gone: with the grant on its way back, with the
// request in the queue, and with a question that arrives after the message that gives it up. The leases last for 10 s.
func TestSlotOfAGoneCallerIsFreed(t *testing.T) {
	for name, e1 := range map[string][]owner.Engine{"owner": {{ID: "e1", Zone: "z"}}, "deputy": nil} {
		t.Run(name, func(t *testing.T) {
			l, _ := start(t, alone(e1...))
			take := func(request string, queue bool) control.Answer {
				q := question(request)
				q.Share, q.NoQueue = e1 == nil, !queue
				return l.Take(t.Context(), "e1", q)
			}
			full := func(prefix string) (granted []string) {
				for i := 'a'; i <= 'z'; i++ {
					request := prefix + string(i)
					if take(request, false).Kind != admission.Granted {
						break
					}
					granted = append(granted, request)
				}
				return granted
			}
			first := full("first")
			qt.Assert(t, len(first) > 0 && len(first) < 26, qt.IsTrue)
			if e1 != nil {
				queued := make(chan control.Answer)
				go func() { queued <- take("queued", true) }()
				// Time to get into the queue; the result is the same if it does not.
				time.Sleep(20 * time.Millisecond)
				l.Abandon("e1", "queued")
				qt.Check(t, (<-queued).Kind, qt.Equals, admission.Refused)
			}
			for _, request := range first {
				l.Abandon("e1", request)
			}
			qt.Check(t, len(full("second")), qt.Equals, len(first))
			l.Abandon("e1", "late")
			qt.Check(t, string(take("late", true).Code), qt.Equals, "gone")
		})
	}
}

// deaf is a fleet whose owner grants a slot just after the caller has gone.
type deaf struct {
	parted
	abandoned chan string
}

func (d *deaf) Take(ctx context.Context, _, _ string, ask control.SlotAsk) (control.Answer, error) {
	<-ctx.Done()
	return control.Answer{}, ctx.Err()
}

func (d *deaf) Abandon(router, engine, request string) {
	d.abandoned <- router + " " + engine + "/" + request
}

// Guards against a router that does not tell the owner that its caller has gone.
func TestGoneCallerIsToldToTheOwner(t *testing.T) {
	d := &deaf{parted: parted{Alone: alone()}, abandoned: make(chan string, 1)}
	l, _ := start(t, d)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := l.Admit(ctx, ask("q1"))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, <-d.abandoned, qt.Equals, "lost e1/q1/1")
}
