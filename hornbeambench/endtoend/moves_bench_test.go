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
	benchChats  = 80
	benchTurns  = 6
	benchThink  = 3 * time.Second
	benchAnswer = 32
	// leaveAfter is when the first engine leaves service.
	leaveAfter = 8 * time.Second
)

// sample is one turn of a returning chat.
type sample struct {
	first           time.Duration
	context, cached int
	// left is true for the first turn of a chat behind the departure of the engine that ran its turn before.
	left bool
}

// BenchmarkMoves measures cache reuse and the time to the first token of returning chats with and without moves, with an engine that
// leaves service on the way. The engines read a prompt token in 0.1 ms, which is the default of placement.
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
	w := newAdjusted(b, 9, 6, modelengine.Config{Models: []string{model}, PrefillTokensPerStep: 30, KVBytesPerToken: 1000, CacheTokens: 1 << 20},
		func(s *settings.Settings) { s.Engine.Moves = moves })
	var mu sync.Mutex
	var all []sample
	begin := time.Now()
	left := make(chan struct{})
	var group sync.WaitGroup
	for i := range benchChats {
		group.Go(func() {
			got := w.returns(newBenchTalk(seed, i), rand.New(rand.NewPCG(seed, uint64(i))), left)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	time.Sleep(leaveAfter - time.Since(begin))
	w.leave(0)
	close(left)
	group.Wait()
	b.ReportMetric(0, "ns/op")
	report(b, "", all)
	report(b, "left_", slices.DeleteFunc(slices.Clone(all), func(s sample) bool { return !s.left }))
	for _, cause := range []string{"request", "drain"} {
		b.ReportMetric(float64(w.counter(fmt.Sprintf("hornbeam_control_moves_total{cause=%q}", cause))), cause+"_moves")
	}
	b.ReportMetric(float64(w.counter("hornbeam_control_move_bytes_total"))/1e6, "MB")
	b.ReportMetric(float64(w.counter(`hornbeam_control_move_failures_total{cause="request",reason="limit"}`)), "late_moves")
}

func report(b *testing.B, name string, all []sample) {
	context, cached := 0, 0
	var first []time.Duration
	for _, s := range all {
		context += s.context
		cached += s.cached
		first = append(first, s.first)
	}
	slices.Sort(first)
	b.ReportMetric(float64(len(all)), name+"turns")
	if len(all) == 0 {
		return
	}
	b.ReportMetric(float64(cached)/float64(context), name+"reuse")
	b.ReportMetric(float64(first[len(first)/2].Microseconds())/1e3, name+"p50_ms")
	b.ReportMetric(float64(first[len(first)*95/100].Microseconds())/1e3, name+"p95_ms")
}

func newBenchTalk(seed uint64, i int) *talk {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
	return &talk{name: fmt.Sprint("chat-", i), messages: []message{{"user", text(rng, 1000+rng.IntN(1000))}}}
}

func text(rng *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		fmt.Fprintf(&b, "w%03d ", rng.IntN(1000))
	}
	return b.String()
}

// returns runs the turns of a chat and returns a sample of each but the first.
func (w *world) returns(c *talk, rng *rand.Rand, left <-chan struct{}) []sample {
	var out []sample
	before, context, moved := "", 0, false
	for turn := range benchTurns {
		pause := time.Duration(rng.ExpFloat64() * float64(benchThink))
		router := w.routers[rng.IntN(len(w.routers))]
		time.Sleep(pause)
		s := sample{context: context}
		select {
		case <-left:
			s.left = !moved && w.engines[0].StartCount(before) > 0
			moved = true
		default:
		}
		before = c.prompt()
		s.first, s.cached = w.stream(router, c)
		if turn > 0 {
			out = append(out, s)
		}
		context = 0
		for _, m := range c.messages {
			context += len(strings.Fields(m.Content))
		}
		c.messages = append(c.messages, message{"user", text(rng, 50+rng.IntN(100))})
	}
	return out
}

// stream sends a chat's next request and returns the time to its first token and the tokens found in the cache.
func (w *world) stream(d *daemon.Daemon, c *talk) (first time.Duration, cached int) {
	body, err := json.Marshal(struct {
		Model    string          `json:"model"`
		Messages []message       `json:"messages"`
		Max      int             `json:"max_tokens"`
		Stream   bool            `json:"stream"`
		Options  map[string]bool `json:"stream_options"`
	}{model, c.messages, benchAnswer, true, map[string]bool{"include_usage": true}})
	qt.Check(w.t, err, qt.IsNil)
	r, err := http.NewRequestWithContext(w.ctx, http.MethodPost, w.caller(d)+"/v1/chat/completions", bytes.NewReader(body))
	qt.Check(w.t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Chat-Id", c.name)
	begin := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Errorf("no answer: %v", err)
		return 0, 0
	}
	defer resp.Body.Close()
	var answer strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		content := gjson.Get(data, "choices.0.delta.content").Str
		if first == 0 && content != "" {
			first = time.Since(begin)
		}
		answer.WriteString(content)
		cached = max(cached, int(gjson.Get(data, "usage.prompt_tokens_details.cached_tokens").Int()))
	}
	if answer.String() != modelengine.CompletionText(c.prompt(), benchAnswer) {
		w.t.Errorf("wrong answer, status %d", resp.StatusCode)
	}
	c.messages = append(c.messages, message{"assistant", answer.String()})
	return first, cached
}
