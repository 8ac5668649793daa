package endtoend

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

// Guards against an adapter that is loaded nowhere or everywhere, and against routers that look for it where it is not.
func TestAdaptersAreLoadedAndFound(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 2, modelengine.Config{Models: []string{model}})
	const adapter = model + ":a"
	holders := func(name string) (out []int) {
		for i, e := range w.engines {
			if slices.Contains(e.LoadedModels(), name) {
				out = append(out, i)
			}
		}
		return out
	}
	w.push("models:\n  " + model + ": {adapters: [a]}\n")
	w.until("two engines have the adapter", func() bool { return len(holders(adapter)) == 2 })
	round := 0
	w.until("requests go to the engines with the adapter", func() bool {
		round++
		for i := range 10 {
			prompt := fmt.Sprintf("prompt %d %d", round, i)
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, adapter, prompt, answer)
			got := w.post(w.routers[i%2], "/v1/chat/completions", body)
			if !right(got, prompt) || !slices.Contains(holders(adapter), w.at(modelengine.UserPrompt(prompt))) {
				return false
			}
		}
		return true
	})
	qt.Assert(t, holders(adapter), qt.HasLen, 2)
}
