package endtoend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/daemon"
)

// promptWords is the length of a prompt in words. It is long enough that a move, the transfer of a
// chat's KV cache (its context) between engines, may take its longest permitted time.
const promptWords = 3000

// chat is a multi-turn chat; each request contains all previous messages.
type chat struct {
	name     string
	messages []message
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newChat(i int) *chat {
	return &chat{name: fmt.Sprint("chat-", i), messages: []message{{"user", strings.Repeat(fmt.Sprintf("w%02d ", i%100), promptWords)}}}
}

func (c *chat) prompt() string {
	var b strings.Builder
	for _, m := range c.messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

// sendTurn sends the chat's next request, checks the answer and returns the number of prompt tokens
// that the engine found in its cache.
func (tb *testbed) sendTurn(d *daemon.Daemon, c *chat) int {
	tb.t.Helper()
	body, err := json.Marshal(struct {
		Model    string    `json:"model"`
		Messages []message `json:"messages"`
		Max      int       `json:"max_tokens"`
	}{model, c.messages, answerTokens})
	qt.Assert(tb.t, err, qt.IsNil)
	response := tb.post(d, "/v1/chat/completions", string(body), "Chat-Id", c.name)
	qt.Assert(tb.t, response.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", response.Text))
	answer := modelengine.CompletionText(c.prompt(), answerTokens)
	qt.Assert(tb.t, response.Choices[0].Message.Content, qt.Equals, answer)
	c.messages = append(c.messages, message{"assistant", answer}, message{"user", "and then?"})
	return response.Usage.Details.Cached
}

// engineIndex returns the index of the engine that ran a prompt.
func (tb *testbed) engineIndex(prompt string) int {
	for i, e := range tb.engines {
		if e.AttemptCount(prompt) > 0 {
			return i
		}
	}
	tb.t.Fatal("no engine ran the prompt")
	return -1
}

// counterSum returns the sum of a metric over all routers. The selector is the metric's name with
// its labels, if it has any.
func (tb *testbed) counterSum(selector string) (sum int) {
	for _, d := range tb.routers {
		resp, err := http.Get(tb.callerURL(d) + "/metrics")
		qt.Assert(tb.t, err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		qt.Assert(tb.t, err, qt.IsNil)
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, selector+" "); ok {
				n, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				qt.Assert(tb.t, err, qt.IsNil)
				sum += int(n)
			}
		}
	}
	return sum
}

// maxImportCount returns the maximum number of times that any one engine imported the chat's
// context.
func (tb *testbed) maxImportCount(c *chat) (maxCount int) {
	for _, e := range tb.engines {
		maxCount = max(maxCount, e.ImportCount(c.name))
	}
	return maxCount
}

// startChats runs the first turn of count chats. It returns the chats of the engine that ran the
// most of them, and the index of this engine.
func (tb *testbed) startChats(count int) ([]*chat, int) {
	chatsByEngine := make([][]*chat, len(tb.engines))
	largest := 0
	for i := range count {
		c := newChat(i)
		first := c.prompt()
		tb.sendTurn(tb.routers[i%len(tb.routers)], c)
		home := tb.engineIndex(first)
		chatsByEngine[home] = append(chatsByEngine[home], c)
		if len(chatsByEngine[home]) > len(chatsByEngine[largest]) {
			largest = home
		}
	}
	return chatsByEngine[largest], largest
}

// checkContextReused sends a chat's next turn and checks that the engine found the context in its
// cache. On a busy machine, moves may exceed their time limit, which is not an error; then only the
// engine that ran the previous turn must have the context. previousEngine is -1 if it is unknown or
// out of service.
func (tb *testbed) checkContextReused(d *daemon.Daemon, c *chat, previousEngine int) (reused bool, engine int) {
	tb.t.Helper()
	prompt := c.prompt()
	cached := tb.sendTurn(d, c)
	engine = tb.engineIndex(prompt)
	timedOutMoves := tb.counterSum(`hornbeam_control_move_failures_total{cause="request",reason="limit"}`)
	if timedOutMoves == 0 || engine == previousEngine {
		qt.Check(tb.t, cached >= promptWords, qt.IsTrue)
	}
	qt.Check(tb.t, tb.maxImportCount(c) <= 1, qt.IsTrue)
	return cached >= promptWords, engine
}

// takeOutOfService pushes a configuration in which an engine is leaving, and waits until all
// routers apply it.
func (tb *testbed) takeOutOfService(engine int) {
	tb.pushConfig(fmt.Sprintf("backends:\n  e%d: {state: leaving}\n", engine+1))
	for _, d := range tb.routers {
		tb.waitFor("the router applies the configuration", func() bool { return d.Revision() == 2 })
	}
}

// configWithoutEvents delays load reports and cache events beyond the end of the test. The owner of
// an engine thus does not know its contexts and moves none of them before a request arrives.
var configWithoutEvents = modelengine.Config{Models: []string{model}, ReportDelay: time.Hour, KVBytesPerToken: 10}

// Guards against a chat whose prompt is recomputed although its context could be moved, and against
// a context that is moved again for every turn.
func TestContextIsMovedBeforeRequest(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 3, 2, configWithoutEvents)
	chats, home := tb.startChats(12)
	tb.takeOutOfService(home)
	reusedCount := 0
	engineByChat := map[string]int{}
	for i, c := range chats {
		reused, engine := tb.checkContextReused(tb.routers[i%2], c, -1)
		engineByChat[c.name] = engine
		if reused {
			reusedCount++
		}
	}
	qt.Check(t, reusedCount > 0, qt.IsTrue)
	qt.Check(t, tb.counterSum(`hornbeam_control_moves_total{cause="request"}`) >= reusedCount, qt.IsTrue)
	qt.Check(t, tb.counterSum("hornbeam_control_move_bytes_total") >= reusedCount*promptWords*10, qt.IsTrue)
	for i, c := range chats {
		tb.checkContextReused(tb.routers[(i+1)%2], c, engineByChat[c.name])
	}
}

// Guards against a failed move that makes its request fail, blocks the request forever, or leaves
// an incomplete context on the target engine.
func TestFailedMoveDoesNotAffectRequest(t *testing.T) {
	t.Parallel()
	longDelay := 3 * time.Second
	for name, test := range map[string]struct {
		source, target modelengine.Fault
		sourceDown     bool
		reason         string
	}{
		"source gone":    {sourceDown: true, reason: "export"},
		"export cut":     {source: modelengine.Fault{Kind: modelengine.ExportCut}, reason: "export"},
		"export slow":    {source: modelengine.Fault{Kind: modelengine.ExportSlow, Delay: longDelay}, reason: "limit"},
		"import refused": {target: modelengine.Fault{Kind: modelengine.ImportRefuse}, reason: "import"},
		"import slow":    {target: modelengine.Fault{Kind: modelengine.ImportSlow, Delay: longDelay}, reason: "limit"},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 2, 1, configWithoutEvents)
			chats, home := tb.startChats(4)
			tb.takeOutOfService(home)
			tb.engines[home].SetFault(test.source)
			tb.engines[1-home].SetFault(test.target)
			if test.sourceDown {
				tb.engines[home].Crash()
			}
			for _, c := range chats {
				qt.Check(t, tb.sendTurn(tb.routers[0], c), qt.Equals, 0)
				qt.Check(t, tb.maxImportCount(c), qt.Equals, 0)
			}
			selector := fmt.Sprintf(`hornbeam_control_move_failures_total{cause="request",reason=%q}`, test.reason)
			qt.Check(t, tb.counterSum(selector), qt.Equals, len(chats))
		})
	}
}

// Guards against losing contexts of an engine that is taken out of service, moving them more than
// once, or also moving contexts of other engines.
func TestLeavingEngineMovesEachContextOnce(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 3, 2, modelengine.Config{Models: []string{model}, KVBytesPerToken: 100})
	chats, home := tb.startChats(12)
	// The owner reads cache events once per second, so it may not know all contexts yet.
	tb.takeOutOfService(home)
	tb.waitFor("contexts are moved", func() bool { return tb.counterSum(`hornbeam_control_moves_total{cause="drain"}`) >= len(chats) })
	for i, c := range chats {
		tb.checkContextReused(tb.routers[i%2], c, -1)
	}
	qt.Check(t, tb.counterSum(`hornbeam_control_moves_total{cause="drain"}`), qt.Equals, len(chats))
}
