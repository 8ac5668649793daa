package endtoend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

// Guards against an engine that answers every request, but far more slowly than its pool, and still
// gets its share of the chats. Also guards against lost or wrong answers while it is ejected.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 4, 3, modelengine.Config{Models: []string{model}})
	sent := 0
	// sendBatch sends the first turn of n new chats through all routers and returns how many of them
	// ran on the slow engine.
	sendBatch := func(n int) (slow int) {
		for range n {
			sent++
			prompt := fmt.Sprintf("chat %d", sent)
			qt.Assert(t, isCompleteAnswer(tb.sendChat(tb.routers[sent%3], prompt), prompt), qt.IsTrue)
			slow += tb.engines[0].AttemptCount("user:" + prompt + "\n")
		}
		return slow
	}
	// Each router needs the normal latency of the pool before it can detect a slow engine.
	qt.Check(t, sendBatch(90) > 0, qt.IsTrue)
	tb.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Slow, Delay: 60 * time.Millisecond})
	slowCount := 0
	tb.waitFor("the slow engine is ejected", func() bool {
		n := sendBatch(30)
		slowCount += n
		return n == 0
	})
	t.Logf("%d requests ran on the slow engine until %d consecutive requests did not", slowCount, 30)
	tb.engines[0].SetFault(modelengine.Fault{})
	tb.waitFor("the engine is back in service", func() bool { return sendBatch(30) > 1 })
}
