package claim_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/ports/objectapi"
)

// weighed counts the bytes that a Table writes and the objects that it reads.
type weighed struct {
	objectapi.Store
	bytes, writes, reads atomic.Int64
}

func (w *weighed) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	w.bytes.Add(int64(len(o.Value)))
	w.writes.Add(1)
	return w.Store.Put(ctx, o)
}

func (w *weighed) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	w.reads.Add(1)
	return w.Store.Get(ctx, kind, name)
}

// Measures what the owner of one shard writes at the peak of the size to design for, 205 / 64 claims a second that end after 1 s, by
// the size at which the head record is sealed. Guards against a seal size that loses claims.
func TestBytesOfAShardOwner(t *testing.T) {
	const minutes = 10
	count := minutes * 60 * 205 / claim.Shards
	for _, answer := range []int{0, 512} {
		for _, seal := range []int{16 << 10, claim.DefaultSeal, 2 << 10} {
			synctest.Test(t, func(t *testing.T) {
				store := &weighed{Store: &objectapi.Memory{}}
				log := &claim.Table{Store: store, Seal: seal}
				keys := keysOfShard(0, count)
				for _, k := range keys {
					k.Deadline = time.Now().Add(time.Minute)
					go func() {
						token := claim.NewToken()
						_, err := log.Claim(t.Context(), k, token)
						qt.Check(t, err, qt.IsNil)
						time.Sleep(time.Second)
						qt.Check(t, log.Finish(t.Context(), k, token, claim.Done, make([]byte, answer)), qt.IsNil)
					}()
					time.Sleep(minutes * time.Minute / time.Duration(count))
				}
				time.Sleep(5 * time.Second)
				bytes, writes := store.bytes.Load(), store.writes.Load()
				store.reads.Store(0)
				heir := &claim.Table{Store: store}
				for _, i := range []int{0, count - 1} {
					got, stands, err := heir.Standing(t.Context(), keys[i])
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, stands && got.State == claim.Done, qt.IsTrue)
				}
				t.Logf("answers of %d bytes, sealed at %d: %.0f bytes/s, %.2f writes/s, %d claims taken over with %d reads", answer, seal,
					float64(bytes)/(minutes*60), float64(writes)/(minutes*60), count, store.reads.Load())
			})
		}
	}
}

func keysOfShard(shard, n int) []claim.Key {
	var keys []claim.Key
	for i := 0; len(keys) < n; i++ {
		if k := (claim.Key{Account: "a", Name: fmt.Sprint("key-", i), Fingerprint: "0123456789abcdef0123456789abcdef"}); k.Shard() == shard {
			keys = append(keys, k)
		}
	}
	return keys
}
