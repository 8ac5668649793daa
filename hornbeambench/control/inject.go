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

// The outcomes.
const (
	noneLost  = "no running router is taken for lost by routers that reach it"
	allAgree  = "all running routers agree on the members"
	oneOwner  = "every engine has one owner"
	oneWinner = "of the operators that push from one revision, exactly one wins"
	typed     = "every other operator gets a typed conflict with the remedy"
	settled   = "every push is settled, lost replies by reading back"
	growing   = "no revision in force goes back"
	inForce   = "a revision is in force within 7 s on every router that can learn of it"
)

// race is the result of operators that pushed from one revision at the same moment.
type race struct {
	base      int64
	won       []int64
	conflicts []error
	others    []error
}

// schedule plans a fault.
func (d *drill) schedule(ctx context.Context, f trace.Fault) error {
	act, undo, err := d.fault(ctx, f)
	if err != nil {
		return err
	}
	d.w.later(duration(f.At), act)
	if undo != nil && f.For > 0 {
		d.w.later(duration(f.At+f.For), undo)
	}
	return nil
}

// fault returns what a fault does and, if it ends, what ends it.
func (d *drill) fault(ctx context.Context, f trace.Fault) (act, undo func(), err error) {
	switch f.Kind {
	case trace.Cut:
		from, to := f.Link()
		a, errA := d.target(from)
		b, errB := d.target(to)
		if err := errors.Join(errA, errB); err != nil {
			return nil, nil, err
		}
		link := [2]string{a.self.ID, b.self.ID}
		return func() { d.cuts[link]++ }, func() { d.cuts[link]-- }, nil
	case trace.Clock, trace.Kill:
		n, err := d.target(f.Target)
		if err != nil {
			return nil, nil, err
		}
		if f.Kind == trace.Kill {
			return func() { n.dead = true }, func() { d.restart(n) }, nil
		}
		return func() { n.skew += duration(f.Value) }, func() { n.skew -= duration(f.Value) }, nil
	case trace.Part:
		region, err := number(f.Target, "z", regions)
		return func() { d.parted = regionName(region) }, func() { d.parted = "" }, err
	case trace.Lag:
		if f.Target != "store" {
			return nil, nil, eris.Errorf("a drill has no lag of %q: use target store", f.Target)
		}
		return func() { d.behind = int(f.Value) }, func() { d.behind = 0 }, nil
	case trace.Store:
		return func() { d.up = false }, func() { d.up = true }, nil
	case trace.Reply:
		return func() {
			d.store.Inject(func(c objectapi.Call) objectapi.Fault { return objectapi.Fault{Lost: c.Write()} })
		}, func() { d.store.Inject(nil) }, nil
	case trace.Operators:
		return func() { d.push(ctx, int(f.Value)) }, nil, nil
	}
	return nil, nil, eris.Errorf("a drill has no fault of kind %q: use cut, clock, kill, lag, part, store, reply or operators", f.Kind)
}

// number reads the number of a target such as r3, from 0.
func number(name, prefix string, limit int) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, prefix))
	if err != nil || n < 1 || n > limit {
		return 0, eris.Errorf("%q is no target: use %s1 to %s%d", name, prefix, prefix, limit)
	}
	return n - 1, nil
}

func (d *drill) target(name string) (*virtualNode, error) {
	i, err := number(name, "r", len(d.w.nodes))
	if err != nil {
		return nil, err
	}
	return d.w.nodes[i], nil
}

// restart replaces a dead router.
func (d *drill) restart(n *virtualNode) {
	n.dead = false
	i, _ := strconv.Atoi(strings.TrimPrefix(n.self.ID, "router-"))
	d.w.restart(i)
	d.begin(n, revision.Config{})
}

// push lets operators push different changes from one revision at the same moment: before the write of one, the next begins.
func (d *drill) push(ctx context.Context, operators int) {
	if !d.up {
		return
	}
	head, err := d.history.Head(ctx)
	var none *history.RevisionNotFoundError
	if err != nil && !errors.As(err, &none) {
		d.w.err = err
		return
	}
	r := race{base: head.Number}
	d.begins(ctx, &r, operators)
	d.races = append(d.races, r)
	d.owe(r)
}

