package calls

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	reuseDaemonCount, reuseEngineCount = 6, 9
	chatCount, workerCount             = 180, 24
	// roundsBefore and roundsAfter are the numbers of rounds before and after the restart of all
	// daemons. A round is one turn of every chat.
	roundsBefore, roundsAfter = 8, 10
	wordsPerMessage           = 30
)

// measureCacheReuse compares the cache reuse of a run without a restart and a run that restarts all
// daemons after round roundsBefore. The cache reuse of a turn is the fraction of the previous
// turn's prompt tokens that the engines found in their caches. Prompts grow with each turn, so only
// turns with the same number are comparable.
func (c *Command) measureCacheReuse(ctx context.Context, out io.Writer) error {
	var ratios [2][]float64
	for i, restart := range []bool{false, true} {
		var err error
		if ratios[i], err = measureCachedRatios(ctx, out, restart); err != nil {
			return err
		}
	}
	for i, ratio := range ratios[0] {
		if _, err := fmt.Fprintf(out, "turn %d of %d chats: %.4f cached without a restart, %.4f with one after turn %d\n",
			i+1, chatCount, ratio, ratios[1][i], roundsBefore); err != nil {
			return err
		}
	}
	return nil
}

// measureCachedRatios runs all rounds and returns the cache reuse of each round, over all chats.
func measureCachedRatios(ctx context.Context, out io.Writer, restart bool) ([]float64, error) {
	tb, err := startTestbed(reuseDaemonCount, reuseEngineCount)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	if err := tb.waitReady(ctx); err != nil {
		return nil, err
	}
	// Wait until the owner of each engine knows its state. The owner is the router that collects
	// the load reports and cache events of the engine.
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	var ratios []float64
	load := &chatLoad{testbed: tb, random: rand.New(rand.NewPCG(1, 1)), history: make([][]message, chatCount)}
	for round := range roundsBefore + roundsAfter {
		if round == roundsBefore && restart {
			tb.stopDaemons()
			begin := time.Now()
			if err := tb.startDaemons(reuseDaemonCount); err != nil {
				return nil, err
			}
			if err := tb.waitReady(ctx); err != nil {
				return nil, err
			}
			_, _ = fmt.Fprintf(out, "all %d daemons restarted, ready after %.2f s\n", reuseDaemonCount, time.Since(begin).Seconds())
		}
		cachedTokens, previousPromptTokens, failed := load.runRound(ctx)
		if failed > 0 {
			_, _ = fmt.Fprintf(out, "turn %d: %d chats failed\n", round+1, failed)
		}
		ratios = append(ratios, divide(cachedTokens, previousPromptTokens))
	}
	return ratios, nil
}

// divide returns 0 if the divisor is 0, as in the first round, which has no previous turn.
func divide(dividend, divisor int) float64 {
	if divisor == 0 {
		return 0
	}
	return float64(dividend) / float64(divisor)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatLoad generates the chat requests of all clients.
type chatLoad struct {
	*testbed
	random  *rand.Rand
	history [][]message
	// promptTokens is the length in tokens of the last answered prompt of each chat.
	promptTokens [chatCount]int

	mu                                         sync.Mutex
	cachedTokens, previousPromptTokens, failed int
}

// runRound sends the next turn of every chat in random order. previousPromptTokens is the number of
// prompt tokens of the previous turn, summed over the chats that were answered. cachedTokens is the
// number of these tokens that the engines had cached.
func (load *chatLoad) runRound(ctx context.Context) (cachedTokens, previousPromptTokens, failed int) {
	load.cachedTokens, load.previousPromptTokens, load.failed = 0, 0, 0
	chatQueue := make(chan int)
	var workers sync.WaitGroup
	for range workerCount {
		workers.Go(func() {
			for chat := range chatQueue {
				load.sendTurn(ctx, chat)
			}
		})
	}
	for _, chat := range load.random.Perm(chatCount) {
		words := make([]string, wordsPerMessage)
		for i := range words {
			words[i] = fmt.Sprintf("w%d", load.random.IntN(100_000))
		}
		load.history[chat] = append(load.history[chat], message{"user", strings.Join(words, " ")})
		chatQueue <- chat
	}
	close(chatQueue)
	workers.Wait()
	return load.cachedTokens, load.previousPromptTokens, load.failed
}

func (load *chatLoad) sendTurn(ctx context.Context, chat int) {
	promptTokens, cachedTokens, answer, err := load.send(ctx, chat)
	load.mu.Lock()
	defer load.mu.Unlock()
	if err != nil {
		load.failed++
		return
	}
	load.previousPromptTokens += load.promptTokens[chat]
	load.cachedTokens += min(cachedTokens, load.promptTokens[chat])
	load.promptTokens[chat] = promptTokens
	load.history[chat] = append(load.history[chat], message{"assistant", answer})
}

// send sends the next request of a chat. It chooses the router by the chat number and the length of
// the history, so that consecutive turns use different routers.
func (load *chatLoad) send(ctx context.Context, chat int) (promptTokens, cachedTokens int, answer string, err error) {
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}{"m", load.history[chat], 16})
	if err != nil {
		return 0, 0, "", err
	}
	callerAddress, _, _ := load.daemons[(chat+len(load.history[chat]))%len(load.daemons)].Addresses()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddress+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, "", err
	}
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chat-Id", fmt.Sprint("chat ", chat))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	var completion struct {
		Choices []struct {
			Message message `json:"message"`
		} `json:"choices"`
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
		return 0, 0, "", err
	}
	if len(completion.Choices) != 1 {
		return 0, 0, "", fmt.Errorf("chat completion without exactly one choice, status %d", response.StatusCode)
	}
	return completion.Usage.Prompt, completion.Usage.Details.Cached, completion.Choices[0].Message.Content, nil
}
