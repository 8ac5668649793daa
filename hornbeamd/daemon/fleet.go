package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/timeline"
)

// queryTimeout limits how long an operator's query waits for other daemons; maxParallelQueries
// limits the concurrent calls.
const (
	queryTimeout       = 2 * time.Second
	maxParallelQueries = 32
)

// fleet answers the queries of operators. It implements operator.Fleet.
type fleet struct{ daemon *Daemon }

// Status implements operator.Fleet.
func (f *fleet) Status(context.Context) (operator.Status, error) {
	d := f.daemon
	s := operator.Status{
		Daemon: d.Settings.ID, Zone: d.Settings.Zone, Region: d.Settings.Region,
		Revision: d.loop.Policy().Revision, Draining: d.loop.Draining(), Ready: true,
	}
	if err := d.loop.Ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	for _, m := range d.node.Members().Members {
		s.Members = append(s.Members, operator.Member{
			ID: m.ID, Address: m.Address, Zone: m.Zone, State: memberState(m), Incarnation: uint64(m.Incarnation),
		})
	}
	s.Owners = f.owners()
	return s, nil
}

func memberState(m member.Member) string {
	if m.Leaving {
		return "leaving"
	}
	return m.Status.String()
}

func (f *fleet) owners() []operator.Owner {
	snapshot := f.daemon.node.Owners()
	var out []operator.Owner
	p := f.daemon.loop.Policy()
	for _, name := range slices.Sorted(maps.Keys(p.Backends)) {
		if p.Backends[name].Pool != "" {
			out = append(out, operator.Owner{Kind: "backend", Name: name, Router: snapshot.EngineOwner(name)})
		}
	}
	for _, zone := range snapshot.Zones() {
		for _, router := range snapshot.Relays(zone) {
			out = append(out, operator.Owner{Kind: "relay", Name: zone, Router: router})
		}
	}
	for i := range snapshot.ShardCount() {
		out = append(out, operator.Owner{Kind: "shard", Name: strconv.Itoa(i), Router: snapshot.ShardOwner(i)})
	}
	return out
}

// Backends implements operator.Fleet. Only the owner of an engine knows its load, so the entries
// that the owners report replace those of this daemon.
func (f *fleet) Backends(ctx context.Context) ([]operator.Backend, error) {
	byName := map[string]operator.Backend{}
	for _, b := range f.daemon.loop.Backends() {
		byName[b.Name] = b
	}
	reports, _ := f.collectReports(ctx)
	for _, r := range reports {
		for _, b := range r.Owned {
			byName[b.Name] = b
		}
	}
	var out []operator.Backend
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out, nil
}

// statusReport is the answer of one daemon when another daemon collects the status of the fleet for
// an operator. It is encoded as JSON.
type statusReport struct {
	Router   string
	Zone     string
	Revision int64
	Owned    []operator.Backend
	Orders   []operator.Order
}

// Status implements peer.Operator.
func (d *Daemon) Status(context.Context) ([]byte, error) {
	r := statusReport{Router: d.Settings.ID, Zone: d.Settings.Zone, Revision: d.loop.Policy().Revision, Orders: d.recentOrders()}
	for _, b := range d.loop.Backends() {
		if b.Owner == d.Settings.ID {
			r.Owned = append(r.Owned, b)
		}
	}
	return json.Marshal(r)
}

// collectReports asks all daemons for a status report. It also returns the daemons whose report did
// not arrive in time or is unreadable.
func (f *fleet) collectReports(ctx context.Context) ([]statusReport, []member.Member) {
	var mu sync.Mutex
	var reports []statusReport
	var missing []member.Member
	f.forEachMember(ctx, func(ctx context.Context, m member.Member) {
		document, err := f.daemon.node.Status(ctx, m.ID)
		var r statusReport
		if err == nil {
			err = json.Unmarshal(document, &r)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, m)
			return
		}
		reports = append(reports, r)
	})
	return reports, missing
}

