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
	modelName     = "letter-writer"
	chatID        = "letter-to-head-teacher"
	serviceName   = "placements"
	crashedEngine = "worker-4"
	drainedEngine = "worker-7"
	// maxActivationTime and maxDrainDelay are targets from section 1.2 of docs/design.md.
	// maxActivationTime is the time until a new policy is in force on every router. maxDrainDelay
	// is the time after a drain order within which all routers stop sending work to the drained
	// engine.
	maxActivationTime = 7 * time.Second
	maxDrainDelay     = 5 * time.Second
	turnCount         = 3
	maxAnswerTokens   = 12
	pollInterval      = 100 * time.Millisecond
)

// scenario runs the steps of the demo and collects their results.
type scenario struct {
	command   *Command
	testbed   *testbed
	out       io.Writer
	startedAt time.Time
	records   []load.Record
	verdicts  []fleet.Verdict
}

// pushSampleConfig pushes the sample configuration and waits until all routers are ready with it.
func (s *scenario) pushSampleConfig(ctx context.Context) error {
	revision, err := s.testbed.push(ctx, "sample configuration")
	if err != nil {
		return err
	}
	elapsed, err := s.waitForRevision(ctx, revision)
	if err != nil {
		return err
	}
	s.printf("revision %d in force on %d routers after %.2f s\n", revision, routerCount, elapsed.Seconds())
	return s.waitUntilReady(ctx)
}

// waitForRevision waits until all routers report at least the revision, and returns the time taken.
// It queries each router directly.
func (s *scenario) waitForRevision(ctx context.Context, revision int64) (time.Duration, error) {
	start := time.Now()
	for {
		activeCount := 0
		for _, r := range s.testbed.routers {
			status, err := r.operatorClient.Status(ctx)
			if err == nil && status.Revision >= revision {
				activeCount++
			}
		}
		if activeCount == routerCount {
			return time.Since(start), nil
		}
		if err := s.testbed.routerFleet.UnexpectedExit(); err != nil {
			return 0, err
		}
		if !sleep(ctx, pollInterval) {
			return 0, fmt.Errorf("revision %d is in force on only %d of %d routers: %w", revision, activeCount, routerCount, ctx.Err())
		}
	}
}

// waitUntilReady waits until all routers accept requests.
func (s *scenario) waitUntilReady(ctx context.Context) error {
	for _, r := range s.testbed.routers {
		for {
			status, err := r.operatorClient.Status(ctx)
			if err == nil && status.Ready {
				break
			}
			if err := s.testbed.routerFleet.UnexpectedExit(); err != nil {
				return err
			}
			if !sleep(ctx, pollInterval) {
				return fmt.Errorf("router %s is not ready: %s: %w", r.ID(), status.Reason, ctx.Err())
			}
		}
	}
	return nil
}

// runReturningChat sends several turns of one chat with the OpenAI client library, each turn
// through a different router, and checks each answer against the text that the simulated engines
// generate.
func (s *scenario) runReturningChat(ctx context.Context) error {
	var messages []openai.ChatCompletionMessageParamUnion
	var prompt strings.Builder
	allCorrect := true
	for turn := range turnCount {
		router := s.testbed.routers[turn%routerCount]
		client := openai.NewClient(option.WithBaseURL("http://"+router.CallerAddress()+"/v1"), option.WithAPIKey("demo-coordinators"))
		userMessage := fmt.Sprintf("turn %d: draft the next paragraph", turn+1)
		prompt.WriteString("user:" + userMessage + "\n")
		messages = append(messages, openai.UserMessage(userMessage))
		completion, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
			Model: modelName, Messages: messages, MaxTokens: param.NewOpt[int64](maxAnswerTokens),
		}, option.WithHeader("Chat-Id", chatID))
		if err != nil {
			return err
		}
		text := completion.Choices[0].Message.Content
		allCorrect = allCorrect && text == modelengine.CompletionText(prompt.String(), maxAnswerTokens)
		s.printf("turn %d by router %s: %q, %d of %d prompt tokens from the cache\n", turn+1, router.ID(), text,
			completion.Usage.PromptTokensDetails.CachedTokens, completion.Usage.PromptTokens)
		messages = append(messages, openai.AssistantMessage(text))
		prompt.WriteString("assistant:" + text + "\n")
	}
	placement, err := s.testbed.routers[0].operatorClient.Where(ctx, operator.Query{Chat: chatID, Model: modelName, Account: "coordinators"})
	if err != nil {
		return err
	}
	s.printf("the chat goes to %s: %s; its requests are admitted by %s\n", placement.Engine, placement.Reason, placement.Owner)
	s.addVerdict("the returning chat gets its own answers", allCorrect, "%d turns", turnCount)
	return nil
}

