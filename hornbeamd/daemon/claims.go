package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/coord/pause"
)

// ownerLimit is how long the owner of a shard may take before this router writes the shard itself.
const ownerLimit = 1500 * time.Millisecond

// shardOwner calls the claim log of the router that owns a shard.
type shardOwner interface {
	Claim(ctx context.Context, router string, k claim.Key, t claim.Token) (claim.Claim, error)
	Finish(ctx context.Context, router string, k claim.Key, t claim.Token, s claim.State, answer []byte) error
}

// claims sends claims to the owner of their shard, who groups them into few writes. A router that can't reach the owner
// writes the shard itself: that costs conflicts, not safety. It implements control.Claims.
type claims struct {
	// owner returns the other router that owns a shard; false if there is none.
	owner  func(shard int) (string, bool)
	remote shardOwner
	local  claim.Log
}

// Claim implements control.Claims.
func (c *claims) Claim(ctx context.Context, k claim.Key) (claim.Claim, claim.Token, error) {
	first := claim.NewToken()
	owner, ok := c.owner(k.Shard())
	if !ok {
		got, err := c.local.Claim(ctx, k, first)
		return got, first, err
	}
	call, cancel := context.WithTimeout(ctx, ownerLimit)
	defer cancel()
	got, err := c.remote.Claim(call, owner, k, first)
	if err == nil || answered(err) {
		return got, first, err
	}
	return c.takeOver(ctx, k, first)
}

// takeOver claims a key after its shard's owner did not answer. The owner may have recorded the first token, may still do so,
// and releases that token's claim when it finds that nobody waits for it. So the first token must not be run under: a late
// release of it would let a second request win. A second token replaces it.
func (c *claims) takeOver(ctx context.Context, k claim.Key, first claim.Token) (claim.Claim, claim.Token, error) {
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
func (c *claims) Finish(ctx context.Context, k claim.Key, t claim.Token, s claim.State, answer []byte) error {
	if owner, ok := c.owner(k.Shard()); ok {
		call, cancel := context.WithTimeout(ctx, ownerLimit)
		defer cancel()
		err := c.remote.Finish(call, owner, k, t, s, answer)
		if err == nil || answered(err) {
			return err
		}
	}
	return c.local.Finish(ctx, k, t, s, answer)
}

// answered is true for errors that the owner's log returned. The log being down for the owner may be its own fault, so that
// case is tried here as well.
func answered(err error) bool {
	var reused *claim.KeyReusedError
	var holder *claim.NotHolderError
	return errors.As(err, &reused) || errors.As(err, &holder)
}

const (
	// sweepEvery is the time between two removals of old segments, by one router, and sweepMost the segments removed at once.
	// At 205 requests/s that may run at most once, the log seals less than one segment a second.
	sweepEvery = time.Minute
	sweepMost  = 200
)

// tidyClaims removes old segments while this router owns the first shard, and forgets shards that moved to other routers.
func (d *Daemon) tidyClaims(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	for pause.For(ctx, sweepEvery) == nil {
		owners := d.node.Owners()
		for shard := range claim.ShardCount {
			if owners.Trusted && !owners.OwnsShard(shard) {
				d.claims.DropShardCache(shard)
			}
		}
		if !owners.OwnsShard(0) {
			continue
		}
		if _, err := d.claims.DeleteExpiredSegments(ctx, sweepMost); err != nil {
			d.Log.Debug("old segments of the claim log could not be removed", zap.Error(err))
		}
	}
	return nil
}
