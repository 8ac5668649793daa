package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// draws is a source of random numbers for several goroutines.
type draws struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *draws) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// randomEvents returns the texts of events with the IDs from 1.
func randomEvents(d *draws) []string {
	events := make([]string, 5+d.below(20))
	for i := range events {
		end := []string{"\n", "\r\n"}[d.below(2)]
		var e strings.Builder
		if d.below(4) == 0 {
			e.WriteString("weight-versions: 3" + end)
		}
		e.WriteString("id: " + strconv.Itoa(i+1) + end)
		for range 1 + d.below(3) {
			e.WriteString("data: " + strings.Repeat("x", d.below(50)+d.below(2)*d.below(9000)) + end)
		}
		if d.below(4) == 0 {
			e.WriteString(": comment" + end)
		}
		events[i] = e.String() + end
	}
	return events
}

// faultyHandler sends the events that the client lacks, or all of them, in pieces of any size, and may pause, break off or
// reset the connection anywhere.
func faultyHandler(d *draws, events []string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if d.below(4) == 0 {
			after = 0
		}
		text := strings.Join(events[after:], "")
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		var header strings.Builder
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Write(&header)
		framing := d.below(3)
		switch framing {
		case 0:
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", header.String(), len(text))
		case 1:
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", header.String())
		default:
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", header.String())
		}
		broken, paused := len(text)+1, len(text)+1
		if len(text) > 0 && d.below(4) > 0 {
			broken = d.below(len(text))
			if framing == 2 && strings.HasSuffix(text[:broken], "\n") {
				// Without framing, only the end of an event can be told from the end of the stream.
				broken++
			}
		}
		if len(text) > 0 && d.below(3) == 0 {
			paused = d.below(len(text))
		}
		for sent := 0; sent < len(text); {
			next := min(sent+1+d.below(3000), len(text))
			if sent < paused && paused <= next {
				time.Sleep(time.Duration(d.below(900)) * time.Millisecond)
			}
			if broken <= next {
				next = min(broken, len(text))
			}
			if framing == 1 && next > sent {
				fmt.Fprintf(connection, "%x\r\n%s\r\n", next-sent, text[sent:next])
			} else {
				io.WriteString(connection, text[sent:next])
			}
			if next >= broken && next < len(text) {
				if d.below(2) == 0 {
					connection.(*net.TCPConn).SetLinger(0)
				}
				return
			}
			sent = next
			time.Sleep(time.Duration(d.below(3)) * time.Millisecond)
		}
		if framing == 1 {
			io.WriteString(connection, "0\r\n\r\n")
		}
	}
}

// Guards against a piece of a stream that is missing, comes twice or is cut, and against a broken stream that looks complete.
func TestStreamSurvivesFaultyServers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := &draws{random: rand.New(rand.NewPCG(seed, 0))}
			events := randomEvents(d)
			var handlers []http.HandlerFunc
			for range 4 {
				handlers = append(handlers, faultyHandler(d, events))
			}
			address, _ := startGateway(c, setup{limits: unlimited, attempts: 4, timeout: 10 * time.Second, target: 100 * time.Millisecond}, handlers...)
			received, first := 0, ""
			for try := 0; try < 12 && received < len(events); try++ {
				r, err := http.NewRequest(http.MethodPost, address+"/stream/", strings.NewReader("body"))
				c.Assert(err, qt.IsNil)
				r.Host = "h"
				attempt := fmt.Sprint("a", try)
				r.Header.Set("Attempt-Id", attempt)
				if received > 0 {
					r.Header.Set("Last-Event-Id", strconv.Itoa(received))
					r.Header.Set("Resumes", first)
				}
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					continue
				}
				if response.StatusCode == http.StatusServiceUnavailable {
					after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
					t.Logf("503 after %v", after)
					time.Sleep(time.Duration(after * float64(time.Second)))
				}
				before := received
				reader := bufio.NewReader(response.Body)
				for {
					e, err := readEvent(reader, nil)
					if err != nil {
						if response.StatusCode == http.StatusOK && errors.Is(err, io.EOF) {
							c.Check(received, qt.Equals, len(events), qt.Commentf("try %d looks complete, rest %q", try, e.text))
						}
						break
					}
					if response.StatusCode != http.StatusOK {
						continue
					}
					c.Assert(received < len(events), qt.IsTrue, qt.Commentf("event after the last one: %q", e.text))
					c.Assert(string(e.text), qt.Equals, events[received])
					received++
					if d.below(8) == 0 {
						time.Sleep(20 * time.Millisecond)
					}
				}
				response.Body.Close()
				if before == 0 && received > 0 {
					first = attempt
				}
			}
			t.Logf("%d of %d events", received, len(events))
		})
	}
}
