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

// operatorClient returns a client for the operator interface of a router.
func (tb *testbed) operatorClient(d *daemon.Daemon) *operator.Client {
	_, _, address := d.Addresses()
	client, err := operator.NewClient(address, settings.TLS{}, testTimeout)
	qt.Assert(tb.t, err, qt.IsNil)
	return client
}

func (tb *testbed) drainBackend(d *daemon.Daemon, backend string) {
	_, err := tb.operatorClient(d).Drain(tb.ctx, operator.Target{Backend: backend, Reason: "test"})
	qt.Check(tb.t, err, qt.IsNil)
}

// stopRouter removes a router from the instance list and stops it.
func (tb *testbed) stopRouter(d *daemon.Daemon) {
	tb.routerFleet.Unlist(tb.routerByDaemon[d])
	tb.routerByDaemon[d].Stop()
}

// checkGetsNoRequests waits until a newly started router is ready, sends 20 new chats through it
// and checks that none of them runs on the engine. promptSuffix must differ between calls on one
// testbed, so that the chats are new.
func (tb *testbed) checkGetsNoRequests(d *daemon.Daemon, promptSuffix string, engine *modelengine.Engine) {
	tb.t.Helper()
	tb.waitReady(d)
	for i := range 20 {
		prompt := fmt.Sprint("chat ", i, " after ", promptSuffix)
		tb.waitFor("answer", func() bool { return isCompleteAnswer(tb.sendChat(d, prompt), prompt) })
		qt.Check(tb.t, engine.AttemptCount("user:"+prompt+"\n"), qt.Equals, 0)
	}
}

func (tb *testbed) setObjectAPIFault(f platformapi.Fault) {
	f.Target = platformapi.Objects
	qt.Assert(tb.t, tb.platform.SetFault(f), qt.IsNil)
}

// Guards against losing a drain or a quarantine when all routers are replaced one after another,
// and against a quarantine list that does not name the client account. Unchanged boot IDs
// show that the quarantined request has crashed no engine again.
func TestDecisionsSurviveReplacementOfAllRouters(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 4, 2, modelengine.Config{Models: []string{model}})
	for _, e := range tb.engines {
		e.SetFault(modelengine.Fault{Kind: modelengine.Crash, AfterTokens: 2, PromptContains: "poison"})
	}
	tb.waitFor("quarantine", func() bool { return tb.sendChat(tb.routers[0], "poison").Error.Code == "quarantined" })
	tb.drainBackend(tb.routers[1], "e1")
	oldRouters := slices.Clone(tb.routers)
	for i, d := range oldRouters {
		newRouter := tb.startRouter(fmt.Sprint("late", i))
		tb.waitReady(newRouter)
		tb.stopRouter(d)
	}
	bootIDs := make([]string, len(tb.engines))
	for i, e := range tb.engines {
		bootIDs[i] = e.BootID()
	}
	for i, d := range tb.routers[len(oldRouters):] {
		qt.Check(t, tb.sendChat(d, "poison").Error.Code, qt.Equals, "quarantined")
		tb.checkGetsNoRequests(d, fmt.Sprint("late", i), tb.engines[0])
		list, err := tb.operatorClient(d).Quarantine(tb.ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Check(t, list[0].Account, qt.Equals, "gate")
		qt.Check(t, list[0].Engines, qt.HasLen, 2)
	}
	for i, e := range tb.engines {
		qt.Check(t, e.BootID(), qt.Equals, bootIDs[i])
	}
}

// Guards against decisions that exist only in the memory of routers and are lost when all routers
// stop before one starts again. Also guards against a drain that is lost because the object API's
// reply is lost or because another operator drains a backend server at the same time, and against
// an undrain that is not stored.
func TestDecisionsSurviveStopOfAllRouters(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 4, 3, modelengine.Config{Models: []string{model}})
	tb.setObjectAPIFault(platformapi.Fault{LostReplyProbability: 0.5, LateWriteProbability: 0.2, MaxWriteDelay: "20ms", Seed: 1})
	tb.drainBackend(tb.routers[0], "e4")
	var drains sync.WaitGroup
	for i, name := range []string{"e1", "e2", "e3"} {
		drains.Go(func() { tb.drainBackend(tb.routers[i], name) })
	}
	drains.Wait()
	for _, name := range []string{"e3", "e4"} {
		_, err := tb.operatorClient(tb.routers[1]).Undrain(tb.ctx, operator.Target{Backend: name})
		qt.Check(t, err, qt.IsNil)
	}
	for _, d := range slices.Clone(tb.routers) {
		tb.stopRouter(d)
	}
	tb.setObjectAPIFault(platformapi.Fault{})
	firstRouter := tb.startRouter("first")
	for i, e := range tb.engines[:2] {
		tb.checkGetsNoRequests(firstRouter, fmt.Sprint("e", i+1), e)
	}
	states := map[string]string{}
	list, err := tb.operatorClient(firstRouter).Backends(tb.ctx)
	qt.Assert(t, err, qt.IsNil)
	for _, b := range list {
		states[b.Name] = b.State
	}
	for name, drained := range map[string]bool{"e1": true, "e2": true, "e3": false, "e4": false} {
		qt.Check(t, states[name] == "draining", qt.Equals, drained, qt.Commentf("%s is %s", name, states[name]))
	}
}

// Guards against three failures during an outage of the object API. A new router does not get the
// drains from its peers; a router without peers does not start; or an operator's drain is not
// stored once the object API is available again.
func TestDecisionsWithoutObjectAPI(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 3, 2, modelengine.Config{Models: []string{model}})
	tb.setObjectAPIFault(platformapi.Fault{Down: true})
	tb.drainBackend(tb.routers[0], "e1")
	newRouter := tb.startRouter("late")
	tb.checkGetsNoRequests(newRouter, "late", tb.engines[0])
	for _, d := range tb.routers[:2] {
		tb.stopRouter(d)
	}
	tb.drainBackend(newRouter, "e2")
	tb.setObjectAPIFault(platformapi.Fault{})
	tb.waitFor("drains are stored", func() bool {
		object, err := tb.platform.Store.Get(tb.ctx, "drain", "all")
		return err == nil && bytes.Contains(object.Value, []byte(`"e1"`)) && bytes.Contains(object.Value, []byte(`"e2"`))
	})
	tb.stopRouter(newRouter)
	tb.setObjectAPIFault(platformapi.Fault{Down: true})
	isolatedRouter := tb.startRouter("alone")
	tb.waitFor("router without peers and object API starts", func() bool {
		r, err := http.Get(tb.callerURL(isolatedRouter) + "/healthz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return true
	})
	tb.setObjectAPIFault(platformapi.Fault{})
	tb.waitFor("router gets the drain once the object API is available", func() bool {
		list, err := tb.operatorClient(isolatedRouter).Backends(tb.ctx)
		return err == nil && slices.ContainsFunc(list, func(b operator.Backend) bool { return b.Name == "e2" && b.State == "draining" })
	})
}
