package endtoend

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
)

// operator returns a client of a router's operator interface.
func (w *world) operator(d *daemon.Daemon) *operator.Client {
	_, _, address := d.Addresses()
	client, err := operator.NewClient(address, settings.TLS{}, patience)
	qt.Assert(w.t, err, qt.IsNil)
	return client
}

func (w *world) drain(d *daemon.Daemon, backend string) {
	_, err := w.operator(d).Drain(w.ctx, operator.Target{Backend: backend, Reason: "test"})
	qt.Check(w.t, err, qt.IsNil)
}

// end stops a router and takes it out of the instance list.
func (w *world) end(d *daemon.Daemon) {
	w.group.Unlist(w.running[d])
	w.running[d].Stop()
}

// idle checks that an engine gets none of 20 new chats through a router that has just started.
func (w *world) idle(d *daemon.Daemon, name string, engine *modelengine.Engine) {
	w.t.Helper()
	w.ready(d)
	for i := range 20 {
		prompt := fmt.Sprint("chat ", i, " after ", name)
		w.until("answer", func() bool { return right(w.chat(d, prompt), prompt) })
		qt.Check(w.t, engine.StartCount("user:"+prompt+"\n"), qt.Equals, 0)
	}
}

func (w *world) objects(f platformapi.Fault) {
	f.Target = platformapi.Objects
	qt.Assert(w.t, w.platform.SetFault(f), qt.IsNil)
}

// Guards against a drain and a quarantine that are forgotten when all routers are replaced one after another, and a quarantine list
// without the client account.
func TestDecisionsOutliveAllRouters(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 2, modelengine.Config{Models: []string{model}})
	for _, e := range w.engines {
		e.SetFault(modelengine.Fault{Kind: modelengine.Crash, AfterTokens: 2, PromptContains: "poison"})
	}
	w.until("quarantine", func() bool { return w.chat(w.routers[0], "poison").Error.Code == "quarantined" })
	w.drain(w.routers[1], "e1")
	old := slices.Clone(w.routers)
	for i, d := range old {
		late := w.start(fmt.Sprint("late", i))
		w.ready(late)
		w.end(d)
	}
	boots := make([]string, len(w.engines))
	for i, e := range w.engines {
		boots[i] = e.BootID()
	}
	for i, d := range w.routers[len(old):] {
		qt.Check(t, w.chat(d, "poison").Error.Code, qt.Equals, "quarantined")
		w.idle(d, fmt.Sprint("late", i), w.engines[0])
		list, err := w.operator(d).Quarantine(w.ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Check(t, list[0].Account, qt.Equals, "gate")
		qt.Check(t, list[0].Engines, qt.HasLen, 2)
	}
	for i, e := range w.engines {
		qt.Check(t, e.BootID(), qt.Equals, boots[i])
	}
}

// Guards against decisions that only routers remember, when all of them stop before the first one starts again; against one that a
// lost reply or a second operator's order at the same moment takes away; and against an undrain that does not last.
func TestDecisionsOutliveAFleetThatStops(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 3, modelengine.Config{Models: []string{model}})
	w.objects(platformapi.Fault{LostReplyProbability: 0.5, LateWriteProbability: 0.2, MaxWriteDelay: "20ms", Seed: 1})
	w.drain(w.routers[0], "e4")
	var orders sync.WaitGroup
	for i, name := range []string{"e1", "e2", "e3"} {
		orders.Go(func() { w.drain(w.routers[i], name) })
	}
	orders.Wait()
	for _, name := range []string{"e3", "e4"} {
		_, err := w.operator(w.routers[1]).Undrain(w.ctx, operator.Target{Backend: name})
		qt.Check(t, err, qt.IsNil)
	}
	for _, d := range slices.Clone(w.routers) {
		w.end(d)
	}
	w.objects(platformapi.Fault{})
	first := w.start("first")
	for i, e := range w.engines[:2] {
		w.idle(first, fmt.Sprint("e", i+1), e)
	}
	states := map[string]string{}
	list, err := w.operator(first).Backends(w.ctx)
	qt.Assert(t, err, qt.IsNil)
	for _, b := range list {
		states[b.Name] = b.State
	}
	for name, drained := range map[string]bool{"e1": true, "e2": true, "e3": false, "e4": false} {
		qt.Check(t, states[name] == "draining", qt.Equals, drained, qt.Commentf("%s is %s", name, states[name]))
	}
}

// Guards against a router that does not learn of drains while the object API is down, that does not start when nobody can tell, or
// that does not write an operator's order once the object API is back.
func TestDecisionsWithoutObjectAPI(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 2, modelengine.Config{Models: []string{model}})
	w.objects(platformapi.Fault{Down: true})
	w.drain(w.routers[0], "e1")
	late := w.start("late")
	w.idle(late, "late", w.engines[0])
	for _, d := range w.routers[:2] {
		w.end(d)
	}
	w.drain(late, "e2")
	w.objects(platformapi.Fault{})
	w.until("orders are stored", func() bool {
		o, err := w.platform.Store.Get(w.ctx, "drain", "all")
		return err == nil && bytes.Contains(o.Value, []byte(`"e1"`)) && bytes.Contains(o.Value, []byte(`"e2"`))
	})
	w.end(late)
	w.objects(platformapi.Fault{Down: true})
	alone := w.start("alone")
	w.until("router without any source starts", func() bool {
		r, err := http.Get(w.caller(alone) + "/healthz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return true
	})
	w.objects(platformapi.Fault{})
	w.until("router learns later", func() bool {
		list, err := w.operator(alone).Backends(w.ctx)
		return err == nil && slices.ContainsFunc(list, func(b operator.Backend) bool { return b.Name == "e2" && b.State == "draining" })
	})
}
