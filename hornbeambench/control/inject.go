package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

// The outcomes that a drill checks. Their texts are printed with the verdicts.
const (
	outcomeNoFalseRemoval  = "no running router is taken for lost by routers that reach it"
	outcomeMembersAgree    = "all running routers agree on the members"
	outcomeSingleOwner     = "every engine has one owner"
	outcomeSingleWinner    = "of the operators that push from one revision, exactly one wins"
	outcomeTypedConflict   = "every other operator gets a typed conflict with the remedy"
	outcomePushesSettled   = "every push is settled, lost replies by reading back"
	outcomeNoRollback      = "no revision in force goes back"
	outcomeTimelyActivated = "a revision is in force within 7 s on every router that can learn of it"
)

// race holds the results of operators that pushed concurrently from the same base revision. won
// holds the revisions of successful pushes, and failures the errors that are not conflicts.
type race struct {
	base      int64
	won       []int64
	conflicts []error
	failures  []error
}

// schedule schedules the start and the end of a fault.
func (d *drill) schedule(ctx context.Context, f trace.Fault) error {
	apply, revert, err := d.faultActions(ctx, f)
	if err != nil {
		return err
	}
	d.sim.after(duration(f.At), apply)
	if revert != nil && f.DurationSeconds > 0 {
		d.sim.after(duration(f.At+f.DurationSeconds), revert)
	}
	return nil
}

// faultActions returns the functions that start and end a fault. revert is nil for faults without
// a duration.
func (d *drill) faultActions(ctx context.Context, f trace.Fault) (apply, revert func(), err error) {
	switch f.Kind {
	case trace.Cut:
		from, to := f.CutEndpoints()
		a, errA := d.targetNode(from)
		b, errB := d.targetNode(to)
		if err := errors.Join(errA, errB); err != nil {
			return nil, nil, err
		}
		link := [2]string{a.self.ID, b.self.ID}
		return func() { d.linkCuts[link]++ }, func() { d.linkCuts[link]-- }, nil
	case trace.ClockStep, trace.Kill:
		n, err := d.targetNode(f.Target)
		if err != nil {
			return nil, nil, err
		}
		if f.Kind == trace.Kill {
			return func() { n.dead = true }, func() { d.restart(n) }, nil
		}
		return func() { n.clockSkew += duration(f.Value) }, func() { n.clockSkew -= duration(f.Value) }, nil
	case trace.Partition:
		region, err := targetIndex(f.Target, "z", regions)
		return func() { d.isolatedRegion = regionName(region) }, func() { d.isolatedRegion = "" }, err
	case trace.Lag:
		if f.Target != "store" {
			return nil, nil, eris.Errorf("a drill does not support a lag fault on %q: use target store", f.Target)
		}
		return func() { d.headLag = int(f.Value) }, func() { d.headLag = 0 }, nil
	case trace.StoreOutage:
		return func() { d.storeUp = false }, func() { d.storeUp = true }, nil
	case trace.ReplyLoss:
		return func() {
			d.store.Inject(func(c objectapi.Call) objectapi.Fault { return objectapi.Fault{Lost: c.Write()} })
		}, func() { d.store.Inject(nil) }, nil
	case trace.OperatorRace:
		return func() { d.startRace(ctx, int(f.Value)) }, nil, nil
	}
	return nil, nil, eris.Errorf("a drill does not support faults of kind %q: use cut, clock, kill, lag, part, store, reply or operators", f.Kind)
}

// targetIndex returns the index of a target, starting at 0: r3 has the index 2.
func targetIndex(name, prefix string, count int) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, prefix))
	if err != nil || n < 1 || n > count {
		return 0, eris.Errorf("%q is not a valid target: use %s1 to %s%d", name, prefix, prefix, count)
	}
	return n - 1, nil
}

func (d *drill) targetNode(name string) (*virtualNode, error) {
	i, err := targetIndex(name, "r", len(d.sim.nodes))
	if err != nil {
		return nil, err
	}
	return d.sim.nodes[i], nil
}

// restart starts a new process of a dead router.
func (d *drill) restart(n *virtualNode) {
	n.dead = false
	i, _ := strconv.Atoi(strings.TrimPrefix(n.self.ID, "router-"))
	d.sim.restart(i)
	d.resetRevisions(n, revision.Config{})
}

// startRace makes operators push different changes concurrently, based on the head revision. It
// does nothing while the object API is unavailable.
func (d *drill) startRace(ctx context.Context, operators int) {
	if !d.storeUp {
		return
	}
	head, err := d.history.Head(ctx)
	var notFound *history.RevisionNotFoundError
	if err != nil && !errors.As(err, &notFound) {
		d.sim.err = err
		return
	}
	r := race{base: head.Number}
	d.pushNested(ctx, &r, operators)
	d.races = append(d.races, r)
	d.addDeadlines(r)
}

// pushNested runs the push of one operator. Before one of the writes of this push, it calls itself
// for the remaining operators, so that all pushes overlap.
func (d *drill) pushNested(ctx context.Context, r *race, operators int) {
	d.pushCount++
	id := strconv.Itoa(d.pushCount)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &racingStore{Store: d.store, without: d.without, cancel: cancel, interruptedPut: 1 + d.rnd.IntN(3)}
	if operators > 1 {
		store.pushOthers = func() { d.pushNested(context.WithoutCancel(ctx), r, operators-1) }
	}
	h := &history.History{Store: store, Now: d.sim.clock, Pause: time.Millisecond}
	pushed, err := h.Push(ctx, history.Change{
		Base: r.base, Author: "operator " + id, Message: "change " + id, Push: id,
		Files: []configfile.File{{Name: "10.yaml", Data: fmt.Appendf(nil, "pools:\n  p: {wait: %ds}\n", 1+d.pushCount)}},
	})
	var conflict *history.ConflictError
	switch {
	case err == nil:
		r.won = append(r.won, pushed.Number)
	case errors.As(err, &conflict):
		r.conflicts = append(r.conflicts, conflict)
	default:
		r.failures = append(r.failures, err)
	}
}

