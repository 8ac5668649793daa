package history_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

// The fixed seed makes the result reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

func files(bound string) []configfile.File {
	return []configfile.File{
		{Name: "a.yaml", Data: []byte("pools: {p: {bound: " + bound + "}}\n")},
		{Name: "b.yaml", Data: []byte("models: {m: {pool: p}}\n")},
	}
}

func change(base int64, id, bound string) history.Change {
	return history.Change{Base: base, Author: id, Message: "set bound", Files: files(bound), Push: id}
}

// Guards against operators who overwrite each other's changes, against fetching unchanged files
// again, and against a wrong history, difference or origin of a value.
func TestPushAndFetch(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := &objectapi.Memory{}
	h := &history.History{Store: m}
	_, err := h.Head(ctx)
	var notFound *history.RevisionNotFoundError
	c.Assert(errors.As(err, &notFound), qt.IsTrue)

	one, err := h.Push(ctx, change(0, "one", "2"))
	c.Assert(err, qt.IsNil)
	two, err := h.Push(ctx, change(1, "two", "3"))
	c.Assert(err, qt.IsNil)
	_, err = h.Push(ctx, change(1, "late", "4"))
	var conflict *history.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Head.Author, qt.Equals, "two")
	same, err := h.Push(ctx, change(history.AnyBase, "again", "3"))
	c.Assert(err, qt.IsNil)
	c.Assert(same.Number, qt.Equals, two.Number)

	old, err := history.Fetch(ctx, one, nil, h)
	c.Assert(err, qt.IsNil)
	c.Assert(history.Missing(two, old), qt.HasLen, 1)
	before := m.Counts().Get
	contents, err := history.Fetch(ctx, two, old, peer{"wrong"}, h)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Counts().Get-before, qt.Equals, int64(1))
	state, err := history.NewSnapshot(two, contents, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Policy.Pools["p"].Bound, qt.Equals, 3.0)

	list, err := h.List(ctx, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 2)
	c.Assert(history.DiffFiles(one.Files, two.Files)[0].Name, qt.Equals, "a.yaml")
	first, _, err := h.Load(ctx, one)
	c.Assert(err, qt.IsNil)
	second, _, err := h.Load(ctx, two)
	c.Assert(err, qt.IsNil)
	c.Assert(history.DiffValues(first, second), qt.DeepEquals, []history.ValueDiff{{Key: "pools.p.bound", Before: "2", After: "3"}})
	e, err := h.Explain(ctx, one, "pools.p.bound")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Value, qt.Equals, "2")
	_, err = h.Push(ctx, change(two.Number, "bad", "0"))
	var errs configfile.Errors
	c.Assert(errors.As(err, &errs), qt.IsTrue)
}

// A starting router watches from version 0. Guards against a watch that then returns every file and
// revision ever pushed, an amount that grows with each push.
func TestWatchStartsAtHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := &objectapi.Memory{}
		h := &history.History{Store: m}
		number, next, err := h.Watch(ctx, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, number, qt.Equals, int64(0))
		for i := range 3 {
			_, err := h.Push(ctx, change(int64(i), fmt.Sprint(i), fmt.Sprint(i+2)))
			qt.Assert(t, err, qt.IsNil)
		}
		before := m.Counts().Watch
		number, next, err = h.Watch(ctx, next)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, number, qt.Equals, int64(3))
		qt.Assert(t, m.Counts().Watch, qt.Equals, before)
		go func() { _, _ = h.Push(ctx, change(3, "four", "9")) }()
		for number != 4 {
			number, next, err = h.Watch(ctx, next)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}

// peer is a BlobSource that returns the same data for every file.
type peer struct{ data string }

func (p peer) Blob(context.Context, history.FileRef) ([]byte, error) { return []byte(p.data), nil }

// Guards against files larger than the value limit of the object API being rejected or corrupted.
func TestLargeFile(t *testing.T) {
	c := qt.New(t)
	h := &history.History{Store: &objectapi.Memory{}}
	large := configfile.File{Name: "c.yaml", Data: []byte(strings.Repeat("# padding\n", 230_000))}
	r, err := h.Push(context.Background(), history.Change{Files: append(files("2"), large), Push: "one"})
	c.Assert(err, qt.IsNil)
	_, got, err := h.Load(context.Background(), r)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got[2].Data) == string(large.Data), qt.IsTrue)
}

