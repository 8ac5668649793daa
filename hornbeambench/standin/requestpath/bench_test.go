package requestpath

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

// tokenLatencies contains the distributions of the time to the first token and of the time between
// two tokens, in microseconds.
type tokenLatencies struct {
	mu                    sync.Mutex
	firstToken, nextToken *hdrhistogram.Histogram
}

func newTokenLatencies() *tokenLatencies {
	const maxMicroseconds = 60_000_000
	return &tokenLatencies{firstToken: hdrhistogram.New(1, maxMicroseconds, 3), nextToken: hdrhistogram.New(1, maxMicroseconds, 3)}
}

func (l *tokenLatencies) record(histogram *hdrhistogram.Histogram, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = histogram.RecordValue(max(d.Microseconds(), 1))
}

// streamChat sends a streamed chat completion request and returns the number of tokens received. If
// latencies is not nil, the token latencies are recorded in it.
func streamChat(client *http.Client, url, body string, latencies *tokenLatencies) int {
	req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	// previous is the time of the previous token, or of the request before the first token.
	previous := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	tokens := 0
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return tokens
		}
		if !strings.HasPrefix(string(line), "data: {") {
			continue
		}
		tokens++
		if latencies == nil {
			continue
		}
		now := time.Now()
		if tokens == 1 {
			latencies.record(latencies.firstToken, now.Sub(previous))
		} else {
			latencies.record(latencies.nextToken, now.Sub(previous))
		}
		previous = now
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// BenchmarkAddedLatency compares the token latencies of responses through a router process with
// those of direct responses. An iteration is one direct response followed by one routed response.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) { addedLatency(b, callers) })
	}
}

func addedLatency(b *testing.B, callers int) {
	c := qt.New(b)
	engine, err := modelengine.Start(modelengine.Config{MaxRunning: 64})
	c.Assert(err, qt.IsNil)
	defer engine.Close()
	_, f, _ := startRouterProcess(c, engine.Address())
	direct, routed := newTokenLatencies(), newTokenLatencies()
	client := newClient()
	body := `{"model":"letters","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"x"}]}`
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			for range (b.N + callers - 1) / callers {
				streamChat(client, "http://"+engine.Address(), body, direct)
				streamChat(client, f.url, body, routed)
			}
		})
	}
	callersDone.Wait()
	for _, percentile := range []float64{50, 99} {
		name := "p" + strconv.Itoa(int(percentile))
		b.ReportMetric(float64(routed.firstToken.ValueAtQuantile(percentile)-direct.firstToken.ValueAtQuantile(percentile)), name+"-added-first-µs")
		b.ReportMetric(float64(routed.nextToken.ValueAtQuantile(percentile)-direct.nextToken.ValueAtQuantile(percentile)), name+"-added-next-µs")
		b.ReportMetric(float64(direct.firstToken.ValueAtQuantile(percentile)), name+"-direct-first-µs")
		b.ReportMetric(float64(direct.nextToken.ValueAtQuantile(percentile)), name+"-direct-next-µs")
	}
}

// BenchmarkRelay measures the number of tokens that a router process relays per second of CPU time.
// An iteration is one token. On each stream the engine sends one token per millisecond, each in a
// chunk of its own.
func BenchmarkRelay(b *testing.B) {
	c := qt.New(b)
	engine, err := modelengine.Start(modelengine.Config{MaxRunning: 256, StepInterval: time.Millisecond})
	c.Assert(err, qt.IsNil)
	defer engine.Close()
	process, f, _ := startRouterProcess(c, engine.Address())
	client := newClient()
	const streams = 128
	body := `{"model":"letters","stream":true,"max_tokens":` + strconv.Itoa(b.N/streams+1) + `,"messages":[{"role":"user","content":"x"}]}`
	var streamsDone sync.WaitGroup
	var mu sync.Mutex
	totalTokens := 0
	for range streams {
		streamsDone.Go(func() {
			tokens := streamChat(client, f.url, body, nil)
			mu.Lock()
			totalTokens += tokens
			mu.Unlock()
		})
	}
	streamsDone.Wait()
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(process.Wait(), qt.IsNil)
	cpuTime := process.ProcessState.UserTime() + process.ProcessState.SystemTime()
	b.ReportMetric(float64(totalTokens)/cpuTime.Seconds(), "tokens/cpu-s")
}

// BenchmarkOpenStreams measures the resident memory of a router process per open, idle stream.
func BenchmarkOpenStreams(b *testing.B) {
	c := qt.New(b)
	engine, err := modelengine.Start(modelengine.Config{MaxRunning: 1 << 16, StepInterval: time.Hour})
	c.Assert(err, qt.IsNil)
	defer engine.Close()
	process, f, _ := startRouterProcess(c, engine.Address())
	client := newClient()
	// The memory that the first request allocates in the router is part of the baseline.
	streamChat(client, f.url, "{}", nil)
	baselineBytes := residentBytes(c, process.Process.Pid)
	for range b.N {
		go streamChat(client, f.url, chatBody("x", true), nil)
	}
	waitUntil(func() bool { return engine.ActiveCount() == b.N })
	b.ReportMetric(float64(residentBytes(c, process.Process.Pid)-baselineBytes)/float64(b.N), "bytes/stream")
}

// residentBytes returns the resident set size of a process.
func residentBytes(c *qt.C, pid int) int {
	file, err := os.Open("/proc/" + strconv.Itoa(pid) + "/statm")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	data, err := io.ReadAll(file)
	c.Assert(err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	c.Assert(err, qt.IsNil)
	return pages * os.Getpagesize()
}
