package control_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/policy"
)

// unresponsiveOwners is a fleet in which no owner answers and another router stands in for them.
type unresponsiveOwners struct {
	silentOwner

	lookups int
}

func (m *unresponsiveOwners) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: "r1", Routers: []owner.Router{{ID: "lost", Zone: "z"}},
		Engines: []owner.Engine{{ID: "e1", Zone: "z"}, {ID: "e2", Zone: "z"}},
	}).WithTrust(true)
}

func (m *unresponsiveOwners) ContextHolder(context.Context, string, uint64) (string, error) {
	m.lookups++
	return "", errors.New("no answer")
}

var _ control.Peers = (*unresponsiveOwners)(nil)

// Guards against the request of a returning chat that looks up its context at an owner that is
// known not to answer, and waits for it.
func TestSilentOwnerIsNotAskedForTheContext(t *testing.T) {
	peers := &unresponsiveOwners{silentOwner: silentOwner{SingleRouter: singleRouter()}}
	l, inForce := start(t, peers)
	next := configuration(2, policy.InService)
	b := next.Policy.Backends["e1"]
	b.Name = "e2"
	next.Policy.Backends["e2"] = b
	inForce.Accept(next)
	for l.Policy().Revision < 2 {
		time.Sleep(time.Millisecond)
	}
	for i := range 3 {
		q := newSlotRequest(fmt.Sprint("q", i))
		q.ContextTokens, q.ExcludedBackends = 100, []string{l.PlaceChat("a", "m", "", q.Chat).Home}
		_, err := l.Admit(t.Context(), q)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, peers.lookups, qt.Equals, 1)
}
