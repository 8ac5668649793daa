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

// Guards against a takeover of a shard that takes so long that its claims are refused, and against merged segments that lose or
// revert claims. One shard holds the claims
// of 30 minutes at its share of 205 requests a second, with answers of 100 and of 512 bytes.
func TestRebuildOfAFullShard(t *testing.T) {
	for _, answer := range []int{100, claim.MaxAnswer} {
		synctest.Test(t, func(t *testing.T) {
			m := &objectapi.Memory{}
			m.Inject(objectapi.Random(1, objectapi.Chances{Slow: 6 * time.Millisecond}))
			n := fill(t, &claim.Table{Store: m}, answer)
			next := &claim.Table{Store: m}
			reads, start := m.Counts().Get, time.Now()
			_, _ = get(t, next, inShard(0))
			t.Logf("%d claims with answers of %d bytes: %d reads, %s", n, answer, m.Counts().Get-reads, time.Since(start))
			for i := range n {
				c, _ := get(t, next, inShard(i))
				qt.Assert(t, c.State, qt.Equals, claim.Done)
			}
		})
	}
}

// inShard returns the i-th key of shard 0.
func inShard(i int) claim.Key {
	for n := i * 10_000; ; n++ {
		k := claim.Key{Account: "a", Name: fmt.Sprint(n)}
		if k.Shard() == 0 {
			return k
		}
	}
}

func fill(t *testing.T, table *claim.Table, answer int) (n int) {
	random := rand.New(rand.NewPCG(1, 0))
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < claim.Retention-time.Minute; n++ {
		k := inShard(n)
		wg.Go(func() {
			c, _ := get(t, table, k)
			time.Sleep(service)
			qt.Check(t, table.Finish(context.Background(), k, c.Token, claim.Done, make([]byte, answer)), qt.IsNil)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * claim.Shards * float64(time.Second)))
	}
	wg.Wait()
	return n
}
