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

// timings are the times to the first token and between tokens, in microseconds.
type timings struct {
	mu          sync.Mutex
	first, next *hdrhistogram.Histogram
}

func newTimings() *timings {
	const longest = 60_000_000
	return &timings{first: hdrhistogram.New(1, longest, 3), next: hdrhistogram.New(1, longest, 3)}
}

func (t *timings) record(h *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

// ask streams one answer and returns the number of its tokens. The timings may be nil.
func ask(client *http.Client, url, body string, t *timings) int {
	r, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	last := time.Now()
	resp, err := client.Do(r)
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
		if t == nil {
			continue
		}
		now := time.Now()
		if tokens == 1 {
			t.record(t.first, now.Sub(last))
		} else {
			t.record(t.next, now.Sub(last))
		}
		last = now
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// BenchmarkAddedLatency compares answers through a router process with direct ones, in turn. An iteration is one pair.
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
	_, f, _ := child(c, engine.Address())
	direct, routed := newTimings(), newTimings()
	client := newClient()
	body := `{"model":"letters","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"x"}]}`
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range (b.N + callers - 1) / callers {
				ask(client, "http://"+engine.Address(), body, direct)
				ask(client, f.url, body, routed)
			}
		})
	}
	running.Wait()
	for _, q := range []float64{50, 99} {
		name := "p" + strconv.Itoa(int(q))
		b.ReportMetric(float64(routed.first.ValueAtQuantile(q)-direct.first.ValueAtQuantile(q)), name+"-added-first-µs")
		b.ReportMetric(float64(routed.next.ValueAtQuantile(q)-direct.next.ValueAtQuantile(q)), name+"-added-next-µs")
		b.ReportMetric(float64(direct.first.ValueAtQuantile(q)), name+"-direct-first-µs")
		b.ReportMetric(float64(direct.next.ValueAtQuantile(q)), name+"-direct-next-µs")
	}
}

// BenchmarkRelay measures tokens for each second of processor time of a router process. An iteration is one token; each
// answer arrives token by token from a fast engine.
func BenchmarkRelay(b *testing.B) {
	c := qt.New(b)
	engine, err := modelengine.Start(modelengine.Config{MaxRunning: 256, StepInterval: time.Millisecond})
	c.Assert(err, qt.IsNil)
	defer engine.Close()
	process, f, _ := child(c, engine.Address())
	client := newClient()
	const streams = 128
	body := `{"model":"letters","stream":true,"max_tokens":` + strconv.Itoa(b.N/streams+1) + `,"messages":[{"role":"user","content":"x"}]}`
	var callers sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for range streams {
		callers.Go(func() {
			n := ask(client, f.url, body, nil)
			mu.Lock()
			total += n
			mu.Unlock()
		})
	}
	callers.Wait()
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(process.Wait(), qt.IsNil)
	used := process.ProcessState.UserTime() + process.ProcessState.SystemTime()
	b.ReportMetric(float64(total)/used.Seconds(), "tokens/cpu-s")
}

// BenchmarkOpenStreams measures the resident memory of a router process for each stream that is open and idle.
func BenchmarkOpenStreams(b *testing.B) {
	c := qt.New(b)
	engine, err := modelengine.Start(modelengine.Config{MaxRunning: 1 << 16, StepInterval: time.Hour})
	c.Assert(err, qt.IsNil)
	defer engine.Close()
	process, f, _ := child(c, engine.Address())
	client := newClient()
	ask(client, f.url, "{}", nil)
	before := resident(c, process.Process.Pid)
	for range b.N {
		go ask(client, f.url, chatBody("x", true), nil)
	}
	eventually(func() bool { return engine.ActiveCount() == b.N })
	b.ReportMetric(float64(resident(c, process.Process.Pid)-before)/float64(b.N), "bytes/stream")
}

// resident returns the resident memory of a process in bytes.
func resident(c *qt.C, pid int) int {
	file, err := os.Open("/proc/" + strconv.Itoa(pid) + "/statm")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	data, err := io.ReadAll(file)
	c.Assert(err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	c.Assert(err, qt.IsNil)
	return pages * os.Getpagesize()
}
