package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/platform/headers"
	"hornbeamstep.example/platform/standin"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/metadata"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// events is the stream that sendEvents sends.
const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

// pause is longer than every timeout after which the gateway considers a server silent.
const pause = 1200 * time.Millisecond

// setup is the setup of a gateway and of its routes.
type setup struct {
	// codec parses the responses of the servers; the zero value is that of the platform.
	codec    backend.Codec
	limits   RetryLimits
	attempts int
	// timeout is that of the routes, target the latency target of those with streams.
	timeout, target time.Duration
	// versions holds the software versions of the servers; empty if they have the same one.
	versions []string
	// received is called with the index of the server that gets a request; optional.
	received func(server int)
}

// unlimited allows any number of retries.
var unlimited = RetryLimits{Share: 1, Extra: 1e6, Window: 10 * time.Second}

// startGateway starts a gateway before one backend server for each handler. The servers get the
// handlers in the order in which they receive their first request.
func startGateway(c *qt.C, with setup, handlers ...http.HandlerFunc) (address string, upstreams *Upstreams) {
	if with.codec == nil {
		with.codec = headers.Codec{}
	}
	upstreams = &Upstreams{Balancer: balance.New(balance.DefaultSettings(), "r1"), Limits: with.limits}
	var mu sync.Mutex
	assigned := map[int]http.HandlerFunc{}
	var servers []roster.Server
	for i := range handlers {
		version := ""
		if len(with.versions) > 0 {
			version = with.versions[i]
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The server notices that its client disconnects only after it has read the body.
			io.Copy(io.Discard, r.Body)
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			standin.Sign(w.Header(), fmt.Sprint("s", i), r.Header.Get("Attempt-Id"))
			mu.Lock()
			if with.received != nil {
				with.received(i)
			}
			if assigned[i] == nil {
				assigned[i] = handlers[len(assigned)]
			}
			handle := assigned[i]
			mu.Unlock()
			handle(w, r)
		}))
		c.Cleanup(server.Close)
		servers = append(servers, roster.Server{
			ID: fmt.Sprint("s", i), Service: "pool", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Born: 1, Version: version,
		})
	}
	upstreams.SetServers(servers, roster.Revision{Number: 1})
	s := &Server{
		Codec: headers.Codec{}, Pool: &backend.Pool{Codec: with.codec, DialTimeout: time.Second}, Upstreams: upstreams, Crashes: NewCrashTracker(), Permits: NewPermits(), Origins: NewOrigins(),
		Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Started: time.Now(),
	}
	s.Origins.SetServers(time.Now(), servers, nil)
	s.Paths, s.Relays = NewPaths(s.Pool), NewRelays(&backend.Pool{Codec: headers.Codec{}})
	s.Init()
	shares := []routes.WeightedService{{Service: "pool", Weight: 1}}
	table, err := routes.New(routes.Config{Version: 1, Services: []routes.Service{{Name: "pool"}}, Routes: []routes.Route{
		{Host: "h", Prefix: "/stream/", Kind: routes.Streaming, Resumable: true, Attempts: with.attempts, Timeout: with.timeout, Target: with.target, Gap: 100 * time.Millisecond, Shares: shares},
		{Host: "h", Prefix: "/plain/", Kind: routes.Idempotent, Attempts: with.attempts, Timeout: with.timeout, Target: 150 * time.Millisecond, Shares: shares},
	}})
	c.Assert(err, qt.IsNil)
	s.SetTable(table)
	s.SetReady()
	front := httptest.NewServer(s)
	c.Cleanup(front.Close)
	stop := make(chan struct{})
	c.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				upstreams.CheckStalls(time.Now())
			}
		}
	}()
	return front.URL, upstreams
}

