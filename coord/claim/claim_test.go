package claim_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

func key(name string) claim.Key {
	return claim.Key{Account: "north", Name: name, Fingerprint: "f", Deadline: time.Now().Add(10 * time.Second)}
}

// get claims with a fresh token and returns the claim and whether it was won.
func get(t *testing.T, l claim.Log, k claim.Key) (claim.Claim, bool) {
	t.Helper()
	token := claim.NewToken()
	c, err := l.Claim(context.Background(), k, token)
	qt.Assert(t, err, qt.IsNil)
	return c, c.Won(token, time.Now())
}

// Guards against a second run of a key, and against untrue answers to a request that is sent again.
func TestLifeOfAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := &objectapi.Memory{}
		a, b := &claim.Table{Store: m}, &claim.Table{Store: m}
		_, stands, err := a.Standing(ctx, key("k"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stands, qt.IsFalse)
		first, won := get(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		standing, stands, err := b.Standing(ctx, key("k"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stands, qt.IsTrue)
		qt.Assert(t, standing.Token, qt.Equals, first.Token)
		again, won := get(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, again.State, qt.Equals, claim.Claimed)

		other := key("k")
		other.Fingerprint = "g"
		_, err = b.Claim(ctx, other, claim.NewToken())
		var reused *claim.ReusedError
		qt.Assert(t, errors.As(err, &reused), qt.IsTrue)
		var notHolder *claim.NotHolderError
		qt.Assert(t, errors.As(b.Finish(ctx, key("k"), "other", claim.Released, nil), &notHolder), qt.IsTrue)

		qt.Assert(t, b.Finish(ctx, key("k"), first.Token, claim.Released, nil), qt.IsNil)
		second, won := get(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		qt.Assert(t, errors.As(a.Finish(ctx, key("k"), first.Token, claim.Done, nil), &notHolder), qt.IsTrue)
		time.Sleep(11 * time.Second)
		late, won := get(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, late.State, qt.Equals, claim.Unknown)
		qt.Assert(t, second.Won(second.Token, time.Now()), qt.IsFalse)

		answer := []byte(strings.Repeat("a", claim.MaxAnswer))
		qt.Assert(t, a.Finish(ctx, key("k"), second.Token, claim.Done, answer), qt.IsNil)
		qt.Assert(t, a.Finish(ctx, key("k"), second.Token, claim.Done, answer), qt.IsNil)
		done, _ := get(t, b, key("k"))
		qt.Assert(t, done.State, qt.Equals, claim.Done)
		qt.Assert(t, string(done.Answer), qt.Equals, string(answer))
		calls := m.Counts()
		_, _ = get(t, b, key("k"))
		qt.Assert(t, m.Counts(), qt.Equals, calls, qt.Commentf("a finished claim is answered from the cache"))

		time.Sleep(claim.Retention + time.Minute)
		_, won = get(t, b, key("k"))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// Guards against a new owner that misses claims in sealed segments, and against segments that are never deleted.
func TestSealRebuildAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		old := &claim.Table{Store: m, Seal: 512}
		name := func(i int) claim.Key {
			k := key(fmt.Sprint("k", i))
			k.Deadline = time.Time{}
			return k
		}
		const n = 3 * claim.Shards
		for i := range n {
			_, won := get(t, old, name(i))
			qt.Assert(t, won, qt.IsTrue)
		}
		qt.Assert(t, old.Stats().Seals > 0, qt.IsTrue)
		successor := &claim.Table{Store: m, Seal: 512}
		for i := range n {
			_, won := get(t, successor, name(i))
			qt.Assert(t, won, qt.IsFalse)
		}
		successor.Disown(name(0).Shard())
		_, won := get(t, successor, name(0))
		qt.Assert(t, won, qt.IsFalse)

		deleted, err := successor.Sweep(context.Background(), 1000)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, deleted, qt.Equals, 0)
		time.Sleep(3 * claim.Retention)
		deleted, err = successor.Sweep(context.Background(), 1000)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, int64(deleted), qt.Equals, old.Stats().Seals)
		_, won = get(t, successor, name(0))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// Guards against a claim that is granted without a record, and against a refused request whose key stays claimed.
func TestObjectAPIDown(t *testing.T) {
	faults := map[string]objectapi.Fault{"down": {Down: true}, "late": {Late: 7 * time.Second}, "hangs": {Slow: time.Minute}}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &objectapi.Memory{}
				table := &claim.Table{Store: m, Limit: 2 * time.Second}
				m.Inject(func(c objectapi.Call) objectapi.Fault {
					if c.Write() {
						return f
					}
					return objectapi.Fault{}
				})
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				_, err := table.Claim(ctx, key("k"), claim.NewToken())
				var down *claim.DownError
				qt.Assert(t, errors.As(err, &down), qt.IsTrue)
				m.Inject(nil)
				qt.Assert(t, table.Flush(context.Background()), qt.IsNil)
				time.Sleep(7 * time.Second)
				_, won := get(t, &claim.Table{Store: m}, key("k"))
				qt.Assert(t, won, qt.IsTrue)
			})
		})
	}
}

