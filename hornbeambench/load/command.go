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

// Command is the load command of hornbeambench.
type Command struct {
	Routers  []string      `help:"Addresses of routers to ask for routes, as ip:port." required:"" placeholder:"IP:PORT"`
	Caller   []string      `help:"Client accounts, as label=key." required:"" placeholder:"LABEL=KEY" sep:"none"`
	Model    string        `help:"Model to request."`
	Service  string        `help:"Plain service to call with idempotency keys."`
	Calls    float64       `help:"Share of calls to the plain service." default:"0"`
	Stream   float64       `help:"Share of streamed chats." default:"0.7"`
	Rate     float64       `help:"Mean arrivals per second." default:"20"`
	Duration time.Duration `help:"Time of the arrivals." default:"30s"`
	Chats    int           `help:"Chats of each client account." default:"100"`
	Words    int           `help:"Words of a message." default:"40"`
	Tokens   int           `help:"Tokens of an answer." default:"24"`
	Seed     uint64        `help:"Seed of arrivals, chats and contents." default:"1"`
	Attempts int           `help:"Greatest number of times that a request is sent." default:"4"`
	Deadline time.Duration `help:"Longest time for one attempt." default:"30s"`
	Patience time.Duration `help:"Longest pause accepted before a repetition." default:"5s"`
	Out      string        `help:"Write the result as JSON to this file instead of standard output." type:"path" placeholder:"FILE"`
	Records  string        `help:"Write a JSON line for each request to this file." type:"path" placeholder:"FILE"`
}

// Run runs the command. It returns an error if a request was answered wrong or not at all.
func (c *Command) Run(ctx context.Context, expect func(prompt string, tokens int) string) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	settings.Expect = expect
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
	if bad := result.Of(Wrong) + result.Of(Unanswered); bad > 0 {
		return fmt.Errorf("%d requests were answered wrong or not at all; see the examples in the result", bad)
	}
	return nil
}

func (c *Command) settings() (Settings, error) {
	s := Settings{
		Routers: c.Routers, Model: c.Model, Service: c.Service, Calls: c.Calls, Stream: c.Stream, Rate: c.Rate,
		Duration: c.Duration, Chats: c.Chats, Words: c.Words, Tokens: c.Tokens, Seed: c.Seed, Attempts: c.Attempts,
		Deadline: c.Deadline, Patience: c.Patience, Progress: os.Stderr,
	}
	for _, text := range c.Caller {
		label, key, ok := strings.Cut(text, "=")
		if !ok {
			return s, &InvalidError{Field: "caller " + text, Remedy: "write it as label=key"}
		}
		s.Callers = append(s.Callers, Caller{Label: label, Key: key})
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
