package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/param"

	"hornbeamstep.example/hornbeambench/fleet"
	"hornbeamstep.example/hornbeambench/load"
	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/timeline"
)

const (
	model   = "letter-writer"
	chat    = "letter-to-head-teacher"
	service = "placements"
	crashed = "worker-4"
	drained = "worker-7"
	// inForceLimit and drainLimit are the stated times of section 1.2 of the design page.
	inForceLimit = 7 * time.Second
	drainLimit   = 5 * time.Second
	turns        = 3
	answerTokens = 12
	poll         = 100 * time.Millisecond
)

// story is the state of the demo.
type story struct {
	command  *Command
	world    *world
	out      io.Writer
	begin    time.Time
	records  []load.Record
	verdicts []fleet.Verdict
}

// configure pushes the sample folder and waits until it is in force.
func (s *story) configure(ctx context.Context) error {
	revision, err := s.world.push(ctx, "sample configuration")
	if err != nil {
		return err
	}
	took, err := s.inForce(ctx, revision)
	if err != nil {
		return err
	}
	s.printf("revision %d in force on %d routers after %.2f s\n", revision, routerCount, took.Seconds())
	return s.ready(ctx)
}

// inForce waits until all routers report a revision. It asks each router itself.
func (s *story) inForce(ctx context.Context, revision int64) (time.Duration, error) {
	begin := time.Now()
	for {
		have := 0
		for _, r := range s.world.routers {
			status, err := r.operator.Status(ctx)
			if err == nil && status.Revision >= revision {
				have++
			}
		}
		if have == routerCount {
			return time.Since(begin), nil
		}
		if err := s.world.fleet.UnexpectedExit(); err != nil {
			return 0, err
		}
		if !pause(ctx, poll) {
			return 0, fmt.Errorf("revision %d is in force on %d of %d routers: %w", revision, have, routerCount, ctx.Err())
		}
	}
}

// ready waits until all routers take requests.
func (s *story) ready(ctx context.Context) error {
	for _, r := range s.world.routers {
		for {
			status, err := r.operator.Status(ctx)
			if err == nil && status.Ready {
				break
			}
			if err := s.world.fleet.UnexpectedExit(); err != nil {
				return err
			}
			if !pause(ctx, poll) {
				return fmt.Errorf("router %s is not ready: %s: %w", r.ID(), status.Reason, ctx.Err())
			}
		}
	}
	return nil
}

// converse lets one chat return a few times, each time by another router, with the usual client library.
func (s *story) converse(ctx context.Context) error {
	var messages []openai.ChatCompletionMessageParamUnion
	var prompt strings.Builder
	right := true
	for turn := range turns {
		r := s.world.routers[turn%routerCount]
		client := openai.NewClient(option.WithBaseURL("http://"+r.CallerAddress()+"/v1"), option.WithAPIKey("demo-coordinators"))
		question := fmt.Sprintf("turn %d: draft the next paragraph", turn+1)
		prompt.WriteString("user:" + question + "\n")
		messages = append(messages, openai.UserMessage(question))
		completion, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
			Model: model, Messages: messages, MaxTokens: param.NewOpt[int64](answerTokens),
		}, option.WithHeader("Chat-Id", chat))
		if err != nil {
			return err
		}
		text := completion.Choices[0].Message.Content
		right = right && text == modelengine.CompletionText(prompt.String(), answerTokens)
		s.printf("turn %d by router %s: %q, %d of %d prompt tokens from the cache\n", turn+1, r.ID(), text,
			completion.Usage.PromptTokensDetails.CachedTokens, completion.Usage.PromptTokens)
		messages = append(messages, openai.AssistantMessage(text))
		prompt.WriteString("assistant:" + text + "\n")
	}
	where, err := s.world.routers[0].operator.Where(ctx, operator.Query{Chat: chat, Model: model, Account: "coordinators"})
	if err != nil {
		return err
	}
	s.printf("the chat goes to %s: %s; its requests are admitted by %s\n", where.Engine, where.Reason, where.Owner)
	s.require("the returning chat gets its own answers", right, "%d turns", turns)
	return nil
}

// disturb runs the callers and, meanwhile, the disturbances.
func (s *story) disturb(ctx context.Context) error {
	type loaded struct {
		result *load.Result
		err    error
	}
	var lines bytes.Buffer
	done := make(chan loaded, 1)
	go func() {
		result, err := load.Run(ctx, s.load(&lines))
		done <- loaded{result, err}
	}()
	disturbed := s.disturbances(ctx)
	l := <-done
	if l.err != nil {
		return l.err
	}
	if disturbed != nil {
		return disturbed
	}
	s.allAnswered(l.result)
	s.count(l.result)
	return s.decode(&lines)
}

func (s *story) load(records io.Writer) load.Settings {
	return load.Settings{
		Routers: s.world.callers(),
		Callers: []load.Caller{{Label: "coordinators", Key: "demo-coordinators"}, {Label: "trainees", Key: "demo-trainees"}},
		Model:   model, Service: service, Calls: 0.2, Stream: 0.6, Rate: s.command.Rate, Duration: s.command.Load,
		Chats: 60, Words: 30, Tokens: 20, Seed: s.command.Seed, Attempts: 6, Deadline: 15 * time.Second, Patience: 5 * time.Second,
		Expect: modelengine.CompletionText, Records: records,
	}
}

func (s *story) decode(lines io.Reader) error {
	decoder := json.NewDecoder(lines)
	for decoder.More() {
		var r load.Record
		if err := decoder.Decode(&r); err != nil {
			return err
		}
		s.records = append(s.records, r)
	}
	return nil
}