// get sends a request and returns the complete response.
func get(c *qt.C, url string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// sendEvents sends the events of a stream after the one that the client has, and is silent for the
// given time before event silentBefore.
func sendEvents(w http.ResponseWriter, r *http.Request, silentBefore int, silence time.Duration) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for i := after + 1; i <= 3; i++ {
		if i == silentBefore {
			select {
			case <-time.After(silence):
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		flusher.Flush()
	}
}

// Guards against cutting off a response whose server is silent for a second and goes on, although
// no other server has taken the request.
func TestSilentServerKeepsItsRequest(t *testing.T) {
	allowed := unlimited
	none := RetryLimits{Window: 10 * time.Second}
	large := strings.Repeat("x", 3*maxBufferedBytes)
	pauseBefore := func(event int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, event, pause) }
	}
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	answer := func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 0, 0) }
	reject := func(w http.ResponseWriter, _ *http.Request) { standin.Reject(w) }
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	slowly := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		io.WriteString(w, "plain")
	}
	slowBody := func(w http.ResponseWriter, _ *http.Request) {
		for part := range 3 {
			io.WriteString(w, large[part*maxBufferedBytes:(part+1)*maxBufferedBytes])
			http.NewResponseController(w).Flush()
			time.Sleep(pause / 3)
		}
	}
	for name, test := range map[string]struct {
		path          string
		limits        RetryLimits
		first, second http.HandlerFunc
		want          string
	}{
		"second server rejects the stream":         {"/stream/", allowed, pauseBefore(2), reject, events},
		"second server breaks the stream":          {"/stream/", allowed, pauseBefore(2), crash, events},
		"second server is silent too":              {"/stream/", allowed, pauseBefore(2), hang, events},
		"retry budget used up":                     {"/stream/", none, pauseBefore(2), answer, events},
		"first event late, second server rejects":  {"/stream/", allowed, pauseBefore(1), reject, events},
		"second server resumes the stream":         {"/stream/", allowed, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 2, time.Hour) }, answer, events},
		"first event never sent":                   {"/stream/", allowed, hang, answer, events},
		"plain response late, second server fails": {"/plain/", allowed, slowly, crash, "plain"},
		"plain response late, budget used up":      {"/plain/", none, slowly, slowly, "plain"},
		"plain response never sent":                {"/plain/", allowed, hang, slowly, "plain"},
		"large response arrives slowly":            {"/plain/", allowed, slowBody, hang, large},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with := setup{limits: test.limits, attempts: 2, timeout: 20 * time.Second, target: 400 * time.Millisecond}
			address, _ := startGateway(c, with, test.first, test.second)
			status, body, err := get(c, address+test.path)
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body == test.want, qt.IsTrue, qt.Commentf("%d bytes: %.100q", len(body), body))
		})
	}
}

// Guards against holding back an event because the server has sent only a part of the next one.
func TestEventIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	received := make(chan struct{})
	with := setup{limits: RetryLimits{Window: time.Second}, attempts: 1, timeout: 20 * time.Second}
	address, _ := startGateway(c, with, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\nda")
		http.NewResponseController(w).Flush()
		select {
		case <-received:
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, "ta: 2\n\n")
	})
	r, err := http.NewRequest(http.MethodPost, address+"/stream/", nil)
	c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	first := make([]byte, len("id: 1\ndata: 1\n\n"))
	_, err = io.ReadFull(response.Body, first)
	c.Assert(err, qt.IsNil)
	close(received)
	rest, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first)+string(rest), qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// delayingCodec delays the parsing of responses with the header Delay-Parsing until release is
// closed.
type delayingCodec struct {
	headers.Codec
	reached, release chan struct{}
}

func (c delayingCodec) ParseResponse(status int, h http.Header) metadata.Answer {
	if h.Get("Delay-Parsing") != "" {
		close(c.reached)
		<-c.release
	}
	return c.Codec.ParseResponse(status, h)
}

// Guards against cutting a response because its standby reads data while it is being dismissed.
func TestDismissedStandby(t *testing.T) {
	large := strings.Repeat("x", 3*maxBufferedBytes)
	for name, test := range map[string]struct {
		path          string
		first, second func(w http.ResponseWriter, r *http.Request, goOn <-chan struct{})
		want          string
	}{
		"stream": {"/stream/", func(w http.ResponseWriter, r *http.Request, goOn <-chan struct{}) {
			io.WriteString(w, "id: 1\ndata: 1\n\n")
			http.NewResponseController(w).Flush()
			<-goOn
			io.WriteString(w, "id: 2\ndata: 2\n\n")
			http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			io.WriteString(w, "id: 3\ndata: 3\n\n")
		}, func(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
			sendEvents(w, r, 3, 100*time.Millisecond)
		}, events},
		"large response": {"/plain/", func(w http.ResponseWriter, r *http.Request, goOn <-chan struct{}) {
			<-goOn
			io.WriteString(w, large[:2*maxBufferedBytes])
			http.NewResponseController(w).Flush()
			time.Sleep(200 * time.Millisecond)
			io.WriteString(w, large[2*maxBufferedBytes:])
		}, func(w http.ResponseWriter, _ *http.Request, _ <-chan struct{}) { io.WriteString(w, "short") }, large},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			codec := delayingCodec{reached: make(chan struct{}), release: make(chan struct{})}
			goOn := make(chan struct{})
			with := setup{codec: codec, limits: unlimited, attempts: 2, timeout: 20 * time.Second, target: 100 * time.Millisecond}
			address, _ := startGateway(c, with, func(w http.ResponseWriter, r *http.Request) { test.first(w, r, goOn) }, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Delay-Parsing", "1")
				test.second(w, r, goOn)
			})
			go func() {
				<-codec.reached
				// The response of the standby has arrived; now the first server goes on.
				close(goOn)
				time.Sleep(50 * time.Millisecond)
				close(codec.release)
			}()
			status, body, err := get(c, address+test.path)
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body == test.want, qt.IsTrue, qt.Commentf("%d bytes: %.100q", len(body), body))
		})
	}
}

