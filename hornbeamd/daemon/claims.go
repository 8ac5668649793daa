package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/coord/sleep"
)

// ownerCallTimeout limits a call to the owner of a shard; after that, this router writes the shard
// itself.
const ownerCallTimeout = 1500 * time.Millisecond

// shardClient calls the claim log of the router that owns a shard.
type shardClient interface {
	Claim(ctx context.Context, router string, k claim.Key, t claim.Token) (claim.Claim, error)
	Finish(ctx context.Context, router string, k claim.Key, t claim.Token, s claim.State, answer []byte) error
}

// shardedClaims sends each claim to the owner of its shard, which batches claims into few writes. A
// router that can't reach the owner writes the shard itself, which is safe but causes write
// conflicts. It implements control.Claims.
type shardedClaims struct {
	// owner returns the router that owns a shard; false if this router owns it or the owner is
	// unknown.
	owner  func(shard int) (string, bool)
	remote shardClient
	local  claim.Log
}

// Claim implements control.Claims.
func (c *shardedClaims) Claim(ctx context.Context, k claim.Key) (claim.Claim, claim.Token, error) {
	first := claim.NewToken()
	owner, ok := c.owner(k.Shard())
	if !ok {
		got, err := c.local.Claim(ctx, k, first)
		return got, first, err
	}
	call, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	got, err := c.remote.Claim(call, owner, k, first)
	if err == nil || isClaimError(err) {
		return got, first, err
	}
	return c.claimWithoutOwner(ctx, k, first)
}

// claimWithoutOwner claims a key in the local log after the owner of its shard did not answer. It
// uses a second token and releases any claim that was recorded with the first one. The owner may
// still record the first token, or release it because the call that sent it has ended. If the
// request ran under the first token, such a late release would let another request win the claim.
func (c *shardedClaims) claimWithoutOwner(ctx context.Context, k claim.Key, first claim.Token) (claim.Claim, claim.Token, error) {
	second := claim.NewToken()
	got, err := c.local.Claim(ctx, k, second)
	if err != nil || got.Token != first {
		return got, second, err
	}
	var holder *claim.NotHolderError
	if err := c.local.Finish(ctx, k, first, claim.Released, nil); err != nil && !errors.As(err, &holder) {
		return claim.Claim{}, second, err
	}
	got, err = c.local.Claim(ctx, k, second)
	return got, second, err
}

// Finish implements control.Claims.
func (c *shardedClaims) Finish(ctx context.Context, k claim.Key, t claim.Token, s claim.State, answer []byte) error {
	if owner, ok := c.owner(k.Shard()); ok {
		call, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		defer cancel()
		err := c.remote.Finish(call, owner, k, t, s, answer)
		if err == nil || isClaimError(err) {
			return err
		}
	}
	return c.local.Finish(ctx, k, t, s, answer)
}

// isClaimError reports whether the claim log of the owner returned a definite result. Other errors,
// such as a claim log that the owner cannot reach, may be specific to the owner, so the caller
// retries those with the local log.
func isClaimError(err error) bool {
	var reused *claim.KeyReusedError
	var holder *claim.NotHolderError
	return errors.As(err, &reused) || errors.As(err, &holder)
}

const (
	// segmentSweepInterval is the time between two removals of old segments by one router;
	// maxSweptSegments is the number of segments that one removal deletes at most. It exceeds the
	// number of segments that the log adds per interval: less than one per second at 205 requests/s
	// that may run at most once.
	segmentSweepInterval = time.Minute
	maxSweptSegments     = 200
)

// maintainClaims regularly drops the cached state of claim log shards that other routers own now.
// The owner of shard 0 also deletes expired segments of all shards.
func (d *Daemon) maintainClaims(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	for sleep.For(ctx, segmentSweepInterval) == nil {
		owners := d.node.Owners()
		for shard := range claim.ShardCount {
			if owners.Trusted && !owners.OwnsShard(shard) {
				d.claims.DropShardCache(shard)
			}
		}
		if !owners.OwnsShard(0) {
			continue
		}
		if _, err := d.claims.DeleteExpiredSegments(ctx, maxSweptSegments); err != nil {
			d.Log.Debug("cannot remove old segments of the claim log", zap.Error(err))
		}
	}
	return nil
}