func (s *story) count(r *load.Result) {
	s.printf("%d requests, %d sent again\n", r.Sent, r.Again)
	for _, c := range r.Endings {
		s.printf("  %-12s %d\n", c.Name, c.Count)
	}
	for _, g := range r.Groups {
		s.printf("  %-12s first token p50 %.1f ms, p95 %.1f ms; whole answer p95 %.1f ms\n", g.Label, g.First.P50, g.First.P95, g.Total.P95)
	}
	for _, e := range r.Examples {
		s.printf("  not answered: %s by %s: %s %s %s\n", e.ID, e.Router, e.Code, e.Outcome, e.Text)
	}
}

// disturbances crashes an engine, drains another and changes the policy.
func (s *story) disturbances(ctx context.Context) error {
	quarter := s.command.Load / 4
	if !pause(ctx, quarter/2) {
		return ctx.Err()
	}
	if err := s.crash(ctx); err != nil {
		return err
	}
	if !pause(ctx, quarter/2) {
		return ctx.Err()
	}
	if err := s.drain(ctx); err != nil {
		return err
	}
	if err := s.world.engines[crashed].Restart(); err != nil {
		return err
	}
	s.printf("%5.1f s: %s is back with an empty cache\n", s.elapsed(), crashed)
	return s.change(ctx)
}

// crash ends an engine while it runs requests, because an idle one would break no stream.
func (s *story) crash(ctx context.Context) error {
	engine := s.world.engines[crashed]
	active := engine.ActiveCount()
	for ; active == 0; active = engine.ActiveCount() {
		if !pause(ctx, time.Millisecond) {
			return ctx.Err()
		}
	}
	engine.Crash()
	s.printf("%5.1f s: %s crashes with %d requests in progress\n", s.elapsed(), crashed, active)
	return nil
}

func (s *story) elapsed() float64 { return time.Since(s.begin).Seconds() }

// drain stops new work to an engine by one router, and watches that all routers obey.
func (s *story) drain(ctx context.Context) error {
	order, err := s.world.routers[0].operator.Drain(ctx, operator.Target{Backend: drained, Reason: "demo"})
	if err != nil {
		return err
	}
	s.printf("%5.1f s: %s is %s, %d requests in progress\n", s.elapsed(), drained, order.State, order.Running)
	if !pause(ctx, drainLimit) {
		return ctx.Err()
	}
	go s.watchDrained(ctx)
	return nil
}

// watchDrained lives until the demo judges; an answer takes longer than the time between looks, so none is missed.
func (s *story) watchDrained(ctx context.Context) {
	engine := s.world.engines[drained]
	for pause(ctx, 5*time.Millisecond) {
		if engine.ActiveCount() > 0 {
			s.world.work.Add(1)
		}
		s.world.looks.Add(1)
	}
}

// change adds a client account and checks that each router knows it in time.
func (s *story) change(ctx context.Context) error {
	if known := s.known(ctx); known != 0 {
		return fmt.Errorf("%d routers know the new account before the change", known)
	}
	begin := time.Now()
	revision, err := s.world.push(ctx, "admit the inspectors", configfile.File{Name: "95-inspectors.yaml", Data: []byte(
		"accounts:\n  inspectors:\n    keys: [" + policy.Digest("demo-inspectors") + "]\n    models: [\"*\"]\n")})
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, 2*inForceLimit)
	defer cancel()
	_, err = s.inForce(limited, revision)
	took := time.Since(begin)
	known := s.known(ctx)
	s.printf("%5.1f s: revision %d in force after %.2f s, new account known to %d routers\n", s.elapsed(), revision, took.Seconds(), known)
	s.require("the new policy is in force on every router within 7 s", err == nil && took <= inForceLimit && known == routerCount,
		"%d of %d routers, %.2f s", known, routerCount, took.Seconds())
	return nil
}

// known counts the routers that accept the key of the new account.
func (s *story) known(ctx context.Context) int {
	known := 0
	for _, r := range s.world.routers {
		question, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.CallerAddress()+"/v1/models", nil)
		if err != nil {
			continue
		}
		question.Header.Set("Authorization", "Bearer demo-inspectors")
		answer, err := http.DefaultClient.Do(question)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			known++
		}
	}
	return known
}

// show prints the events of one chat and of the fleet, as one router gathers them from all.
func (s *story) show(ctx context.Context) error {
	looks, work := s.world.looks.Load(), s.world.work.Load()
	s.require("the drained engine gets no work later than 5 s after the order", looks > 0 && work == 0, "%d of %d looks saw work", work, looks)
	line, err := s.world.routers[1].operator.Timeline(ctx, timeline.Filter{})
	if err != nil {
		return err
	}
	s.require("every router answers the time line query", len(line.Missing) == 0, "%d missing", len(line.Missing))
	if s.command.HTML != "" {
		if err := s.page(line); err != nil {
			return err
		}
	}
	s.printf("of the chat that returned:\n")
	one := timeline.Filter{Chat: chat}
	if err := timeline.WriteText(s.out, slices.DeleteFunc(slices.Clone(line.Events), func(e timeline.Event) bool { return !one.Match(e) }), nil); err != nil {
		return err
	}
	s.printf("of the fleet:\n")
	return timeline.WriteText(s.out, excerpt(line.Events), line.Missing)
}

func (s *story) page(line operator.Timeline) error {
	file, err := os.Create(s.command.HTML)
	if err != nil {
		return err
	}
	if err := timeline.WriteHTML(file, "Time line of the demo", line.Events, line.Missing); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

const excerptLength = 40

// excerpt keeps the latest events of the fleet itself, which belong to no request.
func excerpt(events []timeline.Event) []timeline.Event {
	var kept []timeline.Event
	for _, e := range events {
		if e.Request == "" && e.Chat == "" && e.Kind != timeline.Claimed {
			kept = append(kept, e)
		}
	}
	return kept[max(0, len(kept)-excerptLength):]
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
