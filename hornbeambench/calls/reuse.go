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
	reuseDaemons, reuseEngines = 6, 9
	chats, workers             = 180, 24
	// Rounds of one turn of every chat before the restart of all daemons and after it, and the words of a message.
	roundsBefore, roundsAfter = 8, 10
	words                     = 30
)

// reuse compares the share of earlier turns that engines had in their caches with and without a restart of all daemons between two
// turns. Chats grow, so that only the same turns compare.
func (c *Command) reuse(ctx context.Context, out io.Writer) error {
	var shares [2][]float64
	for i, restart := range []bool{false, true} {
		var err error
		if shares[i], err = talks(ctx, out, restart); err != nil {
			return err
		}
	}
	for i, share := range shares[0] {
		if _, err := fmt.Fprintf(out, "turn %d of %d chats: %.4f cached without a restart, %.4f with one after turn %d\n",
			i+1, chats, share, shares[1][i], roundsBefore); err != nil {
			return err
		}
	}
	return nil
}

// talks returns the share of each turn.
func talks(ctx context.Context, out io.Writer, restart bool) ([]float64, error) {
	w, err := start(reuseDaemons, reuseEngines)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.ready(ctx); err != nil {
		return nil, err
	}
	// Owners learn of their engines.
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	var shares []float64
	t := &talk{world: w, rnd: rand.New(rand.NewPCG(1, 1)), history: make([][]turn, chats)}
	for round := range roundsBefore + roundsAfter {
		if round == roundsBefore && restart {
			w.stopDaemons()
			begin := time.Now()
			if err := w.startDaemons(reuseDaemons); err != nil {
				return nil, err
			}
			if err := w.ready(ctx); err != nil {
				return nil, err
			}
			_, _ = fmt.Fprintf(out, "all %d daemons restarted, ready after %.2f s\n", reuseDaemons, time.Since(begin).Seconds())
		}
		cached, earlier, failed := t.round(ctx)
		if failed > 0 {
			_, _ = fmt.Fprintf(out, "turn %d: %d chats failed\n", round+1, failed)
		}
		shares = append(shares, ratio(cached, earlier))
	}
	return shares, nil
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

type turn struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// talk is the callers' side.
type talk struct {
	*world
	rnd     *rand.Rand
	history [][]turn
	// prompts are the tokens of each chat's last prompt.
	prompts [chats]int

	mu                      sync.Mutex
	cached, earlier, failed int
}

// round makes one turn of every chat in random order.
func (t *talk) round(ctx context.Context) (cached, earlier, failed int) {
	t.cached, t.earlier, t.failed = 0, 0, 0
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for chat := range next {
				t.turn(ctx, chat)
			}
		})
	}
	for _, chat := range t.rnd.Perm(chats) {
		text := make([]string, words)
		for i := range text {
			text[i] = fmt.Sprintf("w%d", t.rnd.IntN(100_000))
		}
		t.history[chat] = append(t.history[chat], turn{"user", strings.Join(text, " ")})
		next <- chat
	}
	close(next)
	group.Wait()
	return t.cached, t.earlier, t.failed
}

func (t *talk) turn(ctx context.Context, chat int) {
	prompt, cached, answer, err := t.ask(ctx, chat)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		return
	}
	t.earlier += t.prompts[chat]
	t.cached += min(cached, t.prompts[chat])
	t.prompts[chat] = prompt
	t.history[chat] = append(t.history[chat], turn{"assistant", answer})
}

// ask sends a chat through the router that its number and turn choose, so that each turn goes through another one.
func (t *talk) ask(ctx context.Context, chat int) (prompt, cached int, answer string, err error) {
	body, err := json.Marshal(struct {
		Model    string `json:"model"`
		Messages []turn `json:"messages"`
		Tokens   int    `json:"max_tokens"`
	}{"m", t.history[chat], 16})
	if err != nil {
		return 0, 0, "", err
	}
	callers, _, _ := t.daemons[(chat+len(t.history[chat]))%len(t.daemons)].Addresses()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, "", err
	}
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Chat-Id", fmt.Sprint("chat ", chat))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var got struct {
		Choices []struct {
			Message turn `json:"message"`
		} `json:"choices"`
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return 0, 0, "", err
	}
	if len(got.Choices) != 1 {
		return 0, 0, "", fmt.Errorf("status %d", resp.StatusCode)
	}
	return got.Usage.Prompt, got.Usage.Details.Cached, got.Choices[0].Message.Content, nil
}
