package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"hornbeamstep.example/hornbeambench/load"
)

// ErrShort is returned if an outcome falls short.
var ErrShort = errors.New("an outcome falls short; the lines marked \"short\" say what was seen")

// Commands are the group.
type Commands struct {
	Watch WatchCommand `cmd:"" help:"Write the loads of engines over time to a file until it is interrupted."`
	Judge JudgeCommand `cmd:"" help:"Judge the outcomes of an experiment from what callers and stand-ins recorded."`
	Fault FaultCommand `cmd:"" help:"Inject a fault into a stand-in."`
	Wait  WaitCommand  `cmd:"" help:"Wait until URLs answer with status 200."`

	Revisions RevisionsCommand `cmd:"" help:"Write the revisions in force of routers over time to a file until it is interrupted."`
	Relay     RelayCommand     `cmd:"" help:"Run relays between daemons that part two groups of them on demand."`
}

// WatchCommand samples the loads of engines.
type WatchCommand struct {
	Engines  []string      `help:"Engines, as name=ip:port." required:"" placeholder:"NAME=IP:PORT"`
	Out      string        `help:"File for one JSON line for each sample." required:"" type:"path" placeholder:"FILE"`
	Interval time.Duration `help:"Time between samples." default:"20ms"`
}

// Run runs the command until ctx ends.
func (c *WatchCommand) Run(ctx context.Context) error {
	return record(ctx, c.Out, c.Interval, func(lines *json.Encoder) error {
		return lines.Encode(sample(ctx, c.Engines, c.Interval))
	})
}

// record writes lines to a file at each interval until ctx ends or a line cannot be written.
func record(ctx context.Context, path string, interval time.Duration, write func(*json.Encoder) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	lines := json.NewEncoder(file)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return file.Close()
		case <-ticker.C:
		}
		if err := write(lines); err != nil {
			return errors.Join(err, file.Close())
		}
	}
}

type wireLoad struct {
	Load float64 `json:"load"`
}

// sample asks all engines at once; those that do not answer in time are left out.
func sample(ctx context.Context, engines []string, limit time.Duration) Sample {
	ctx, cancel := context.WithTimeout(ctx, max(limit, 100*time.Millisecond))
	defer cancel()
	answers := make([]chan Load, len(engines))
	at := time.Now()
	for i, engine := range engines {
		answers[i] = make(chan Load, 1)
		go func() {
			defer close(answers[i])
			name, address, _ := strings.Cut(engine, "=")
			var answer wireLoad
			if content, err := fetch(ctx, "http://"+address+"/v1/load"); err == nil && json.Unmarshal(content, &answer) == nil {
				answers[i] <- Load{Engine: name, Load: answer.Load}
			}
		}()
	}
	s := Sample{At: at}
	for _, answer := range answers {
		if l, ok := <-answer; ok {
			s.Loads = append(s.Loads, l)
		}
	}
	return s
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(question)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// JudgeCommand judges an experiment.
type JudgeCommand struct {
	Records   string   `help:"File of load --records." required:"" type:"existingfile" placeholder:"FILE"`
	Services  []string `help:"Addresses of all plain services, for their ledgers." placeholder:"IP:PORT"`
	Samples   string   `help:"File of watch." required:"" type:"existingfile" placeholder:"FILE"`
	Revisions string   `help:"File of revisions." type:"existingfile" placeholder:"FILE"`
	Pushes    string   `help:"Folder with the result of each push: RACE-OPERATOR.code holds the exit code of hornbeamctl, RACE-OPERATOR.text what it printed." type:"existingdir" placeholder:"DIR"`
	Apart     []string `help:"Daemons that were parted from the others; needs --revisions." placeholder:"NAME"`
	Bound     float64  `help:"Configured multiple of the mean load." default:"1.25"`
	Out       string   `help:"Also write the verdicts as JSON to this file." type:"path" placeholder:"FILE"`
}

type wireEntry struct {
	Key string `json:"key"`
}

// Run runs the command. It returns ErrShort if an outcome falls short.
func (c *JudgeCommand) Run(ctx context.Context) error {
	evidence, err := c.evidence(ctx)
	if err != nil {
		return err
	}
	verdicts := Judge(evidence)
	if c.Revisions != "" {
		verdicts = append(verdicts, evidence.reverted(), evidence.agreed())
	}
	if len(c.Apart) > 0 {
		verdicts = append(verdicts, evidence.parted(c.Apart))
	}
	if c.Pushes != "" {
		verdicts = append(verdicts, evidence.races()...)
	}
	held := true
	for _, v := range verdicts {
		mark := "holds"
		if !v.Held {
			mark, held = "short", false
		}
		fmt.Printf("%s: %s: %s\n", mark, v.Outcome, v.Seen)
	}
	if c.Out != "" {
		content, err := json.MarshalIndent(verdicts, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Out, append(content, '\n'), 0o644); err != nil {
			return err
		}
	}
	if !held {
		return ErrShort
	}
	return nil
}

func (c *JudgeCommand) evidence(ctx context.Context) (Evidence, error) {
	e := Evidence{Ran: map[string]int{}, Bound: c.Bound}
	var err error
	if e.Records, err = readLines[load.Record](c.Records); err != nil {
		return e, err
	}
	if e.Samples, err = readLines[Sample](c.Samples); err != nil {
		return e, err
	}
	if c.Revisions != "" {
		if e.Revisions, err = readLines[InForce](c.Revisions); err != nil {
			return e, err
		}
	}
	if c.Pushes != "" {
		if e.Pushes, err = readPushes(c.Pushes); err != nil {
			return e, err
		}
	}
	for _, service := range c.Services {
		content, err := fetch(ctx, "http://"+service+"/ledger")
		if err != nil {
			return e, err
		}
		var entries []wireEntry
		if err := json.Unmarshal(content, &entries); err != nil {
			return e, err
		}
		for _, entry := range entries {
			if entry.Key != "" {
				e.Ran[entry.Key]++
			}
		}
	}
	return e, nil
}

// readLines reads a file of JSON lines.
func readLines[T any](name string) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	all, err := lines[T](file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return all, nil
}

// FaultCommand injects a fault into a stand-in.
type FaultCommand struct {
	Address string `arg:"" help:"Address of the stand-in, as ip:port."`
	Fault   string `arg:"" help:"Fault as a JSON object; {} ends it."`
}

// Run runs the command.
func (c *FaultCommand) Run(ctx context.Context) error {
	question, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/fault", strings.NewReader(c.Fault))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(question)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("stand-in answered with status %d: %s", response.StatusCode, content)
	}
	return nil
}

// WaitCommand waits for processes to be ready.
type WaitCommand struct {
	URLs  []string      `arg:"" help:"URLs." name:"url"`
	Limit time.Duration `help:"Longest wait." default:"30s"`
}

// Run runs the command.
func (c *WaitCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	for _, url := range c.URLs {
		for {
			_, err := fetch(ctx, url)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", url, err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
