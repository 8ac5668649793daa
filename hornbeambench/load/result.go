package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record latencies in microseconds, up to ten minutes, with three significant
	// digits.
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxExamples       = 20
	progressInterval  = 5 * time.Second
)

// Latency summarizes a latency histogram. All values but Count are in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// LatencyGroup holds the latencies of all answered requests whose callers have the same label.
type LatencyGroup struct {
	Label string `json:"label"`
	// TimeToFirstToken is the time to the first token of streams, and InterTokenLatency the time
	// between their tokens. Total is the time to the end of the response, for streams and other
	// responses. TimeToFirstToken and Total are measured from the planned arrival.
	TimeToFirstToken  Latency `json:"first"`
	InterTokenLatency Latency `json:"between"`
	Total             Latency `json:"total"`
}

// NamedCount is the number of requests with a given ending or error code.
type NamedCount struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Result is the summary of a run, which is written as JSON.
type Result struct {
	Kind    string  `json:"kind"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	Planned int     `json:"planned"`
	Sent    int     `json:"sent"`
	// Endings and ErrorCodes are sorted by name. ErrorCodes counts the requests whose last attempt
	// returned an error object, by its code. RetryCount is the number of attempts after the first
	// of each request.
	Endings    []NamedCount `json:"endings"`
	ErrorCodes []NamedCount `json:"codes"`
	RetryCount int          `json:"again"`
	// Groups are in the order of the callers.
	Groups []LatencyGroup `json:"groups"`
	// Examples are the first requests that were not answered as expected.
	Examples []Record `json:"examples"`
}

// CountOf returns the number of requests with the given ending.
func (r *Result) CountOf(ending Ending) int {
	for _, c := range r.Endings {
		if c.Name == string(ending) {
			return c.Count
		}
	}
	return 0
}

type histograms struct{ firstToken, tokenGap, total *hdrhistogram.Histogram }

// collector aggregates the results of concurrent requests.
type collector struct {
	settings *Settings
	records  io.Writer

	mu       sync.Mutex
	planned  int
	sent     int
	retries  int
	endings  map[string]int
	codes    map[string]int
	groups   map[string]histograms
	examples []Record
}

func newCollector(s *Settings, planned int) *collector {
	c := &collector{
		settings: s, records: s.Records, planned: planned,
		endings: map[string]int{}, codes: map[string]int{}, groups: map[string]histograms{},
	}
	for _, caller := range s.Callers {
		c.groups[caller.Label] = histograms{newHistogram(), newHistogram(), newHistogram()}
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func (c *collector) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

// requestEnded adds a request to the results. last is its last attempt.
func (c *collector) requestEnded(r Record, last attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeRecord(r)
	c.endings[string(r.Ending)]++
	c.retries += r.Attempts - 1
	if r.Code != "" {
		c.codes[string(r.Code)]++
	}
	if r.Ending != Answered {
		if len(c.examples) < maxExamples {
			c.examples = append(c.examples, r)
		}
		return
	}
	group := c.groups[r.Caller]
	recordLatency(group.total, last.total)
	if last.firstToken > 0 {
		recordLatency(group.firstToken, last.firstToken)
	}
	for _, gap := range last.tokenGaps {
		recordLatency(group.tokenGap, gap)
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range of the histogram are clamped to it, so RecordValue returns no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// reportProgress writes a line to w at each progressInterval until stop is called.
func (c *collector) reportProgress(w io.Writer) (stop func()) {
	if w == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				_, _ = fmt.Fprintln(w, c.progressLine())
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}

func (c *collector) progressLine() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d of %d sent, %d answered, %d refused, %d wrong, %d unanswered", c.sent, c.planned,
		c.endings[string(Answered)], c.endings[string(Refused)], c.endings[string(Wrong)], c.endings[string(Unanswered)])
}

func (c *collector) result(elapsed time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{
		Kind: "load", Seed: c.settings.Seed, Rate: c.settings.ArrivalRate, Seconds: elapsed.Seconds(),
		Planned: c.planned, Sent: c.sent, RetryCount: c.retries,
		Endings: sortedCounts(c.endings), ErrorCodes: sortedCounts(c.codes), Examples: c.examples,
	}
	for _, label := range uniqueLabels(c.settings.Callers) {
		h := c.groups[label]
		r.Groups = append(r.Groups, LatencyGroup{Label: label, TimeToFirstToken: summarize(h.firstToken), InterTokenLatency: summarize(h.tokenGap), Total: summarize(h.total)})
	}
	return r
}

// summarize converts a histogram of microseconds to milliseconds.
func summarize(h *hdrhistogram.Histogram) Latency {
	toMillis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: toMillis(h.ValueAtQuantile(50)), P95: toMillis(h.ValueAtQuantile(95)),
		P99: toMillis(h.ValueAtQuantile(99)), Max: toMillis(h.Max()),
	}
}

// sortedCounts returns the counts sorted by name.
func sortedCounts(counts map[string]int) []NamedCount {
	list := make([]NamedCount, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, NamedCount{Name: name, Count: counts[name]})
	}
	return list
}

// uniqueLabels returns each label once, in the order of the callers.
func uniqueLabels(callers []Caller) []string {
	var list []string
	for _, c := range callers {
		if !slices.Contains(list, c.Label) {
			list = append(list, c.Label)
		}
	}
	return list
}