// Guards against losing the ways to a response that are left to a request after its standby has
// failed, is silent, or was not needed.
func TestStandbyFails(t *testing.T) {
	pauseBefore := func(event int, silence time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, event, silence) }
	}
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	status := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	unframed := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n\r\n", r.Header.Get("Attempt-Id"))
	}
	crashAfter := func(silence time.Duration) http.HandlerFunc {
		crashed := false
		return func(w http.ResponseWriter, r *http.Request) {
			if crashed {
				<-r.Context().Done()
				return
			}
			crashed = true
			io.WriteString(w, "id: 1\ndata: 1\n\n")
			http.NewResponseController(w).Flush()
			time.Sleep(silence)
			io.WriteString(w, "id: 2\ndata: 2\n\n")
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}
	endlessFailure := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		for {
			if _, err := io.WriteString(w, strings.Repeat("x", maxBufferedBytes)); err != nil {
				return
			}
		}
	}
	for name, test := range map[string]struct {
		path       string
		attempts   int
		handlers   []http.HandlerFunc
		wantStatus int
		want       string
	}{
		"standby answers with a client error":            {"/plain/", 2, []http.HandlerFunc{hang, status(404)}, 404, ""},
		"standby answers with a server error":            {"/plain/", 2, []http.HandlerFunc{hang, status(500)}, 500, ""},
		"standby ends without length before any event":   {"/stream/", 2, []http.HandlerFunc{pauseBefore(2, pause), unframed}, 200, events},
		"standby answers a started stream with an error": {"/stream/", 2, []http.HandlerFunc{pauseBefore(2, pause), status(404)}, 200, events},
		"standby answers with an error without end":      {"/plain/", 2, []http.HandlerFunc{hang, endlessFailure}, 504, ""},
		"error without end, then an answer":              {"/plain/", 2, []http.HandlerFunc{endlessFailure, status(200)}, 200, ""},
		"standby is silent too":                          {"/stream/", 3, []http.HandlerFunc{pauseBefore(2, time.Hour), hang, pauseBefore(0, 0)}, 200, events},
		"silent standby, then the server crashes":        {"/stream/", 3, []http.HandlerFunc{crashAfter(700 * time.Millisecond), hang, pauseBefore(0, 0)}, 200, events},
		"server crashes after it dismissed the standby":  {"/stream/", 3, []http.HandlerFunc{crashAfter(500 * time.Millisecond), pauseBefore(1, 600*time.Millisecond)}, 200, events},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			with := setup{limits: unlimited, attempts: test.attempts, timeout: 4 * time.Second, target: 100 * time.Millisecond}
			address, _ := startGateway(c, with, test.handlers...)
			status, body, err := get(c, address+test.path)
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, test.wantStatus)
			c.Assert(body, qt.Equals, test.want)
		})
	}
}

// Guards against standbys that use up the retry budget although no server can take them.
func TestStandbyWithoutServerCostsNoRetry(t *testing.T) {
	c := qt.New(t)
	with := setup{limits: RetryLimits{Extra: 4, Window: 10 * time.Second}, attempts: 2, timeout: 4 * time.Second, target: 100 * time.Millisecond}
	silent := func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 2, pause) }
	address, upstreams := startGateway(c, with, silent, silent)
	time.AfterFunc(200*time.Millisecond, func() {
		for _, id := range []string{"s0", "s1"} {
			upstreams.recordNotice(time.Now(), roster.Server{ID: id, Born: 1}, balance.Notice{RetryAfter: time.Minute})
		}
	})
	_, body, err := get(c, address+"/stream/")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, events)
	left := 0
	for upstreams.takeRetry(time.Now(), "pool") {
		left++
	}
	c.Assert(left, qt.Equals, int(4*retryBudgetFactor))
}
