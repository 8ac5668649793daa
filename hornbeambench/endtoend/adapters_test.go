package endtoend

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

// Guards against an adapter that is loaded on no engine or on all of them, and against routers that
// send requests for the adapter to an engine without it.
func TestAdaptersAreLoadedAndReceiveRequests(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 4, 2, modelengine.Config{Models: []string{model}})
	const adapter = model + ":a"
	holders := func(name string) (indexes []int) {
		for i, e := range tb.engines {
			if slices.Contains(e.LoadedModels(), name) {
				indexes = append(indexes, i)
			}
		}
		return indexes
	}
	tb.pushConfig("models:\n  " + model + ": {adapters: [a]}\n")
	tb.waitFor("two engines have the adapter", func() bool { return len(holders(adapter)) == 2 })
	round := 0
	tb.waitFor("requests go to the engines with the adapter", func() bool {
		round++
		for i := range 10 {
			prompt := fmt.Sprintf("prompt %d %d", round, i)
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, adapter, prompt, answerTokens)
			got := tb.post(tb.routers[i%2], "/v1/chat/completions", body)
			if !isCompleteAnswer(got, prompt) || !slices.Contains(holders(adapter), tb.engineIndex(modelengine.UserPrompt(prompt))) {
				return false
			}
		}
		return true
	})
	qt.Assert(t, holders(adapter), qt.HasLen, 2)
}