// forEachMember invokes call for all members, at most maxParallelQueries at a time.
func (f *fleet) forEachMember(ctx context.Context, call func(context.Context, member.Member)) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for _, m := range f.daemon.node.Members().Members {
		group.Go(func() error {
			call(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// Drain implements operator.Fleet.
func (f *fleet) Drain(ctx context.Context, target operator.Target) (operator.Drained, error) {
	if target.Self {
		f.daemon.requestDrain()
		return operator.Drained{Target: f.daemon.Settings.ID, State: "draining", Running: f.daemon.server.Active()}, nil
	}
	return f.setDrained(ctx, target, true)
}

// Undrain implements operator.Fleet.
func (f *fleet) Undrain(ctx context.Context, target operator.Target) (operator.Drained, error) {
	if target.Self {
		return operator.Drained{}, &operator.Error{
			Code: operator.Conflict, Message: "a daemon that drains can't be taken back", Remedy: "start it again",
		}
	}
	return f.setDrained(ctx, target, false)
}

func (f *fleet) setDrained(ctx context.Context, target operator.Target, drained bool) (operator.Drained, error) {
	if _, ok := f.daemon.loop.Policy().Backends[target.Backend]; !ok {
		return operator.Drained{}, &operator.Error{
			Code: operator.NotFound, Message: fmt.Sprintf("backend server %q is not in the configuration", target.Backend),
			Remedy: "list the backend servers with hornbeamctl status",
		}
	}
	action := "undrain"
	if drained {
		action = "drain"
	}
	f.daemon.sharedState.decide(ctx, decision.Drain, target.Backend, drained, target.Reason)
	f.daemon.ring.Add(timeline.Event{Kind: timeline.Drained, Backend: target.Backend, Text: action + ": " + target.Reason})
	result := operator.Drained{Target: target.Backend, State: "service"}
	if !drained {
		return result, nil
	}
	result.State = "drained"
	for _, b := range f.daemon.loop.Backends() {
		if b.Name == target.Backend && b.Running > 0 {
			result.State, result.Running = "draining", b.Running
		}
	}
	return result, nil
}

// Where implements operator.Fleet.
func (f *fleet) Where(_ context.Context, q operator.Query) (operator.Where, error) {
	model, err := chooseModel(f.daemon.loop.Policy(), q.Model)
	if err != nil {
		return operator.Where{}, err
	}
	placement := f.daemon.loop.PlaceChat(q.Account, model, q.Adapter, q.Chat)
	return operator.Where{
		Chat: q.Chat, Model: model, Engine: placement.Engine, Home: placement.Home, Second: placement.SecondHome,
		Reason: placement.Reason.String(), Owner: f.daemon.node.Owners().EngineOwner(placement.Engine),
	}, nil
}

// chooseModel returns the named model, or the only configured model if the name is empty.
func chooseModel(p policy.Policy, name string) (string, error) {
	if _, ok := p.Models[name]; ok {
		return name, nil
	}
	models := slices.Sorted(maps.Keys(p.Models))
	if name == "" && len(models) == 1 {
		return models[0], nil
	}
	return "", &operator.Error{
		Code: operator.Invalid, Message: fmt.Sprintf("model %q is not in the configuration", name),
		Remedy: fmt.Sprintf("name one of %v", models),
	}
}

// Top implements operator.Fleet.
func (f *fleet) Top(ctx context.Context, limit int) (operator.Top, error) {
	top := operator.Top{Accounts: f.daemon.loop.Accounts(limit)}
	backends, err := f.Backends(ctx)
	if err != nil {
		return top, err
	}
	for _, b := range backends {
		if b.Pool == "" {
			continue
		}
		use := operator.EngineUse{Name: b.Name, Pool: b.Pool, Load: b.Load}
		if b.Mean > 0 {
			use.Ratio = b.Load / b.Mean
		}
		top.Engines = append(top.Engines, use)
	}
	// The highest load comes first.
	slices.SortStableFunc(top.Engines, func(a, b operator.EngineUse) int { return compareLoads(b.Load, a.Load) })
	top.Engines = top.Engines[:min(limit, len(top.Engines))]
	return top, nil
}

func compareLoads(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Orders implements operator.Fleet. It sorts the orders by fencing token, which puts those of an
// engine's earlier owner before those of a later one.
func (f *fleet) Orders(ctx context.Context) ([]operator.Order, error) {
	reports, _ := f.collectReports(ctx)
	var all []operator.Order
	for _, r := range reports {
		all = append(all, r.Orders...)
	}
	slices.SortFunc(all, func(a, b operator.Order) int { return int(min(1, max(-1, a.Fence-b.Fence))) })
	return all, nil
}

// Quarantine implements operator.Fleet.
func (f *fleet) Quarantine(context.Context) ([]operator.Quarantined, error) {
	return f.daemon.sharedState.withAccounts(f.daemon.loop.Quarantine()), nil
}

// Release implements operator.Fleet.
func (f *fleet) Release(ctx context.Context, fingerprint string) error {
	if !f.daemon.loop.IsQuarantined(fingerprint) {
		return &operator.Error{
			Code: operator.NotFound, Message: fmt.Sprintf("fingerprint %q is not quarantined", fingerprint),
			Remedy: "list the fingerprints with hornbeamctl quarantine list",
		}
	}
	f.daemon.sharedState.decide(ctx, decision.Quarantine, fingerprint, false, "")
	return nil
}

// Timeline implements operator.Fleet.
func (f *fleet) Timeline(ctx context.Context, filter timeline.Filter) (operator.Timeline, error) {
	var mu sync.Mutex
	var eventLists [][]timeline.Event
	var out operator.Timeline
	query := peer.Query{Request: filter.Request, Chat: filter.Chat, Since: filter.Since, Limit: filter.Limit}
	f.forEachMember(ctx, func(ctx context.Context, m member.Member) {
		found, err := f.daemon.node.Events(ctx, m.ID, query)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Missing = append(out.Missing, m.ID)
			return
		}
		eventLists = append(eventLists, found)
	})
	out.Events = timeline.Merge(eventLists...)
	if filter.Limit > 0 && len(out.Events) > filter.Limit {
		out.Events = out.Events[len(out.Events)-filter.Limit:]
	}
	slices.Sort(out.Missing)
	return out, nil
}

// InForce implements operator.Fleet. Revision 0 stands for the latest revision.
func (f *fleet) InForce(ctx context.Context, revision int64) (operator.InForce, error) {
	if revision == 0 {
		head, err := f.daemon.history.Head(ctx)
		if err != nil {
			return operator.InForce{}, &operator.Error{
				Code: operator.Unavailable, Message: err.Error(), Remedy: "name a revision, or wait for the object API", Cause: err,
			}
		}
		revision = head.Number
	}
	out := operator.InForce{Revision: revision, Complete: true}
	reports, missing := f.collectReports(ctx)
	for _, r := range reports {
		out.Routers = append(out.Routers, operator.RouterRevision{Router: r.Router, Zone: r.Zone, Revision: r.Revision, Answered: true})
		out.Complete = out.Complete && r.Revision >= revision
	}
	for _, m := range missing {
		out.Routers = append(out.Routers, operator.RouterRevision{Router: m.ID, Zone: m.Zone})
		out.Complete = false
	}
	slices.SortFunc(out.Routers, func(a, b operator.RouterRevision) int {
		if a.Router < b.Router {
			return -1
		}
		return 1
	})
	return out, nil
}

// Doctor implements operator.Fleet.
func (f *fleet) Doctor(ctx context.Context) ([]operator.Check, error) {
	return f.daemon.checks(ctx), nil
}
