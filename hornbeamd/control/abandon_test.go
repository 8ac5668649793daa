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

func newEngineSlotRequest(request string) control.EngineSlotRequest {
	return control.EngineSlotRequest{SlotRequest: admission.SlotRequest{
		RequestID: request, Router: "r2", Account: "a", Weight: 1, Cost: 1, Deadline: time.Now().Add(time.Minute),
	}}
}

// Guards against a slot that stays taken until its lease expires, after 10 s, although the caller
// has left: while the grant is on its way back, while the request is queued, and when the slot
// request arrives after the message that abandons it.
func TestSlotIsFreedWhenCallerLeaves(t *testing.T) {
	for name, engines := range map[string][]owner.Engine{"owner": {{ID: "e1", Zone: "z"}}, "deputy": nil} {
		t.Run(name, func(t *testing.T) {
			l, _ := start(t, singleRouter(engines...))
			takeSlot := func(request string, queue bool) control.Answer {
				slotRequest := newEngineSlotRequest(request)
				slotRequest.Fallback, slotRequest.NoQueue = engines == nil, !queue
				return l.Take(t.Context(), "e1", slotRequest)
			}
			takeAll := func(prefix string) (granted []string) {
				for i := 'a'; i <= 'z'; i++ {
					request := prefix + string(i)
					if takeSlot(request, false).Kind != admission.Granted {
						break
					}
					granted = append(granted, request)
				}
				return granted
			}
			firstRequests := takeAll("first")
			qt.Assert(t, len(firstRequests) > 0 && len(firstRequests) < 26, qt.IsTrue)
			if engines != nil {
				queued := make(chan control.Answer)
				go func() { queued <- takeSlot("queued", true) }()
				// Lets the request enter the queue; the result is the same if it does not.
				time.Sleep(20 * time.Millisecond)
				l.Abandon("e1", "queued")
				qt.Check(t, (<-queued).Kind, qt.Equals, admission.Refused)
			}
			for _, request := range firstRequests {
				l.Abandon("e1", request)
			}
			qt.Check(t, len(takeAll("second")), qt.Equals, len(firstRequests))
			l.Abandon("e1", "late")
			qt.Check(t, string(takeSlot("late", true).Code), qt.Equals, "gone")
		})
	}
}

// ownerAnswersTooLate is a fleet whose owner grants a slot just after the caller has left.
type ownerAnswersTooLate struct {
	silentOwner
	abandoned chan string
}

func (d *ownerAnswersTooLate) Take(ctx context.Context, _, _ string, slotRequest control.EngineSlotRequest) (control.Answer, error) {
	<-ctx.Done()
	return control.Answer{}, ctx.Err()
}

func (d *ownerAnswersTooLate) Abandon(router, engine, request string) {
	d.abandoned <- router + " " + engine + "/" + request
}

// Guards against a router that does not tell the owner that the caller has left while the owner has
// not answered yet.
func TestOwnerIsToldWhenCallerLeaves(t *testing.T) {
	d := &ownerAnswersTooLate{silentOwner: silentOwner{SingleRouter: singleRouter()}, abandoned: make(chan string, 1)}
	l, _ := start(t, d)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := l.Admit(ctx, newSlotRequest("q1"))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, <-d.abandoned, qt.Equals, "lost e1/q1/1")
}
