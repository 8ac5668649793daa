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
	// Routers are the addresses of the routers to query for routes, as ip:port. They also receive
	// requests if no router of a route accepts a connection. At least one.
	Routers []string
	// Callers are the client accounts. Each request is sent by one of them, chosen at random. Each
	// has its own chats. At least one.
	Callers []Caller
	// Model is the model of the chat requests.
	Model string
	// Service is the plain HTTP service to call with idempotency keys. CallRatio is the ratio of
	// these calls among all requests, from 0 to 1.
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
	// MaxAttempts is the maximum number of attempts per request. A request is retried after a failed
	// attempt without an error object; a service call keeps its idempotency key. After an error
	// object with the outcome "not run", it is retried if the object has a retry time or addresses
	// of routers to try next. After one with another outcome, only chat requests are retried. A
	// response that differs from the expected one is never retried.
	MaxAttempts int
	// AttemptTimeout is the timeout of one attempt, and MaxRetryDelay the maximum delay before a
	// retry. If a router asks for a longer delay, the request is not retried.
	AttemptTimeout, MaxRetryDelay time.Duration
	// ExpectedCompletion returns the expected completion of a prompt, against which responses are
	// verified.
	ExpectedCompletion func(prompt string, tokens int) string
	// Progress receives a line every five seconds, and Records one JSON line per request. Both are
	// optional.
	Progress, Records io.Writer
}

// InvalidSettingError is returned for an invalid setting. Field is the short name of the setting,
// such as the name of its flag, and not the name of its Go field.
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
		{s.ExpectedCompletion != nil, "expect", "set ExpectedCompletion, the function that returns the expected completion"},
	} {
		if !rule.ok {
			return &InvalidSettingError{Field: rule.field, Remedy: rule.remedy}
		}
	}
	return nil
}
