package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

// Guards against a new owner that loads a shard so slowly that its claims are refused, and against
// merged segments that lose or revert claims. The shard holds the claims of 30 minutes at its share
// of 205 requests per second, with answers of 100 and 512 bytes.
func TestLoadFullShard(t *testing.T) {
	for _, answerSize := range []int{100, claim.MaxAnswerBytes} {
		synctest.Test(t, func(t *testing.T) {
			m := &objectapi.Memory{}
			m.Inject(objectapi.RandomFaults(1, objectapi.FaultProbabilities{Slow: 6 * time.Millisecond}))
			n := fillShard0(t, &claim.ObjectLog{Store: m}, answerSize)
			nextOwner := &claim.ObjectLog{Store: m}
			reads, start := m.Counts().Get, time.Now()
			_, _ = claimKey(t, nextOwner, keyOfShard0(0))
			t.Logf("%d claims with answers of %d bytes: %d reads, %s", n, answerSize, m.Counts().Get-reads, time.Since(start))
			for i := range n {
				c, _ := claimKey(t, nextOwner, keyOfShard0(i))
				qt.Assert(t, c.State, qt.Equals, claim.Done)
			}
		})
	}
}

// keyOfShard0 returns a key of shard 0, a different one for each i.
func keyOfShard0(i int) claim.Key {
	for n := i * 10_000; ; n++ {
		k := claim.Key{Account: "a", Name: fmt.Sprint(n)}
		if k.Shard() == 0 {
			return k
		}
	}
}

// fillShard0 claims and finishes keys of shard 0 for almost the retention. It returns the number of
// claims.
func fillShard0(t *testing.T, log *claim.ObjectLog, answerSize int) (n int) {
	rng := rand.New(rand.NewPCG(1, 0))
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < claim.Retention-time.Minute; n++ {
		k := keyOfShard0(n)
		wg.Go(func() {
			c, _ := claimKey(t, log, k)
			time.Sleep(serviceTime)
			qt.Check(t, log.Finish(context.Background(), k, c.Token, claim.Done, make([]byte, answerSize)), qt.IsNil)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / requestsPerSecond * claim.ShardCount * float64(time.Second)))
	}
	wg.Wait()
	return n
}
