// Package load sends requests to running routers as callers do, verifies every response and
// measures latencies.
package load

import (
	"fmt"
	"io"
	"time"
)

// Caller is a client account that sends requests.
type Caller struct {
	// Label is the name under which the results are grouped, and APIKey authenticates the account.
	Label, APIKey string
}

// Settings are the settings of a run.
type Settings struct {
	// Routers are the addresses of the routers to query for routes, as ip:port. At least one.
	Routers []string
	// Callers are chosen at random for each request. Each has its own chats. At least one.
	Callers []Caller
	Model   string
	// Service is the plain service, which is called with idempotency keys. CallRatio is the ratio
	// of these calls among all requests, from 0 to 1.
	Service   string
	CallRatio float64
	// StreamRatio is the ratio of streamed requests among all chat requests, from 0 to 1.
	StreamRatio float64
	// ArrivalRate is the mean number of arrivals per second, and Duration the time during which
	// requests arrive. Both are greater than 0.
	ArrivalRate float64
	Duration    time.Duration
	// ChatsPerCaller is at least 1. Each chat request is the next turn of one of these chats.
	ChatsPerCaller int
	// MessageWords is the number of words per user message, and CompletionTokens the number of
	// tokens per completion. Both are at least 1.
	MessageWords, CompletionTokens int
	// Seed is the random seed of the arrivals, callers, chats, kinds of requests and contents.
	Seed uint64
	// MaxAttempts is the maximum number of attempts per request. A caller retries requests that did
	// not run, retryable requests, and calls with the same idempotency key.
	MaxAttempts int
	// AttemptTimeout is the timeout of one attempt, and MaxRetryDelay the maximum delay before a
	// retry.
	AttemptTimeout, MaxRetryDelay time.Duration
	// ExpectedCompletion returns the expected completion of a prompt, against which responses are
	// verified.
	ExpectedCompletion func(prompt string, tokens int) string
	// Progress receives a line every five seconds, and Records one JSON line per request. Both are
	// optional.
	Progress, Records io.Writer
}

// InvalidSettingError is returned for an invalid setting.
type InvalidSettingError struct{ Field, Remedy string }

func (e *InvalidSettingError) Error() string {
	return fmt.Sprintf("invalid load setting %s: %s", e.Field, e.Remedy)
}

// Validate returns an *InvalidSettingError for the first invalid setting.
func (s *Settings) Validate() error {
	for _, rule := range []struct {
		ok            bool
		field, remedy string
	}{
		{len(s.Routers) > 0, "routers", "set at least one ip:port"},
		{len(s.Callers) > 0, "callers", "set at least one label=key"},
		{s.Model != "" || s.CallRatio >= 1, "model", "set a model, or set calls to 1"},
		{s.CallRatio >= 0 && s.CallRatio <= 1, "calls", "set a ratio from 0 to 1"},
		{s.Service != "" || s.CallRatio == 0, "service", "set a service, or set calls to 0"},
		{s.StreamRatio >= 0 && s.StreamRatio <= 1, "stream", "set a ratio from 0 to 1"},
		{s.ArrivalRate > 0, "rate", "set a number of arrivals per second greater than 0"},
		{s.Duration > 0, "duration", "set a time greater than 0"},
		{s.ChatsPerCaller > 0, "chats", "set at least 1"},
		{s.MessageWords > 0, "words", "set at least 1"},
		{s.CompletionTokens > 0, "tokens", "set at least 1"},
		{s.MaxAttempts > 0, "attempts", "set at least 1"},
		{s.AttemptTimeout > 0, "deadline", "set a time greater than 0"},
		{s.ExpectedCompletion != nil, "expect", "set the function that returns the expected completion"},
	} {
		if !rule.ok {
			return &InvalidSettingError{Field: rule.field, Remedy: rule.remedy}
		}
	}
	return nil
}
