package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
)

// Guards against requests that were refused for want of an engine and are still charged to their
// client account, which is then refused although it has used nothing.
func TestRefusedRequestsAreNotCharged(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var l limits
	l.init(now)
	l.apply(policy.Policy{Accounts: map[string]policy.Account{"a": {Tokens: 100}}})
	for i := range 50 {
		request := caller.SlotRequest{RequestID: string(rune('A' + i)), Account: "a", Cost: 90}
		c.Assert(l.admit(now, request) == nil, qt.IsTrue, qt.Commentf("request %d", i))
		l.cancel(now, request.RequestID)
	}
	c.Assert(l.pending, qt.HasLen, 0)
}
