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
	// Latencies are kept in microseconds, up to ten minutes, with three digits.
	highest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
	examples = 20
	// interval is the time between lines of progress.
	interval = 5 * time.Second
)

// Latency summarizes a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Group holds the latencies of the requests of one caller.
type Group struct {
	Label string `json:"label"`
	// First is the time to the first token and Between the time between tokens, of streams; Total is the time to the end of
	// all answers. They count from the planned arrival.
	First   Latency `json:"first"`
	Between Latency `json:"between"`
	Total   Latency `json:"total"`
}

// Count is a number of requests.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Result is the result of a run.
type Result struct {
	Kind    string  `json:"kind"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	Planned int     `json:"planned"`
	Sent    int     `json:"sent"`
	// Endings and Codes are ordered by name. Codes counts the last typed errors.
	Endings []Count `json:"endings"`
	Codes   []Count `json:"codes"`
	// Again counts the repeated attempts.
	Again int `json:"again"`
	// Groups are ordered as the callers are.
	Groups []Group `json:"groups"`
	// Examples are the first requests that were not answered right.
	Examples []Record `json:"examples"`
}

// Of returns how many requests had an ending.
func (r *Result) Of(ending Ending) int {
	for _, c := range r.Endings {
		if c.Name == string(ending) {
			return c.Count
		}
	}
	return 0
}

type histograms struct{ first, between, total *hdrhistogram.Histogram }

// tally gathers results from many goroutines.
type tally struct {
	settings *Settings
	records  io.Writer

	mu      sync.Mutex
	planned int
	sent    int
	again   int
	endings map[string]int
	codes   map[string]int
	groups  map[string]histograms
	wrong   []Record
}

func newTally(s *Settings, planned int) *tally {
	t := &tally{
		settings: s, records: s.Records, planned: planned,
		endings: map[string]int{}, codes: map[string]int{}, groups: map[string]histograms{},
	}
	for _, c := range s.Callers {
		t.groups[c.Label] = histograms{newHistogram(), newHistogram(), newHistogram()}
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highest, digits) }

func (t *tally) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

func (t *tally) end(r Record, a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeRecord(r)
	t.endings[string(r.Ending)]++
	t.again += r.Attempts - 1
	if r.Code != "" {
		t.codes[string(r.Code)]++
	}
	if r.Ending != Answered {
		if len(t.wrong) < examples {
			t.wrong = append(t.wrong, r)
		}
		return
	}
	group := t.groups[r.Caller]
	record(group.total, a.total)
	if a.first > 0 {
		record(group.first, a.first)
	}
	for _, gap := range a.gaps {
		record(group.between, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram count as its highest one; the clamp leaves no error to handle.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highest))
}

// report writes a line of progress at intervals until the returned function is called.
func (t *tally) report(w io.Writer) (stop func()) {
	if w == nil {
		return func() {}
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				_, _ = fmt.Fprintln(w, t.line())
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}

func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d sent, %d answered, %d refused, %d wrong, %d unanswered", t.sent, t.planned,
		t.endings[string(Answered)], t.endings[string(Refused)], t.endings[string(Wrong)], t.endings[string(Unanswered)])
}

func (t *tally) result(elapsed time.Duration) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Result{
		Kind: "load", Seed: t.settings.Seed, Rate: t.settings.Rate, Seconds: elapsed.Seconds(),
		Planned: t.planned, Sent: t.sent, Again: t.again,
		Endings: counts(t.endings), Codes: counts(t.codes), Examples: t.wrong,
	}
	for _, label := range labels(t.settings.Callers) {
		h := t.groups[label]
		r.Groups = append(r.Groups, Group{Label: label, First: latency(h.first), Between: latency(h.between), Total: latency(h.total)})
	}
	return r
}

func latency(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: millis(h.ValueAtQuantile(50)), P95: millis(h.ValueAtQuantile(95)),
		P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max()),
	}
}

// counts orders numbers by name.
func counts(numbers map[string]int) []Count {
	list := make([]Count, 0, len(numbers))
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		list = append(list, Count{Name: name, Count: numbers[name]})
	}
	return list
}

// labels returns each label once, in the order of the callers.
func labels(callers []Caller) []string {
	var list []string
	for _, c := range callers {
		if !slices.Contains(list, c.Label) {
			list = append(list, c.Label)
		}
	}
	return list
}
