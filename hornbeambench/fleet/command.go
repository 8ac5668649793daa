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

// ErrCheckFailed is returned if at least one check failed.
var ErrCheckFailed = errors.New("at least one check failed; see the lines marked \"short\"")

// Commands defines the subcommands of hornbeambench fleet.
type Commands struct {
	Watch WatchCommand `cmd:"" help:"Sample the loads of engines and write them to a file until interrupted."`
	Judge JudgeCommand `cmd:"" help:"Check the results of an experiment against the records of requests and of executed calls."`
	Fault FaultCommand `cmd:"" help:"Inject a fault into a simulated server (hornbeambench standin) or into the relays."`
	Wait  WaitCommand  `cmd:"" help:"Wait until all URLs return status 200."`

	Revisions RevisionsCommand `cmd:"" help:"Sample the active revisions of routers and write them to a file until interrupted."`
	Relay     RelayCommand     `cmd:"" help:"Run relays between daemons that simulate a network partition on request."`
}

// WatchCommand samples the loads of engines at a fixed interval.
type WatchCommand struct {
	Engines  []string      `help:"Engines, as name=ip:port." required:"" placeholder:"NAME=IP:PORT"`
	Out      string        `help:"Output file with one JSON line per sample." required:"" type:"path" placeholder:"FILE"`
	Interval time.Duration `help:"Time between samples." default:"20ms"`
}

// Run writes samples until ctx is canceled.
func (c *WatchCommand) Run(ctx context.Context) error {
	return writePeriodically(ctx, c.Out, c.Interval, func(encoder *json.Encoder) error {
		return encoder.Encode(sampleLoads(ctx, c.Engines, c.Interval))
	})
}

// writePeriodically creates the file at path and calls write at each interval until ctx is canceled
// or write fails.
func writePeriodically(ctx context.Context, path string, interval time.Duration, write func(*json.Encoder) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(file)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return file.Close()
		case <-ticker.C:
		}
		if err := write(encoder); err != nil {
			return errors.Join(err, file.Close())
		}
	}
}

type wireLoad struct {
	Load float64 `json:"load"`
}

// sampleLoads queries all engines concurrently and omits those that do not respond in time. The
// timeout is at least 100 ms.
func sampleLoads(ctx context.Context, engines []string, timeout time.Duration) LoadSample {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, 100*time.Millisecond))
	defer cancel()
	results := make([]chan EngineLoad, len(engines))
	at := time.Now()
	for i, engine := range engines {
		results[i] = make(chan EngineLoad, 1)
		go func() {
			defer close(results[i])
			name, address, _ := strings.Cut(engine, "=")
			var response wireLoad
			if content, err := fetch(ctx, "http://"+address+"/v1/load"); err == nil && json.Unmarshal(content, &response) == nil {
				results[i] <- EngineLoad{Engine: name, Load: response.Load}
			}
		}()
	}
	sample := LoadSample{At: at}
	for _, result := range results {
		if engineLoad, ok := <-result; ok {
			sample.Loads = append(sample.Loads, engineLoad)
		}
	}
	return sample
}

// fetch returns the body of a GET request, or an error if the status is not 200.
func fetch(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("GET %s returned status %d", url, response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// JudgeCommand checks the required outcomes of an experiment and prints a verdict for each.
type JudgeCommand struct {
	Records   string   `help:"File written by hornbeambench load --records." required:"" type:"existingfile" placeholder:"FILE"`
	Services  []string `help:"Addresses of all simulated HTTP services. Their lists of executed calls are read from /ledger." placeholder:"IP:PORT"`
	Samples   string   `help:"File written by hornbeambench fleet watch." required:"" type:"existingfile" placeholder:"FILE"`
	Revisions string   `help:"File written by hornbeambench fleet revisions." type:"existingfile" placeholder:"FILE"`
	Pushes    string   `help:"Directory with the result of each push: RACE-OPERATOR.code contains the exit code of hornbeamctl, RACE-OPERATOR.text its output." type:"existingdir" placeholder:"DIR"`
	Apart     []string `help:"Daemons that were partitioned from the others; requires --revisions." placeholder:"NAME"`
	Bound     float64  `help:"Configured load bound, as a multiple of the mean load." default:"1.25"`
	Out       string   `help:"Also write the verdicts as JSON to this file." type:"path" placeholder:"FILE"`
}

// wireExecutedCall is the part of an executed call that is read from /ledger.
type wireExecutedCall struct {
	Key string `json:"key"`
}

// Run prints the verdicts. It returns ErrCheckFailed if at least one check failed.
func (c *JudgeCommand) Run(ctx context.Context) error {
	evidence, err := c.collectEvidence(ctx)
	if err != nil {
		return err
	}
	verdicts := Judge(evidence)
	if c.Revisions != "" {
		verdicts = append(verdicts, evidence.checkNoRollback(), evidence.checkConvergence())
	}
	if len(c.Apart) > 0 {
		verdicts = append(verdicts, evidence.checkPartition(c.Apart))
	}
	if c.Pushes != "" {
		verdicts = append(verdicts, evidence.checkRaces()...)
	}
	passed := true
	for _, v := range verdicts {
		mark := "holds"
		if !v.Passed {
			mark, passed = "short", false
		}
		fmt.Printf("%s: %s: %s\n", mark, v.Outcome, v.Observed)
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
	if !passed {
		return ErrCheckFailed
	}
	return nil
}

// collectEvidence reads the files of the experiment and the executed calls of the HTTP services.
func (c *JudgeCommand) collectEvidence(ctx context.Context) (Evidence, error) {
	e := Evidence{ExecutionCounts: map[string]int{}, Bound: c.Bound}
	var err error
	if e.Records, err = readJSONLines[load.Record](c.Records); err != nil {
		return e, err
	}
	if e.Samples, err = readJSONLines[LoadSample](c.Samples); err != nil {
		return e, err
	}
	if c.Revisions != "" {
		if e.Revisions, err = readJSONLines[RevisionSample](c.Revisions); err != nil {
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
		var entries []wireExecutedCall
		if err := json.Unmarshal(content, &entries); err != nil {
			return e, err
		}
		for _, entry := range entries {
			if entry.Key != "" {
				e.ExecutionCounts[entry.Key]++
			}
		}
	}
	return e, nil
}

// readJSONLines decodes a file that contains one JSON object per line.
func readJSONLines[T any](name string) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	values, err := decodeJSONLines[T](file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return values, nil
}

// FaultCommand injects a fault into a simulated server (hornbeambench standin) or into the relays.
type FaultCommand struct {
	Address string `arg:"" help:"Address of the simulated server or of the relays, as ip:port."`
	Fault   string `arg:"" help:"Fault as a JSON object; {} clears it."`
}

// Run posts the fault and returns an error unless the response has status 2xx.
func (c *FaultCommand) Run(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/fault", strings.NewReader(c.Fault))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("fault endpoint returned status %d: %s", response.StatusCode, content)
	}
	return nil
}

// WaitCommand polls URLs until the processes behind them are ready.
type WaitCommand struct {
	URLs  []string      `arg:"" help:"URLs to poll." name:"url"`
	Limit time.Duration `help:"Maximum time to wait for all URLs." default:"30s"`
}

// Run polls each URL in turn every 50 ms and returns an error after c.Limit.
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
