package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/routing/limit"
)

// usageAggregator adds up the demand that all routers report for heavy client accounts; see
// limit.Limiter.HeavyDemand. Each router aggregates the accounts that accountAggregator assigns to
// it. It implements peer.Usages.
type usageAggregator struct {
	mu         sync.Mutex
	aggregator *limit.Aggregator
}

func newUsageAggregator() *usageAggregator {
	return &usageAggregator{aggregator: limit.NewAggregator(limit.Defaults())}
}

// Report implements peer.Usages.
func (u *usageAggregator) Report(router string, demands []limit.Demand) []limit.Total {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.aggregator.Report(time.Now(), router, demands)
}

// expire deletes outdated reports.
func (u *usageAggregator) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aggregator.Expire(time.Now())
}

// exchangeUsage periodically reports this router's demand of heavy client accounts to the routers
// that aggregate it, and passes the totals they return to the control loop. This enforces the
// limits of a client account across all routers.
func (d *Daemon) exchangeUsage(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	interval := limit.Defaults().ReportInterval
	for sleep.For(ctx, interval) == nil {
		d.usages.expire()
		members := d.node.Members().Members
		byRouter := map[string][]limit.Demand{}
		for _, demand := range d.loop.HeavyDemand(len(members)) {
			router := accountAggregator(d.node.Owners(), demand.Account)
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
	// If the call fails, the control loop continues with the last total. Once that is too old, it
	// applies an even share of the limit to this router.
	if totals, err := d.node.Usage(ctx, router, demands); err == nil {
		d.loop.SetDemandTotals(totals)
	}
}

// accountAggregator returns the router that adds up the demand of a client account. The hash of the
// account selects a shard of the claim log, and the owner of the shard aggregates the account.
// Shards are spread evenly over the routers, and every router knows their owners.
func accountAggregator(owners *owner.Snapshot, account string) string {
	return owners.ShardOwner(int(xxhash.Sum64String(account) % uint64(owners.ShardCount())))
}

var _ peer.Usages = (*usageAggregator)(nil)
