package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Ending is how a request ended for its caller.
type Ending string

// The endings.
const (
	// Answered is a right and whole answer.
	Answered Ending = "answered"
	// Refused is a typed final error.
	Refused Ending = "refused"
	// Wrong is an answer that looked complete and was not the right one.
	Wrong Ending = "wrong"
	// Unanswered is neither an answer nor a typed error, after all attempts.
	Unanswered Ending = "unanswered"
)

// Record is what a caller knows about one of its requests.
type Record struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
	Chat   string `json:"chat,omitempty"`
	// Key is the idempotency key of a call to a plain service.
	Key    string `json:"key,omitempty"`
	Ending Ending `json:"ending"`
	// Code and Outcome are those of the last typed error.
	Code    outcome.Code    `json:"code,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	// Maybe is true if an attempt ended without a typed "not run", so that the request may have run.
	Maybe    bool   `json:"maybe,omitempty"`
	Attempts int    `json:"attempts"`
	Router   string `json:"router,omitempty"`
	Text     string `json:"text,omitempty"`
	// Earlier says how the earlier attempts ended.
	Earlier []string `json:"earlier,omitempty"`
	// At and Total are seconds since the start of the run and since the planned arrival.
	At    float64 `json:"at"`
	Total float64 `json:"total"`
}

// session is one run.
type session struct {
	settings *Settings
	client   *http.Client
	book     *book
	begin    time.Time
	tally    *tally
}

// Run sends the planned requests and returns the results. It returns early, with what it has, if ctx ends.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	requests := plan(&settings)
	s := &session{
		settings: &settings,
		client:   client,
		book:     &book{seeds: settings.Routers, client: client, model: settings.Model, answers: map[string]route{}},
		begin:    time.Now(),
		tally:    newTally(&settings, len(requests)),
	}
	stop := s.tally.report(settings.Progress)
	defer stop()
	s.drive(ctx, requests)
	return s.tally.result(time.Since(s.begin)), nil
}

// drive starts each request at its planned time and waits for all.
func (s *session) drive(ctx context.Context, requests []request) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, r := range requests {
		if !sleep(ctx, time.Until(s.begin.Add(r.at))) {
			return
		}
		s.tally.start()
		running.Go(func() { s.tally.end(s.handle(ctx, r)) })
	}
}

// handle sends a request until it has a final answer or the attempts are used up.
func (s *session) handle(ctx context.Context, r request) (Record, attempt) {
	record := Record{ID: r.id, Caller: r.caller.Label, Chat: r.chat, Key: r.key, Ending: Unanswered, At: r.at.Seconds()}
	since := s.begin.Add(r.at)
	var last attempt
	var other []string
	for record.Attempts < s.settings.Attempts {
		routers := append(other, s.book.addresses(ctx, r.caller.Key, r.chat)...)
		last = s.sendFirst(ctx, routers, r, since, &record)
		record.note(last)
		record.Total = time.Since(since).Seconds()
		if last.whole || last.wrong != "" {
			break
		}
		s.book.forget(r.caller.Key, r.chat)
		pause, again := s.again(last, r)
		if !again || !sleep(ctx, pause) {
			break
		}
		other = nil
		if last.failure != nil {
			other = last.failure.Addresses
		}
	}
	return record, last
}

// sendFirst sends a request to the first router that accepts a connection.
func (s *session) sendFirst(ctx context.Context, routers []string, r request, since time.Time, record *Record) attempt {
	record.Attempts++
	var result attempt
	for _, router := range routers {
		record.Router = router
		result = s.send(ctx, router, r, since)
		if !result.unsent || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// again says whether a caller sends a request again, and after which pause. A typed error that names no time is final.
func (s *session) again(a attempt, r request) (time.Duration, bool) {
	switch {
	case a.failure == nil:
		return 100 * time.Millisecond, true
	case a.failure.Outcome != outcome.NotRun && r.key != "":
		// The claim stands: a repetition under the same key gets the same answer.
		return 0, false
	case a.failure.Outcome != outcome.NotRun:
		return 100 * time.Millisecond, true
	}
	pause := time.Duration(a.failure.Retry * float64(time.Second))
	if len(a.failure.Addresses) > 0 {
		return 0, true
	}
	return pause, pause > 0 && pause <= s.settings.Patience
}

func (r *Record) note(a attempt) {
	if r.Text != "" {
		r.Earlier = append(r.Earlier, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Code, r.Outcome, r.Text)))
	}
	r.Code, r.Outcome, r.Text = "", "", ""
	switch {
	case a.whole:
		r.Ending = Answered
	case a.wrong != "":
		r.Ending, r.Text = Wrong, a.wrong
	case a.failure != nil:
		r.Ending, r.Code, r.Outcome, r.Text = Refused, a.failure.Code, a.failure.Outcome, a.failure.Message
		r.Maybe = r.Maybe || a.failure.Outcome != outcome.NotRun
	default:
		r.Ending, r.Text = Unanswered, a.broken.Error()
		r.Maybe = r.Maybe || !a.unsent
	}
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// writeRecord keeps one JSON line for the judge; a failed write surfaces as a missing record there.
func (t *tally) writeRecord(r Record) {
	if t.records == nil {
		return
	}
	if line, err := json.Marshal(r); err == nil {
		_, _ = fmt.Fprintf(t.records, "%s\n", line)
	}
}
