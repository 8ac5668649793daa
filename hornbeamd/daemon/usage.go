package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/routing/limit"
)

// usages adds up the demand of the heavy accounts that this router is responsible for. It implements peer.Usages.
type usages struct {
	mu         sync.Mutex
	aggregator *limit.Aggregator
}

func newUsages() *usages { return &usages{aggregator: limit.NewAggregator(limit.Defaults())} }

// Report implements peer.Usages.
func (u *usages) Report(router string, demands []limit.Demand) []limit.Total {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.aggregator.Report(time.Now(), router, demands)
}

func (u *usages) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aggregator.Expire(time.Now())
}

// shareLimits exchanges the demand of heavy accounts, so that limits hold over all routers.
func (d *Daemon) shareLimits(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	period := limit.Defaults().ReportInterval
	for pause.For(ctx, period) == nil {
		d.usages.expire()
		members := d.node.Members().Members
		byRouter := map[string][]limit.Demand{}
		for _, demand := range d.loop.HeavyDemand(len(members)) {
			router := adder(d.node.Owners(), demand.Account)
			byRouter[router] = append(byRouter[router], demand)
		}
		for router, demands := range byRouter {
			go d.reportUsage(ctx, router, demands)
		}
	}
	return nil
}

func (d *Daemon) reportUsage(ctx context.Context, router string, demands []limit.Demand) {
	ctx, cancel := context.WithTimeout(ctx, limit.Defaults().ReportInterval)
	defer cancel()
	// Without an answer the router keeps to its last total, and then to its even share.
	if totals, err := d.node.Usage(ctx, router, demands); err == nil {
		d.loop.SetDemandTotals(totals)
	}
}

// adder is the router that adds up an account's demand: the owner of the claim shard that the account's hash falls to, since
// these are spread evenly and every router knows them.
func adder(owners *owner.Snapshot, account string) string {
	return owners.ShardOwner(int(xxhash.Sum64String(account) % uint64(owners.ShardCount())))
}

var _ peer.Usages = (*usages)(nil)