// addDeadlines records the winner's revision as the new head and adds a deadline for its activation
// on every running router. The deadline of a router in the isolated region is deferred.
func (d *drill) addDeadlines(r race) {
	if len(r.won) == 0 {
		return
	}
	d.heads = append(d.heads, r.won[0])
	for _, n := range d.sim.nodes {
		if n.dead {
			continue
		}
		isolated := d.isolatedRegion != "" && n.self.Region == d.isolatedRegion
		d.deadlines = append(d.deadlines, activationDeadline{router: n, revision: r.won[0], at: d.sim.now.Add(activationLimit), deferred: isolated})
	}
}

// racingStore wraps the object API for one operator. It calls pushOthers once, before write number
// interruptedPut, counted from 1, or before the write of the head, whichever comes first.
type racingStore struct {
	objectapi.Store
	without        Mechanism
	cancel         context.CancelFunc
	interruptedPut int
	pushOthers     func()
	putCount       int
	// failReads is true once the reply to the write of the head was lost while ReadBack is disabled.
	// All reads fail from then on, so that the operator cannot read the head back.
	failReads bool
}

// Put implements objectapi.Store.
func (s *racingStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	s.putCount++
	isHead := o.Name == "head"
	if s.pushOthers != nil && (s.putCount == s.interruptedPut || isHead) {
		pushOthers := s.pushOthers
		s.pushOthers = nil
		pushOthers()
	}
	if isHead && s.without == ConditionalUpdate {
		if current, err := s.Store.Get(ctx, o.Kind, o.Name); err == nil {
			o.Version = current.Version
		}
	}
	version, err := s.Store.Put(ctx, o)
	var ambiguous *objectapi.AmbiguousError
	if isHead && s.without == ReadBack && errors.As(err, &ambiguous) {
		s.failReads = true
		s.cancel()
	}
	return version, err
}

// Get implements objectapi.Store.
func (s *racingStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if s.failReads {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: context.Canceled}
	}
	return s.Store.Get(ctx, kind, name)
}

// verdicts checks the outcomes. It omits the outcomes about revisions if no operator pushed.
func (d *drill) verdicts() []Verdict {
	races, withoutSingleWinner, untyped, unsettled, pushes := 0, 0, 0, 0, 0
	for _, r := range d.races {
		races++
		pushes += len(r.won) + len(r.conflicts) + len(r.failures)
		if len(r.won) != 1 {
			withoutSingleWinner++
		}
		unsettled += len(r.failures)
		for _, err := range r.conflicts {
			if len(r.won) == 0 || !strings.Contains(err.Error(), fmt.Sprintf("push with base %d", r.won[0])) {
				untyped++
			}
		}
	}
	running, complete, withoutSingleOwner := 0, 0, 0
	for _, n := range d.sim.nodes {
		if n.dead {
			continue
		}
		running++
		if v := n.members.View(d.sim.now); v.Trusted && aliveCount(v) == d.runningCount() {
			complete++
		}
	}
	for _, e := range d.sim.engines {
		owners := 0
		for _, n := range d.sim.nodes {
			if !n.dead && n.owners.OwnsEngine(e.ID) {
				owners++
			}
		}
		if owners != 1 {
			withoutSingleOwner++
		}
	}
	late := d.missedDeadlines + len(d.deadlines)
	countVerdict := func(outcome string, failed, total int, unit string) Verdict {
		return Verdict{outcome, failed == 0 && total > 0, fmt.Sprintf("%d of %d %s", failed, total, unit)}
	}
	verdicts := []Verdict{
		countVerdict(outcomeNoFalseRemoval, d.falseRemovals, running, "routers"),
		{outcomeMembersAgree, complete == running, fmt.Sprintf("%d of %d routers", complete, running)},
		countVerdict(outcomeSingleOwner, withoutSingleOwner, len(d.sim.engines), "engines"),
	}
	if races == 0 {
		return verdicts
	}
	return append(verdicts,
		countVerdict(outcomeSingleWinner, withoutSingleWinner, races, "races"),
		countVerdict(outcomeTypedConflict, untyped, pushes, "pushes"),
		countVerdict(outcomePushesSettled, unsettled, pushes, "pushes"),
		countVerdict(outcomeNoRollback, d.rollbacks, d.activations, "changes"),
		countVerdict(outcomeTimelyActivated, late, races*len(d.sim.nodes), "routers"),
	)
}

func (d *drill) runningCount() int {
	count := 0
	for _, n := range d.sim.nodes {
		if !n.dead {
			count++
		}
	}
	return count
}

// aliveCount counts the members of a view with the status Alive.
func aliveCount(v *member.View) int {
	count := 0
	for _, m := range v.Members {
		if m.Status == member.Alive {
			count++
		}
	}
	return count
}

// checkRemoval counts a false removal: a router removed a running router although no isolated
// region separates them. A cut of the link between the two does not justify a removal, since other
// routers can still probe the removed one. Routers that started less than convergenceTimeout ago do
// not count.
func (d *drill) checkRemoval(by *virtualNode, m member.Member) {
	n := d.findNode(m.ID)
	if m.Status != member.Removed || n == nil || n.dead || d.sim.now.Sub(n.startedAt) < convergenceTimeout {
		return
	}
	if d.isolatedRegion == "" || (n.self.Region == d.isolatedRegion) == (by.self.Region == d.isolatedRegion) {
		d.falseRemovals++
	}
}
