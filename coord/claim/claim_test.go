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

// claimKey claims a key with a new token. It returns the claim and whether the caller may run the
// request.
func claimKey(t *testing.T, l claim.Log, k claim.Key) (claim.Claim, bool) {
	t.Helper()
	token := claim.NewToken()
	c, err := l.Claim(context.Background(), k, token)
	qt.Assert(t, err, qt.IsNil)
	return c, c.MayRun(token, time.Now())
}

// Guards against a request that runs twice, and against a wrong state or answer for a request that
// is sent again.
func TestClaimLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := &objectapi.Memory{}
		a, b := &claim.ObjectLog{Store: m}, &claim.ObjectLog{Store: m}
		_, found, err := a.Lookup(ctx, key("k"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.IsFalse)
		first, won := claimKey(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		existing, found, err := b.Lookup(ctx, key("k"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, existing.Token, qt.Equals, first.Token)
		again, won := claimKey(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, again.State, qt.Equals, claim.Claimed)

		other := key("k")
		other.Fingerprint = "g"
		_, err = b.Claim(ctx, other, claim.NewToken())
		var reused *claim.KeyReusedError
		qt.Assert(t, errors.As(err, &reused), qt.IsTrue)
		var notHolder *claim.NotHolderError
		qt.Assert(t, errors.As(b.Finish(ctx, key("k"), "other", claim.Released, nil), &notHolder), qt.IsTrue)

		qt.Assert(t, b.Finish(ctx, key("k"), first.Token, claim.Released, nil), qt.IsNil)
		second, won := claimKey(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		qt.Assert(t, errors.As(a.Finish(ctx, key("k"), first.Token, claim.Done, nil), &notHolder), qt.IsTrue)
		time.Sleep(11 * time.Second)
		late, won := claimKey(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, late.State, qt.Equals, claim.Unknown)
		qt.Assert(t, second.MayRun(second.Token, time.Now()), qt.IsFalse)

		answer := []byte(strings.Repeat("a", claim.MaxAnswerBytes))
		qt.Assert(t, a.Finish(ctx, key("k"), second.Token, claim.Done, answer), qt.IsNil)
		qt.Assert(t, a.Finish(ctx, key("k"), second.Token, claim.Done, answer), qt.IsNil)
		done, _ := claimKey(t, b, key("k"))
		qt.Assert(t, done.State, qt.Equals, claim.Done)
		qt.Assert(t, string(done.Answer), qt.Equals, string(answer))
		calls := m.Counts()
		_, _ = claimKey(t, b, key("k"))
		qt.Assert(t, m.Counts(), qt.Equals, calls, qt.Commentf("claiming the key of a finished request must not call the object API"))

		time.Sleep(claim.Retention + time.Minute)
		_, won = claimKey(t, b, key("k"))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// Guards against a new shard owner that does not find the claims in sealed segments, and against
// expired segments that are never deleted.
func TestSealLoadAndDeleteSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		old := &claim.ObjectLog{Store: m, MaxHeadBytes: 512}
		numberedKey := func(i int) claim.Key {
			k := key(fmt.Sprint("k", i))
			k.Deadline = time.Time{}
			return k
		}
		const claims = 3 * claim.ShardCount
		for i := range claims {
			_, won := claimKey(t, old, numberedKey(i))
			qt.Assert(t, won, qt.IsTrue)
		}
		qt.Assert(t, old.Stats().Seals > 0, qt.IsTrue)
		successor := &claim.ObjectLog{Store: m, MaxHeadBytes: 512}
		for i := range claims {
			_, won := claimKey(t, successor, numberedKey(i))
			qt.Assert(t, won, qt.IsFalse)
		}
		successor.DropShardCache(numberedKey(0).Shard())
		_, won := claimKey(t, successor, numberedKey(0))
		qt.Assert(t, won, qt.IsFalse)

		deleted, err := successor.DeleteExpiredSegments(context.Background(), 1000)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, deleted, qt.Equals, 0)
		time.Sleep(3 * claim.Retention)
		deleted, err = successor.DeleteExpiredSegments(context.Background(), 1000)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, int64(deleted), qt.Equals, old.Stats().Seals)
		_, won = claimKey(t, successor, numberedKey(0))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// Guards against a claim that is granted without being stored, and against a refused request whose
// key stays claimed, when writes to the object API fail, take effect late or hang.
func TestObjectAPIDown(t *testing.T) {
	writeFaults := map[string]objectapi.Fault{"down": {Unavailable: true}, "late": {Late: 7 * time.Second}, "hangs": {Slow: time.Minute}}
	for name, f := range writeFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &objectapi.Memory{}
				log := &claim.ObjectLog{Store: m, Timeout: 2 * time.Second}
				m.Inject(func(c objectapi.Call) objectapi.Fault {
					if c.Write() {
						return f
					}
					return objectapi.Fault{}
				})
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				_, err := log.Claim(ctx, key("k"), claim.NewToken())
				var down *claim.UnavailableError
				qt.Assert(t, errors.As(err, &down), qt.IsTrue)
				m.Inject(nil)
				qt.Assert(t, log.Flush(context.Background()), qt.IsNil)
				time.Sleep(7 * time.Second)
				_, won := claimKey(t, &claim.ObjectLog{Store: m}, key("k"))
				qt.Assert(t, won, qt.IsTrue)
			})
		})
	}
}

