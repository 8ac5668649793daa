package endtoend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
)

const (
	benchChats         = 80
	benchTurns         = 6
	benchMeanThinkTime = 3 * time.Second
	benchAnswerTokens  = 32
	// removalDelay is the time from the start of the run until engine e1 is taken out of service.
	removalDelay = 8 * time.Second
)

// turnSample is the measurement of one turn of a chat. The first turn of a chat is not measured.
type turnSample struct {
	timeToFirstToken time.Duration
	// contextTokens is the number of tokens of all messages before the new user message, and
	// cachedTokens the number of prompt tokens that the engine found in its cache.
	contextTokens, cachedTokens int
	// afterRemoval is true for the first turn of a chat after engine e1 was taken out of service,
	// if e1 ran the previous turn of the chat.
	afterRemoval bool
}

// BenchmarkMoves measures the cache reuse and the time to first token of multi-turn chats, with and
// without moves of KV caches between engines. Engine e1 is taken out of service during each run.
// The engines process 30 prompt tokens in each step of 3 ms, so 0.1 ms per token, which is the
// default cost that request placement assumes.
func BenchmarkMoves(b *testing.B) {
	for _, moves := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			b.Run(fmt.Sprintf("moves=%t/seed=%d", moves, seed), func(b *testing.B) {
				for range b.N {
					measureMoves(b, moves, seed)
				}
			})
		}
	}
}

func measureMoves(b *testing.B, moves bool, seed uint64) {
	tb := newTestbedWithSettings(b, 9, 6, modelengine.Config{Models: []string{model}, PrefillTokensPerStep: 30, KVBytesPerToken: 1000, CacheTokens: 1 << 20},
		func(s *settings.Settings) { s.Engine.Moves = moves })
	var mu sync.Mutex
	var all []turnSample
	begin := time.Now()
	engineRemoved := make(chan struct{})
	var group sync.WaitGroup
	for i := range benchChats {
		group.Go(func() {
			got := tb.runChat(newBenchChat(seed, i), rand.New(rand.NewPCG(seed, uint64(i))), engineRemoved)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	time.Sleep(removalDelay - time.Since(begin))
	tb.takeOutOfService(0)
	close(engineRemoved)
	group.Wait()
	b.ReportMetric(0, "ns/op")
	reportSamples(b, "", all)
	reportSamples(b, "left_", slices.DeleteFunc(slices.Clone(all), func(s turnSample) bool { return !s.afterRemoval }))
	for _, cause := range []string{"request", "drain"} {
		b.ReportMetric(float64(tb.counterSum(fmt.Sprintf("hornbeam_control_moves_total{cause=%q}", cause))), cause+"_moves")
	}
	b.ReportMetric(float64(tb.counterSum("hornbeam_control_move_bytes_total"))/1e6, "MB")
	b.ReportMetric(float64(tb.counterSum(`hornbeam_control_move_failures_total{cause="request",reason="limit"}`)), "late_moves")
}

func reportSamples(b *testing.B, prefix string, all []turnSample) {
	contextTokens, cachedTokens := 0, 0
	var timesToFirstToken []time.Duration
	for _, s := range all {
		contextTokens += s.contextTokens
		cachedTokens += s.cachedTokens
		timesToFirstToken = append(timesToFirstToken, s.timeToFirstToken)
	}
	slices.Sort(timesToFirstToken)
	b.ReportMetric(float64(len(all)), prefix+"turns")
	if len(all) == 0 {
		return
	}
	b.ReportMetric(float64(cachedTokens)/float64(contextTokens), prefix+"reuse")
	b.ReportMetric(float64(timesToFirstToken[len(timesToFirstToken)/2].Microseconds())/1e3, prefix+"p50_ms")
	b.ReportMetric(float64(timesToFirstToken[len(timesToFirstToken)*95/100].Microseconds())/1e3, prefix+"p95_ms")
}

func newBenchChat(seed uint64, i int) *chat {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
	return &chat{name: fmt.Sprint("chat-", i), messages: []message{{"user", randomText(rng, 1000+rng.IntN(1000))}}}
}

func randomText(rng *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		fmt.Fprintf(&b, "w%03d ", rng.IntN(1000))
	}
	return b.String()
}

// runChat runs all turns of a chat and returns a sample of each turn except the first.
func (tb *testbed) runChat(c *chat, rng *rand.Rand, engineRemoved <-chan struct{}) []turnSample {
	var out []turnSample
	previousPrompt, contextTokens, removalSeen := "", 0, false
	for turn := range benchTurns {
		pause := time.Duration(rng.ExpFloat64() * float64(benchMeanThinkTime))
		router := tb.routers[rng.IntN(len(tb.routers))]
		time.Sleep(pause)
		s := turnSample{contextTokens: contextTokens}
		select {
		case <-engineRemoved:
			s.afterRemoval = !removalSeen && tb.engines[0].AttemptCount(previousPrompt) > 0
			removalSeen = true
		default:
		}
		previousPrompt = c.prompt()
		s.timeToFirstToken, s.cachedTokens = tb.streamTurn(router, c)
		if turn > 0 {
			out = append(out, s)
		}
		contextTokens = 0
		for _, m := range c.messages {
			contextTokens += len(strings.Fields(m.Content))
		}
		c.messages = append(c.messages, message{"user", randomText(rng, 50+rng.IntN(100))})
	}
	return out
}

// streamTurn sends a chat's next request as a stream. It returns the time to first token and the
// number of prompt tokens found in the cache.
func (tb *testbed) streamTurn(d *daemon.Daemon, c *chat) (timeToFirstToken time.Duration, cachedTokens int) {
	body, err := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  []message       `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		Options   map[string]bool `json:"stream_options"`
	}{model, c.messages, benchAnswerTokens, true, map[string]bool{"include_usage": true}})
	qt.Check(tb.t, err, qt.IsNil)
	request, err := http.NewRequestWithContext(tb.ctx, http.MethodPost, tb.callerURL(d)+"/v1/chat/completions", bytes.NewReader(body))
	qt.Check(tb.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Chat-Id", c.name)
	begin := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tb.t.Errorf("chat request failed: %v", err)
		return 0, 0
	}
	defer response.Body.Close()
	var answer strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		content := gjson.Get(data, "choices.0.delta.content").Str
		if timeToFirstToken == 0 && content != "" {
			timeToFirstToken = time.Since(begin)
		}
		answer.WriteString(content)
		cachedTokens = max(cachedTokens, int(gjson.Get(data, "usage.prompt_tokens_details.cached_tokens").Int()))
	}
	if answer.String() != modelengine.CompletionText(c.prompt(), benchAnswerTokens) {
		tb.t.Errorf("wrong or incomplete answer, status %d", response.StatusCode)
	}
	c.messages = append(c.messages, message{"assistant", answer.String()})
	return timeToFirstToken, cachedTokens
}
