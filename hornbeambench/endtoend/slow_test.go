package endtoend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

// Guards against an engine that answers everything, but far slower than its pool, and keeps its share of the chats; and against
// answers that are lost or wrong while it is ejected.
func TestSlowEngineGetsNoWork(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 3, modelengine.Config{Models: []string{model}})
	sent := 0
	// batch sends new chats through all routers and returns how many ran on the slow engine.
	batch := func(n int) (slow int) {
		for range n {
			sent++
			prompt := fmt.Sprintf("chat %d", sent)
			qt.Assert(t, right(w.chat(w.routers[sent%3], prompt), prompt), qt.IsTrue)
			slow += w.engines[0].StartCount("user:" + prompt + "\n")
		}
		return slow
	}
	// Each router has to know the pool's pace.
	qt.Check(t, batch(90) > 0, qt.IsTrue)
	w.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Slow, Delay: 60 * time.Millisecond})
	before := 0
	w.until("the slow engine is ejected", func() bool {
		n := batch(30)
		before += n
		return n == 0
	})
	t.Logf("%d requests ran on the slow engine before %d others in a row did not", before, 30)
	w.engines[0].SetFault(modelengine.Fault{})
	w.until("the engine returns", func() bool { return batch(30) > 1 })
}