// runLoadWithDisturbances generates load and applies the disturbances concurrently.
func (s *scenario) runLoadWithDisturbances(ctx context.Context) error {
	type outcome struct {
		result *load.Result
		err    error
	}
	var recordLines bytes.Buffer
	done := make(chan outcome, 1)
	go func() {
		result, err := load.Run(ctx, s.loadSettings(&recordLines))
		done <- outcome{result, err}
	}()
	disturbErr := s.applyDisturbances(ctx)
	loadOutcome := <-done
	if loadOutcome.err != nil {
		return loadOutcome.err
	}
	if disturbErr != nil {
		return disturbErr
	}
	s.requireAllAnswered(loadOutcome.result)
	s.printLoadResult(loadOutcome.result)
	return s.decodeRecords(&recordLines)
}

func (s *scenario) loadSettings(records io.Writer) load.Settings {
	return load.Settings{
		Routers: s.testbed.callerAddresses(),
		Callers: []load.Caller{{Label: "coordinators", APIKey: "demo-coordinators"}, {Label: "trainees", APIKey: "demo-trainees"}},
		Model:   modelName, Service: serviceName, CallRatio: 0.2, StreamRatio: 0.6, ArrivalRate: s.command.Rate, Duration: s.command.Load,
		ChatsPerCaller: 60, MessageWords: 30, CompletionTokens: 20, Seed: s.command.Seed, MaxAttempts: 6, AttemptTimeout: 15 * time.Second, MaxRetryDelay: 5 * time.Second,
		ExpectedCompletion: modelengine.CompletionText, Records: records,
	}
}

func (s *scenario) decodeRecords(recordLines io.Reader) error {
	decoder := json.NewDecoder(recordLines)
	for decoder.More() {
		var record load.Record
		if err := decoder.Decode(&record); err != nil {
			return err
		}
		s.records = append(s.records, record)
	}
	return nil
}

func (s *scenario) printLoadResult(result *load.Result) {
	s.printf("%d requests, %d sent again\n", result.Sent, result.RetryCount)
	for _, c := range result.Endings {
		s.printf("  %-12s %d\n", c.Name, c.Count)
	}
	for _, g := range result.Groups {
		s.printf("  %-12s first token p50 %.1f ms, p95 %.1f ms; whole answer p95 %.1f ms\n", g.Label, g.TimeToFirstToken.P50, g.TimeToFirstToken.P95, g.Total.P95)
	}
	for _, e := range result.Examples {
		s.printf("  not answered: %s by %s: %s %s %s\n", e.ID, e.Router, e.Code, e.Outcome, e.Message)
	}
}

// applyDisturbances crashes an engine, drains another one, restarts the crashed engine and changes
// the policy.
func (s *scenario) applyDisturbances(ctx context.Context) error {
	quarter := s.command.Load / 4
	if !sleep(ctx, quarter/2) {
		return ctx.Err()
	}
	if err := s.crashEngine(ctx); err != nil {
		return err
	}
	if !sleep(ctx, quarter/2) {
		return ctx.Err()
	}
	if err := s.drainEngine(ctx); err != nil {
		return err
	}
	if err := s.testbed.engines[crashedEngine].Restart(); err != nil {
		return err
	}
	s.printf("%5.1f s: %s is back with an empty cache\n", s.elapsed(), crashedEngine)
	return s.addAccount(ctx)
}

// crashEngine crashes an engine while it has active requests, because the crash of an idle engine
// interrupts no stream.
func (s *scenario) crashEngine(ctx context.Context) error {
	engine := s.testbed.engines[crashedEngine]
	activeCount := engine.ActiveCount()
	for ; activeCount == 0; activeCount = engine.ActiveCount() {
		if !sleep(ctx, time.Millisecond) {
			return ctx.Err()
		}
	}
	engine.Crash()
	s.printf("%5.1f s: %s crashes with %d requests in progress\n", s.elapsed(), crashedEngine, activeCount)
	return nil
}

func (s *scenario) elapsed() float64 { return time.Since(s.startedAt).Seconds() }

// drainEngine orders the drain of an engine through one router. After maxDrainDelay it starts
// sampleDrainedEngine, because by then all routers must have stopped sending requests to the
// engine.
func (s *scenario) drainEngine(ctx context.Context) error {
	status, err := s.testbed.routers[0].operatorClient.Drain(ctx, operator.Target{Backend: drainedEngine, Reason: "demo"})
	if err != nil {
		return err
	}
	s.printf("%5.1f s: %s is %s, %d requests in progress\n", s.elapsed(), drainedEngine, status.State, status.Running)
	if !sleep(ctx, maxDrainDelay) {
		return ctx.Err()
	}
	go s.sampleDrainedEngine(ctx)
	return nil
}

