package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// Command defines the load command of hornbeambench.
type Command struct {
	Routers  []string      `help:"Addresses of routers to query for routes, as ip:port." required:"" placeholder:"IP:PORT"`
	Caller   []string      `help:"Client accounts, as label=API key." required:"" placeholder:"LABEL=KEY" sep:"none"`
	Model    string        `help:"Model of the chats."`
	Service  string        `help:"Plain HTTP service to call with idempotency keys."`
	Calls    float64       `help:"Ratio of calls to the plain HTTP service among all requests, from 0 to 1." default:"0"`
	Stream   float64       `help:"Ratio of streamed requests among all chat requests, from 0 to 1." default:"0.7"`
	Rate     float64       `help:"Mean number of arrivals per second." default:"20"`
	Duration time.Duration `help:"Time during which requests arrive." default:"30s"`
	Chats    int           `help:"Number of chats per client account." default:"100"`
	Words    int           `help:"Number of words per user message." default:"40"`
	Tokens   int           `help:"Number of tokens per completion." default:"24"`
	Seed     uint64        `help:"Random seed of arrivals, chats and contents." default:"1"`
	Attempts int           `help:"Maximum number of attempts per request." default:"4"`
	Deadline time.Duration `help:"Timeout of one attempt." default:"30s"`
	Patience time.Duration `help:"Maximum delay before a retry; if a router asks for a longer one, the request ends." default:"5s"`
	Out      string        `help:"Write the result as JSON to this file instead of standard output." type:"path" placeholder:"FILE"`
	Records  string        `help:"Write one JSON line per request to this file." type:"path" placeholder:"FILE"`
}

// Run sends the load and writes the result. It returns an error if a request ended as Wrong or
// Unanswered; requests that ended as Refused are not an error. expectedCompletion returns the
// completion that the stand-ins generate for a prompt.
func (c *Command) Run(ctx context.Context, expectedCompletion func(prompt string, tokens int) string) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	settings.ExpectedCompletion = expectedCompletion
	if c.Records != "" {
		file, err := os.Create(c.Records)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		settings.Records = file
	}
	result, err := Run(ctx, settings)
	if err != nil {
		return err
	}
	if err := c.write(result); err != nil {
		return err
	}
	if failed := result.CountOf(Wrong) + result.CountOf(Unanswered); failed > 0 {
		return fmt.Errorf("%d requests got a wrong response or none; see the examples in the result", failed)
	}
	return nil
}

func (c *Command) settings() (Settings, error) {
	s := Settings{
		Routers: c.Routers, Model: c.Model, Service: c.Service, CallRatio: c.Calls, StreamRatio: c.Stream, ArrivalRate: c.Rate,
		Duration: c.Duration, ChatsPerCaller: c.Chats, MessageWords: c.Words, CompletionTokens: c.Tokens, Seed: c.Seed, MaxAttempts: c.Attempts,
		AttemptTimeout: c.Deadline, MaxRetryDelay: c.Patience, Progress: os.Stderr,
	}
	for _, text := range c.Caller {
		label, key, ok := strings.Cut(text, "=")
		if !ok {
			return s, &InvalidSettingError{Field: "caller " + text, Remedy: "write it as label=key"}
		}
		s.Callers = append(s.Callers, Caller{Label: label, APIKey: key})
	}
	return s, nil
}

func (c *Command) write(result *Result) error {
	if c.Out == "" {
		return encode(os.Stdout, result)
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := encode(file, result); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func encode(w io.Writer, result *Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
