package endtoend

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
)

// Guards against a request that takes down one engine after the other, by the router's retries and by its caller, who sends it
// again through every router; and against innocent requests that are lost with the engines.
func TestCrashingRequestLosesAtMostTwoEngines(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6, 3, modelengine.Config{Models: []string{model}})
	for _, e := range w.engines {
		e.SetFault(modelengine.Fault{Kind: modelengine.Crash, AfterTokens: 2, PromptContains: "poison"})
	}
	boots := make([]string, len(w.engines))
	for i, e := range w.engines {
		boots[i] = e.BootID()
	}
	stop := make(chan struct{})
	var innocents sync.WaitGroup
	for i := range 6 {
		innocents.Add(1)
		go func() {
			defer innocents.Done()
			for n := 0; ; n++ {
				prompt := fmt.Sprintf("innocent %d %d", i, n)
				if got := w.chat(w.routers[i%3], prompt); !right(got, prompt) {
					t.Errorf("an innocent request got %d %s", got.Status, got.Text)
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
	}
	var last reply
	for i := range 9 {
		last = w.chat(w.routers[i%3], "poison")
		qt.Check(t, last.Status, qt.Not(qt.Equals), http.StatusOK)
	}
	close(stop)
	innocents.Wait()
	lost := 0
	for i, e := range w.engines {
		if e.BootID() != boots[i] {
			lost++
		}
	}
	qt.Check(t, lost <= 2, qt.IsTrue, qt.Commentf("%d engines lost", lost))
	qt.Check(t, last.Error.Code, qt.Equals, "quarantined")
	qt.Check(t, last.Error.Outcome, qt.Equals, "not run")
}

// Guards against an outage of the object API that stops routing, lets a request run that could not be claimed, or keeps a new
// router from the configuration that its peers have.
func TestObjectAPIDown(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 2, modelengine.Config{Models: []string{model}})
	w.until("claims work", func() bool {
		return w.post(w.routers[0], "/v1/services/intake/settle", "ticket 0", "Idempotency-Key", "k0").Status == http.StatusOK
	})
	qt.Assert(t, w.platform.SetFault(platformapi.Fault{Target: platformapi.Objects, Down: true}), qt.IsNil)
	got := w.post(w.routers[1], "/v1/services/intake/settle", "ticket 1", "Idempotency-Key", "k1")
	qt.Check(t, got.Error.Code, qt.Equals, "claim_unavailable")
	qt.Check(t, got.Error.Outcome, qt.Equals, "not run")
	qt.Check(t, w.chat(w.routers[0], "hello").Status, qt.Equals, http.StatusOK)
	late := w.start("r3")
	w.ready(late)
	qt.Check(t, right(w.chat(late, "hello again"), "hello again"), qt.IsTrue)
	qt.Assert(t, w.platform.SetFault(platformapi.Fault{Target: platformapi.Objects}), qt.IsNil)
	w.until("claims work again", func() bool {
		return w.post(late, "/v1/services/intake/settle", "ticket 1", "Idempotency-Key", "k1").Status == http.StatusOK
	})
	for _, k := range []string{"k0", "k1"} {
		qt.Check(t, w.ran(k), qt.Equals, 1)
	}
}

// ran returns how often the service ran a call.
func (w *world) ran(key string) int {
	n := 0
	for _, e := range w.service.ExecutedCalls() {
		if e.Key == key {
			n++
		}
	}
	return n
}

// Guards against a call that runs twice because its caller sends it through all routers at once, and again afterwards.
func TestResendThroughAllRoutersRunsOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 3, modelengine.Config{Models: []string{model}})
	const keys = 10
	var group sync.WaitGroup
	for k := range keys {
		for i := range 6 {
			group.Add(1)
			go func() {
				defer group.Done()
				w.post(w.routers[i%3], "/v1/services/intake/settle", fmt.Sprint("ticket ", k), "Idempotency-Key", fmt.Sprint("k", k))
			}()
		}
	}
	group.Wait()
	for k := range keys {
		name := fmt.Sprint("k", k)
		w.until("answer of "+name, func() bool {
			got := w.post(w.routers[k%3], "/v1/services/intake/settle", fmt.Sprint("ticket ", k), "Idempotency-Key", name)
			return got.Status == http.StatusOK
		})
		qt.Check(t, w.ran(name), qt.Equals, 1)
	}
}

// Guards against an engine that stays without the model of its pool, and against work on an engine that the configuration
// takes out of service.
func TestConfigurationReachesEngines(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 2, modelengine.Config{})
	w.until("models are loaded", func() bool {
		return !slices.ContainsFunc(w.engines, func(e *modelengine.Engine) bool { return e.AppliedOrderCount() == 0 })
	})
	w.push("backends:\n  e2: {state: leaving}\n")
	for _, d := range w.routers {
		w.until("revision in force", func() bool { return d.Revision() == 2 })
	}
	for i := range 30 {
		prompt := fmt.Sprint("prompt ", i)
		qt.Check(t, right(w.chat(w.routers[i%2], prompt), prompt), qt.IsTrue)
		qt.Check(t, w.engines[1].StartCount("user:"+prompt+"\n"), qt.Equals, 0)
	}
}