// sampleDrainedEngine counts the samples in which the drained engine has active requests, until ctx
// is canceled at the end of the demo. An answer takes longer than the sampling interval, so the
// samples miss no request.
func (s *scenario) sampleDrainedEngine(ctx context.Context) {
	engine := s.testbed.engines[drainedEngine]
	for sleep(ctx, 5*time.Millisecond) {
		if engine.ActiveCount() > 0 {
			s.testbed.drainedBusyCount.Add(1)
		}
		s.testbed.drainedSampleCount.Add(1)
	}
}

// addAccount adds a client account and checks that every router accepts its key within
// maxActivationTime.
func (s *scenario) addAccount(ctx context.Context) error {
	if knownCount := s.countRoutersWithAccount(ctx); knownCount != 0 {
		return fmt.Errorf("%d routers accept the key of the new account before it is added", knownCount)
	}
	start := time.Now()
	revision, err := s.testbed.push(ctx, "admit the inspectors", configfile.File{Name: "95-inspectors.yaml", Data: []byte(
		"accounts:\n  inspectors:\n    keys: [" + policy.Digest("demo-inspectors") + "]\n    models: [\"*\"]\n")})
	if err != nil {
		return err
	}
	activationCtx, cancel := context.WithTimeout(ctx, 2*maxActivationTime)
	defer cancel()
	_, err = s.waitForRevision(activationCtx, revision)
	elapsed := time.Since(start)
	knownCount := s.countRoutersWithAccount(ctx)
	s.printf("%5.1f s: revision %d in force after %.2f s, new account known to %d routers\n", s.elapsed(), revision, elapsed.Seconds(), knownCount)
	s.addVerdict("the new policy is in force on every router within 7 s", err == nil && elapsed <= maxActivationTime && knownCount == routerCount,
		"%d of %d routers, %.2f s", knownCount, routerCount, elapsed.Seconds())
	return nil
}

// countRoutersWithAccount counts the routers that accept the key of the new account.
func (s *scenario) countRoutersWithAccount(ctx context.Context) int {
	count := 0
	for _, r := range s.testbed.routers {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.CallerAddress()+"/v1/models", nil)
		if err != nil {
			continue
		}
		request.Header.Set("Authorization", "Bearer demo-inspectors")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			count++
		}
	}
	return count
}

// printTimeline collects the events of all routers through one router and prints those of the
// returning chat and the latest ones of the fleet. It also adds the verdicts on the samples of the
// drained engine and on the timeline query.
func (s *scenario) printTimeline(ctx context.Context) error {
	sampleCount, busyCount := s.testbed.drainedSampleCount.Load(), s.testbed.drainedBusyCount.Load()
	s.addVerdict("the drained engine gets no work later than 5 s after the order", sampleCount > 0 && busyCount == 0, "%d of %d looks saw work", busyCount, sampleCount)
	merged, err := s.testbed.routers[1].operatorClient.Timeline(ctx, timeline.Filter{})
	if err != nil {
		return err
	}
	s.addVerdict("every router answers the time line query", len(merged.Missing) == 0, "%d missing", len(merged.Missing))
	if s.command.HTML != "" {
		if err := s.writeHTML(merged); err != nil {
			return err
		}
	}
	s.printf("of the chat that returned:\n")
	chatFilter := timeline.Filter{Chat: chatID}
	if err := timeline.WriteText(s.out, slices.DeleteFunc(slices.Clone(merged.Events), func(e timeline.Event) bool { return !chatFilter.Match(e) }), nil); err != nil {
		return err
	}
	s.printf("of the fleet:\n")
	return timeline.WriteText(s.out, latestFleetEvents(merged.Events), merged.Missing)
}

func (s *scenario) writeHTML(merged operator.Timeline) error {
	file, err := os.Create(s.command.HTML)
	if err != nil {
		return err
	}
	if err := timeline.WriteHTML(file, "Time line of the demo", merged.Events, merged.Missing); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

const maxExcerptEvents = 40

// latestFleetEvents returns the last maxExcerptEvents events that belong to no request or chat. It
// leaves out timeline.Claimed, which concerns a single call.
func latestFleetEvents(events []timeline.Event) []timeline.Event {
	var fleetEvents []timeline.Event
	for _, e := range events {
		if e.Request == "" && e.Chat == "" && e.Kind != timeline.Claimed {
			fleetEvents = append(fleetEvents, e)
		}
	}
	return fleetEvents[max(0, len(fleetEvents)-maxExcerptEvents):]
}

// sleep waits for the duration. It returns false at once if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