// begins lets one operator push, and the remaining ones within that.
func (d *drill) begins(ctx context.Context, r *race, left int) {
	d.pushes++
	id := strconv.Itoa(d.pushes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &racing{Store: d.store, without: d.without, cancel: cancel, at: 1 + d.rnd.IntN(3)}
	if left > 1 {
		store.next = func() { d.begins(context.WithoutCancel(ctx), r, left-1) }
	}
	h := &history.History{Store: store, Now: d.w.clock, Pause: time.Millisecond}
	made, err := h.Push(ctx, history.Change{
		Base: r.base, Author: "operator " + id, Message: "change " + id, Push: id,
		Files: []configfile.File{{Name: "10.yaml", Data: fmt.Appendf(nil, "pools:\n  p: {wait: %ds}\n", 1+d.pushes)}},
	})
	var conflict *history.ConflictError
	switch {
	case err == nil:
		r.won = append(r.won, made.Number)
	case errors.As(err, &conflict):
		r.conflicts = append(r.conflicts, conflict)
	default:
		r.others = append(r.others, err)
	}
}

// owe notes by when the routers have to have the winner's revision in force.
func (d *drill) owe(r race) {
	if len(r.won) == 0 {
		return
	}
	d.heads = append(d.heads, r.won[0])
	for _, n := range d.w.nodes {
		if n.dead {
			continue
		}
		off := d.parted != "" && n.self.Region == d.parted
		d.owed = append(d.owed, owed{router: n, revision: r.won[0], by: d.w.now.Add(force), after: off})
	}
}

// racing is the object API as one operator sees it. Before the write number at, another operator begins.
type racing struct {
	objectapi.Store
	without Mechanism
	cancel  context.CancelFunc
	at      int
	next    func()
	puts    int
	blind   bool
}

// Put implements objectapi.Store.
func (s *racing) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	s.puts++
	head := o.Name == "head"
	if s.next != nil && (s.puts == s.at || head) {
		next := s.next
		s.next = nil
		next()
	}
	if head && s.without == Conditional {
		if now, err := s.Store.Get(ctx, o.Kind, o.Name); err == nil {
			o.Version = now.Version
		}
	}
	version, err := s.Store.Put(ctx, o)
	var ambiguous *objectapi.AmbiguousError
	if head && s.without == ReadBack && errors.As(err, &ambiguous) {
		s.blind = true
		s.cancel()
	}
	return version, err
}

// Get implements objectapi.Store.
func (s *racing) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if s.blind {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: context.Canceled}
	}
	return s.Store.Get(ctx, kind, name)
}

// verdicts judges the outcomes.
func (d *drill) verdicts() []Verdict {
	races, double, untyped, unsettled, pushes := 0, 0, 0, 0, 0
	for _, r := range d.races {
		races++
		pushes += len(r.won) + len(r.conflicts) + len(r.others)
		if len(r.won) != 1 {
			double++
		}
		unsettled += len(r.others)
		for _, err := range r.conflicts {
			if len(r.won) == 0 || !strings.Contains(err.Error(), fmt.Sprintf("push with base %d", r.won[0])) {
				untyped++
			}
		}
	}
	running, complete, stray := 0, 0, 0
	for _, n := range d.w.nodes {
		if n.dead {
			continue
		}
		running++
		if v := n.members.View(d.w.now); v.Trusted && alive(v) == d.running() {
			complete++
		}
	}
	for _, e := range d.w.engines {
		owners := 0
		for _, n := range d.w.nodes {
			if !n.dead && n.owners.OwnsEngine(e.ID) {
				owners++
			}
		}
		if owners != 1 {
			stray++
		}
	}
	late := d.late + len(d.owed)
	one := func(name string, bad, of int, what string) Verdict {
		return Verdict{name, bad == 0 && of > 0, fmt.Sprintf("%d of %d %s", bad, of, what)}
	}
	verdicts := []Verdict{
		one(noneLost, d.removed, running, "routers"),
		{allAgree, complete == running, fmt.Sprintf("%d of %d routers", complete, running)},
		one(oneOwner, stray, len(d.w.engines), "engines"),
	}
	if races == 0 {
		return verdicts
	}
	return append(verdicts,
		one(oneWinner, double, races, "races"),
		one(typed, untyped, pushes, "pushes"),
		one(settled, unsettled, pushes, "pushes"),
		one(growing, d.reverted, d.changes, "changes"),
		one(inForce, late, races*len(d.w.nodes), "routers"),
	)
}

func (d *drill) running() int {
	n := 0
	for _, x := range d.w.nodes {
		if !x.dead {
			n++
		}
	}
	return n
}

// alive counts the members of a view that are not suspect.
func alive(v *member.View) int {
	n := 0
	for _, m := range v.Members {
		if m.Status == member.Alive {
			n++
		}
	}
	return n
}

// lost counts running routers that others take for lost although they reach each other. A link cut one way, on which other routers
// can help out, is no reason.
func (d *drill) lost(by *virtualNode, m member.Member) {
	n := d.node(m.ID)
	if m.Status != member.Removed || n == nil || n.dead || d.w.now.Sub(n.born) < agree {
		return
	}
	if d.parted == "" || (n.self.Region == d.parted) == (by.self.Region == d.parted) {
		d.removed++
	}
}
