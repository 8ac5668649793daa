package claim_test

import (
	"context"
	"fmt"
	"time"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

func ExampleLog() {
	ctx := context.Background()
	log := &claim.ObjectLog{Store: &objectapi.Memory{}, MinWriteInterval: time.Millisecond}
	key := claim.Key{Account: "umgeni", Name: "ticket-4711", Fingerprint: "digest of the request", Deadline: time.Now().Add(time.Minute)}

	first := claim.NewToken()
	c, _ := log.Claim(ctx, key, first)
	fmt.Println("first may run:", c.MayRun(first, time.Now()))
	_ = log.Finish(ctx, key, first, claim.Done, []byte("settled"))

	second := claim.NewToken()
	c, _ = log.Claim(ctx, key, second)
	fmt.Println("second may run:", c.MayRun(second, time.Now()), c.State, string(c.Answer))
	// Output:
	// first may run: true
	// second may run: false done settled
}