// gate is a store whose writes stop before or after their effect until the holder is resumed.
type gate struct {
	objectapi.Store
	before, after chan struct{}
}

func (g *gate) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	if g.before != nil {
		<-g.before
	}
	v, err := g.Store.Put(context.WithoutCancel(ctx), o)
	if g.after != nil {
		<-g.after
	}
	return v, err
}

// Guards against a holder that wakes from a pause and runs a key which another router has claimed.
func TestPausedHolder(t *testing.T) {
	pauses := map[string]struct {
		gate      func(objectapi.Store, chan struct{}) *gate
		pausedWin bool
	}{
		"before the write": {func(s objectapi.Store, c chan struct{}) *gate { return &gate{Store: s, before: c} }, false},
		"after the write":  {func(s objectapi.Store, c chan struct{}) *gate { return &gate{Store: s, after: c} }, true},
	}
	for name, test := range pauses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &objectapi.Memory{}
				resume := make(chan struct{})
				paused := &claim.Table{Store: test.gate(m, resume), Limit: time.Hour}
				token := claim.NewToken()
				result := make(chan claim.Claim, 1)
				go func() {
					c, _ := paused.Claim(context.Background(), key("k"), token)
					result <- c
				}()
				time.Sleep(time.Second)
				_, won := get(t, &claim.Table{Store: m}, key("k"))
				qt.Assert(t, won, qt.Equals, !test.pausedWin)
				close(resume)
				c := <-result
				qt.Assert(t, c.Won(token, time.Now()), qt.Equals, test.pausedWin)
				time.Sleep(time.Minute)
				qt.Assert(t, c.Won(token, time.Now()), qt.IsFalse, qt.Commentf("deadline passed during a pause"))
			})
		})
	}
}

// Guards against a fault that stays after the read of a segment fails: the shard refuses and recovers.
func TestMissingSegmentRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		table := &claim.Table{Store: m, Seal: 1}
		_, _ = get(t, table, key("k"))
		k := key("k")
		qt.Assert(t, table.Finish(context.Background(), k, "nobody", claim.Done, nil), qt.IsNotNil)
		for i := 0; table.Stats().Seals == 0; i++ {
			if other := key(fmt.Sprint("k", i)); other.Shard() == k.Shard() {
				_, _ = get(t, table, other)
			}
		}
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Down: c.Op == objectapi.OpGet && strings.HasPrefix(c.Name, "segment")}
		})
		successor := &claim.Table{Store: m}
		_, err := successor.Claim(context.Background(), k, claim.NewToken())
		var down *claim.DownError
		qt.Assert(t, errors.As(err, &down), qt.IsTrue)
		m.Inject(nil)
		_, won := get(t, successor, k)
		qt.Assert(t, won, qt.IsFalse)
	})
}

// Guards against writes that are taken for failed, or never settled, while the object API loses every reply.
func TestEveryReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.Always(objectapi.Fault{Lost: true}))
		a, b := &claim.Table{Store: m, Seal: 1}, &claim.Table{Store: m}
		c, won := get(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		_, won = get(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, b.Finish(context.Background(), key("k"), c.Token, claim.Released, nil), qt.IsNil)
		_, won = get(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// interposed is a store that loses the reply of one write after its effect, and lets another router act before the loss is noticed.
type interposed struct {
	objectapi.Store
	act func()
}

func (s *interposed) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	v, err := s.Store.Put(ctx, o)
	if act := s.act; act != nil {
		s.act = nil
		act()
		return 0, &objectapi.AmbiguousError{Kind: o.Kind, Name: o.Name}
	}
	return v, err
}

// Guards against a release that is reported as refused because the key was claimed again before its lost reply was settled.
func TestReleaseSettledAfterNextClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		store := &interposed{Store: m}
		a, b := &claim.Table{Store: store}, &claim.Table{Store: m}
		c, _ := get(t, a, key("k"))
		store.act = func() {
			_, won := get(t, b, key("k"))
			qt.Assert(t, won, qt.IsTrue)
		}
		qt.Assert(t, a.Finish(context.Background(), key("k"), c.Token, claim.Released, nil), qt.IsNil)
	})
}

// Guards against two owners of a shard of which one loses every race: each read the record before its pace and wrote it after.
func TestTwoOwnersBothProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.Random(1, objectapi.Chances{Slow: 6 * time.Millisecond}))
		tables := []*claim.Table{{Store: m}, {Store: m}}
		shard := key("k").Shard()
		var wg sync.WaitGroup
		for i, n := 0, 0; n < 200; i++ {
			k := key(fmt.Sprint("k", i))
			if k.Shard() != shard {
				continue
			}
			n++
			time.Sleep(50 * time.Millisecond)
			wg.Go(func() {
				_, won := get(t, tables[n%2], k)
				qt.Check(t, won, qt.IsTrue)
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
	})
}
