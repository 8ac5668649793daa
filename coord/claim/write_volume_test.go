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

// countingStore counts the bytes and objects that an ObjectLog writes and the objects that it
// reads.
type countingStore struct {
	objectapi.Store
	bytes, writes, reads atomic.Int64
}

func (s *countingStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	s.bytes.Add(int64(len(o.Value)))
	s.writes.Add(1)
	return s.Store.Put(ctx, o)
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, kind, name)
}

// Measures how much the owner of one shard writes for several values of MaxHeadBytes. The load is
// the design peak of 205 claims per second, spread over 64 shards; each claim is finished after 1
// s. Guards against claims that are lost when the head record is sealed at one of these sizes.
func TestShardOwnerWriteVolume(t *testing.T) {
	const minutes = 10
	count := minutes * 60 * 205 / claim.ShardCount
	for _, answerSize := range []int{0, 512} {
		for _, maxHeadBytes := range []int{16 << 10, claim.DefaultMaxHeadBytes, 2 << 10} {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{Store: &objectapi.Memory{}}
				log := &claim.ObjectLog{Store: store, MaxHeadBytes: maxHeadBytes}
				keys := keysOfShard(0, count)
				for _, k := range keys {
					k.Deadline = time.Now().Add(time.Minute)
					go func() {
						token := claim.NewToken()
						_, err := log.Claim(t.Context(), k, token)
						qt.Check(t, err, qt.IsNil)
						time.Sleep(time.Second)
						qt.Check(t, log.Finish(t.Context(), k, token, claim.Done, make([]byte, answerSize)), qt.IsNil)
					}()
					time.Sleep(minutes * time.Minute / time.Duration(count))
				}
				time.Sleep(5 * time.Second)
				bytes, writes := store.bytes.Load(), store.writes.Load()
				store.reads.Store(0)
				nextOwner := &claim.ObjectLog{Store: store}
				for _, i := range []int{0, count - 1} {
					got, found, err := nextOwner.Lookup(t.Context(), keys[i])
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, found && got.State == claim.Done, qt.IsTrue)
				}
				t.Logf("answers of %d bytes, head sealed at %d bytes: %.0f bytes/s, %.2f writes/s, next owner loaded %d claims with %d reads", answerSize, maxHeadBytes,
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
