package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

// unresponsiveOwner is a shard owner whose responses are lost: every call returns an error. If
// records is set, Claim records the claim first.
type unresponsiveOwner struct {
	log     claim.Log
	records bool
	token   claim.Token
}

func (o *unresponsiveOwner) Claim(ctx context.Context, _ string, k claim.Key, t claim.Token) (claim.Claim, error) {
	o.token = t
	if o.records {
		if _, err := o.log.Claim(ctx, k, t); err != nil {
			return claim.Claim{}, err
		}
	}
	return claim.Claim{}, errors.New("connection closed")
}

func (o *unresponsiveOwner) Finish(context.Context, string, claim.Key, claim.Token, claim.State, []byte) error {
	return errors.New("connection closed")
}

// Guards against a second run of a request. The response of a shard owner is lost, so this router
// claims the key itself and runs the request. The owner then releases the token that it received,
// because its caller has stopped waiting. The release must not affect the new claim.
func TestLateReleaseByOwnerKeepsClaim(t *testing.T) {
	tests := map[string]bool{"owner recorded the claim": true, "owner did not record it": false}
	for name, records := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			store := &objectapi.Memory{}
			ownerLog := &claim.ObjectLog{Store: store, MinWriteInterval: time.Millisecond}
			remote := &unresponsiveOwner{log: ownerLog, records: records}
			c := &shardedClaims{
				owner: func(int) (string, bool) { return "r2", true }, remote: remote,
				local: &claim.ObjectLog{Store: store, MinWriteInterval: time.Millisecond},
			}
			k := claim.Key{Account: "gate", Name: "ticket-1", Fingerprint: "f", Deadline: time.Now().Add(time.Minute)}
			got, token, err := c.Claim(ctx, k)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.MayRun(token, time.Now()), qt.IsTrue)
			_ = ownerLog.Finish(ctx, k, remote.token, claim.Released, nil)
			duplicate, second, err := c.Claim(ctx, k)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, duplicate.MayRun(second, time.Now()), qt.IsFalse)
			qt.Assert(t, duplicate.State, qt.Equals, claim.Claimed)
		})
	}
}