// blockingStore waits in each Put until the channel before is closed, writes the object, and then
// waits until the channel after is closed. A nil channel does not block.
type blockingStore struct {
	objectapi.Store
	before, after chan struct{}
}

func (s *blockingStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	if s.before != nil {
		<-s.before
	}
	v, err := s.Store.Put(context.WithoutCancel(ctx), o)
	if s.after != nil {
		<-s.after
	}
	return v, err
}

// Guards against a router that is paused while it claims a key and, after the pause, runs the
// request although another router has claimed the key or the deadline has passed.
func TestPausedTokenHolder(t *testing.T) {
	pauses := map[string]struct {
		newStore   func(objectapi.Store, chan struct{}) *blockingStore
		pausedWins bool
	}{
		"before the write": {func(s objectapi.Store, c chan struct{}) *blockingStore { return &blockingStore{Store: s, before: c} }, false},
		"after the write":  {func(s objectapi.Store, c chan struct{}) *blockingStore { return &blockingStore{Store: s, after: c} }, true},
	}
	for name, test := range pauses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &objectapi.Memory{}
				resume := make(chan struct{})
				paused := &claim.ObjectLog{Store: test.newStore(m, resume), Timeout: time.Hour}
				token := claim.NewToken()
				result := make(chan claim.Claim, 1)
				go func() {
					c, _ := paused.Claim(context.Background(), key("k"), token)
					result <- c
				}()
				time.Sleep(time.Second)
				_, won := claimKey(t, &claim.ObjectLog{Store: m}, key("k"))
				qt.Assert(t, won, qt.Equals, !test.pausedWins)
				close(resume)
				c := <-result
				qt.Assert(t, c.MayRun(token, time.Now()), qt.Equals, test.pausedWins)
				time.Sleep(time.Minute)
				qt.Assert(t, c.MayRun(token, time.Now()), qt.IsFalse, qt.Commentf("must not run after the deadline has passed"))
			})
		})
	}
}

// Guards against granting a claim while a segment cannot be read, and against a shard that does not
// recover once it can be read again.
func TestUnreadableSegmentRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		log := &claim.ObjectLog{Store: m, MaxHeadBytes: 1}
		_, _ = claimKey(t, log, key("k"))
		k := key("k")
		qt.Assert(t, log.Finish(context.Background(), k, "nobody", claim.Done, nil), qt.IsNotNil)
		for i := 0; log.Stats().Seals == 0; i++ {
			if other := key(fmt.Sprint("k", i)); other.Shard() == k.Shard() {
				_, _ = claimKey(t, log, other)
			}
		}
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Unavailable: c.Op == objectapi.OpGet && strings.HasPrefix(c.Name, "segment")}
		})
		successor := &claim.ObjectLog{Store: m}
		_, err := successor.Claim(context.Background(), k, claim.NewToken())
		var down *claim.UnavailableError
		qt.Assert(t, errors.As(err, &down), qt.IsTrue)
		m.Inject(nil)
		_, won := claimKey(t, successor, k)
		qt.Assert(t, won, qt.IsFalse)
	})
}

// Guards against writes that are treated as failed, or whose outcome is never determined, while the
// object API loses every reply.
func TestAllRepliesLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.ConstantFault(objectapi.Fault{Lost: true}))
		a, b := &claim.ObjectLog{Store: m, MaxHeadBytes: 1}, &claim.ObjectLog{Store: m}
		c, won := claimKey(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
		_, won = claimKey(t, b, key("k"))
		qt.Assert(t, won, qt.IsFalse)
		qt.Assert(t, b.Finish(context.Background(), key("k"), c.Token, claim.Released, nil), qt.IsNil)
		_, won = claimKey(t, a, key("k"))
		qt.Assert(t, won, qt.IsTrue)
	})
}

// lostReplyStore loses the reply of one write that took effect, and calls act before it returns the
// error.
type lostReplyStore struct {
	objectapi.Store
	act func()
}

func (s *lostReplyStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	v, err := s.Store.Put(ctx, o)
	if act := s.act; act != nil {
		s.act = nil
		act()
		return 0, &objectapi.AmbiguousError{Kind: o.Kind, Name: o.Name}
	}
	return v, err
}

// Guards against a release that is reported as failed: its reply is lost, and another router claims
// the key before the release is checked.
func TestLostReleaseReplyBeforeNextClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		store := &lostReplyStore{Store: m}
		a, b := &claim.ObjectLog{Store: store}, &claim.ObjectLog{Store: m}
		c, _ := claimKey(t, a, key("k"))
		store.act = func() {
			_, won := claimKey(t, b, key("k"))
			qt.Assert(t, won, qt.IsTrue)
		}
		qt.Assert(t, a.Finish(context.Background(), key("k"), c.Token, claim.Released, nil), qt.IsNil)
	})
}

// Guards against a shard with two owners where the writes of one always fail with a conflict. That
// happened when each owner read the head record, waited for the minimum write interval and only
// then wrote.
func TestTwoOwnersBothProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.RandomFaults(1, objectapi.FaultProbabilities{Slow: 6 * time.Millisecond}))
		logs := []*claim.ObjectLog{{Store: m}, {Store: m}}
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
				_, won := claimKey(t, logs[n%2], k)
				qt.Check(t, won, qt.IsTrue)
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
	})
}