// The reply to a write can be lost before or after the write takes effect. Guards against a push
// that then reports a conflict or an error although it succeeded, and against one that reports
// success although the head is another push.
func TestPushResolvesLostReply(t *testing.T) {
	faults := map[string]objectapi.Fault{"reply lost after effect": {Lost: true}, "reply lost before effect": {Late: 300 * time.Millisecond}}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &objectapi.Memory{}
				m.Inject(func(c objectapi.Call) objectapi.Fault {
					if c.Write() && c.N <= 4 {
						return f
					}
					return objectapi.Fault{}
				})
				h := &history.History{Store: m}
				r, err := h.Push(context.Background(), change(0, "one", "2"))
				qt.Assert(t, err, qt.IsNil)
				head, err := h.Head(context.Background())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, head.Push, qt.Equals, r.Push)
				// Lets the delayed writes take effect before the test ends.
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against an active configuration that goes back to an earlier revision.
func TestActiveConfigIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var active history.ActiveConfig
		highest := int64(0)
		for _, n := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "revisions") {
			accepted := active.Accept(history.Snapshot{Revision: history.Revision{Number: n}})
			if accepted != (n > highest) {
				t.Fatalf("revision %d after %d: accepted %v", n, highest, accepted)
			}
			highest = max(highest, n)
			if s, ok := active.Current(); !ok || s.Revision.Number != highest {
				t.Fatalf("active revision is %d, want %d", s.Revision.Number, highest)
			}
		}
	})
}

// registerInput is a read of the head or, if read is false, a push made from base.
type registerInput struct {
	read bool
	base int64
}

// registerOutput is the head that was read, or the outcome of a push. The outcome of a push that
// neither succeeded nor conflicted is unknown.
type registerOutput struct {
	number                int64
	succeeded, conflicted bool
}

// headModel models the head as a compare-and-swap register. A push succeeds if and only if the head
// equals its base, and then increases the head.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read && out.number == head:
			return []any{head}
		case in.read:
			return nil
		case out.succeeded && head == in.base && out.number > head:
			return []any{out.number}
		case out.succeeded:
			return nil
		case out.conflicted && head != in.base:
			return []any{head}
		case out.conflicted:
			return nil
		case head == in.base && out.number > head:
			// The outcome is unknown, so the push may or may not have changed the head.
			return []any{head, out.number}
		}
		return []any{head}
	},
}).ToModel()

// Guards against two successful pushes from one base, a successful push that reports a conflict,
// and a head that goes back, with outages, lost replies and delayed writes.
func TestHeadIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHead(t, seed) })
		})
	}
}

func checkHead(t *testing.T, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(seed, objectapi.FaultProbabilities{
		Down: 0.05, Lost: 0.2, Late: 0.15, Slow: 20 * time.Millisecond, Delay: 400 * time.Millisecond,
	}))
	start := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, call time.Time, in registerInput, out registerOutput, outcomeUnknown bool) {
		end := time.Since(start)
		if outcomeUnknown {
			// The write may take effect at any later time.
			end = 1 << 60
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(start)), Output: out, Return: int64(end)})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			h := &history.History{Store: m}
			for i := range 6 {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				call := time.Now()
				head, err := h.Head(ctx)
				var notFound *history.RevisionNotFoundError
				if err == nil || errors.As(err, &notFound) {
					record(client, call, registerInput{read: true}, registerOutput{number: head.Number}, false)
				}
				call = time.Now()
				id := fmt.Sprintf("%d-%d", client, i)
				// The bound is unique, because a push of unchanged files does not change the head.
				r, err := h.Push(ctx, change(head.Number, id, fmt.Sprintf("%d.%d", client+1, i+1)))
				in := registerInput{base: head.Number}
				var conflict *history.ConflictError
				var unknown *history.UnknownOutcomeError
				switch {
				case err == nil:
					record(client, call, in, registerOutput{number: r.Number, succeeded: true}, false)
				case errors.As(err, &conflict):
					record(client, call, in, registerOutput{conflicted: true}, false)
				case errors.As(err, &unknown):
					record(client, call, in, registerOutput{number: unknown.Number}, true)
				}
				// A push with any other error has not changed the head and is not recorded.
				cancel()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	qt.Assert(t, len(ops) > 20, qt.IsTrue)
	qt.Assert(t, porcupine.CheckOperations(headModel, ops), qt.IsTrue)
}
