package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/platform/headers"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// relayTimeout is the timeout of all routes of startGateway, unless a test changes them.
const relayTimeout = 5 * time.Second

// startGateway starts a gateway in front of two backend servers of one service, and returns the
// gateway and its address. Both servers answer requests with respond, after which they close the
// connection. The routes are /once/ (not idempotent), /again/ (idempotent), /stream/ and /resume/.
func startGateway(c *qt.C, respond func(conn net.Conn, r *http.Request)) (*gateway.Server, string) {
	var servers []roster.Server
	for _, id := range []string{"s1", "s2"} {
		servers = append(servers, roster.Server{ID: id, Service: "pool", Address: startRawServer(c, respond), Slots: 8, Born: 1})
	}
	s := &gateway.Server{
		Codec: headers.Codec{}, Pool: &backend.Pool{Codec: headers.Codec{}, DialTimeout: time.Second}, Crashes: gateway.NewCrashTracker(), Permits: gateway.NewPermits(), Origins: gateway.NewOrigins(),
		Upstreams: &gateway.Upstreams{
			Balancer: balance.New(balance.DefaultSettings(), "r"), Limits: gateway.RetryLimits{Extra: 100, Window: time.Minute},
		},
		Log: zap.NewNop(), Metrics: gateway.NewMetrics(prometheus.NewRegistry()),
	}
	s.Paths, s.Relays = gateway.NewPaths(s.Pool), gateway.NewRelays(&backend.Pool{Codec: headers.Codec{}})
	s.Init()
	s.SetReady()
	s.SetTable(relayTable(c, 1, relayTimeout))
	s.Upstreams.SetServers(servers, roster.Revision{Era: 1, Number: 1})
	front := httptest.NewServer(s)
	c.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
	})
	return s, front.Listener.Addr().String()
}

// relayTable returns a configuration for startGateway, in which all routes have the given timeout.
func relayTable(c *qt.C, version int64, timeout time.Duration) *routes.Table {
	route := func(prefix string, kind routes.Kind, resumable bool) routes.Route {
		return routes.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: timeout, Attempts: 2, Public: true,
			Shares: []routes.WeightedService{{Service: "pool", Weight: 1}},
		}
	}
	table, err := routes.New(routes.Config{Version: version, Services: []routes.Service{{Name: "pool"}}, Routes: []routes.Route{
		route("/once/", routes.Once, false), route("/again/", routes.Idempotent, false),
		route("/stream/", routes.Streaming, false), route("/resume/", routes.Streaming, true),
	}})
	c.Assert(err, qt.IsNil)
	return table
}

// startRawServer starts a server that passes each request to respond and then closes its
// connection, and returns its address.
func startRawServer(c *qt.C, respond func(conn net.Conn, r *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					respond(conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// responseHead returns the status line and headers of a signed response to r, without the blank
// line that ends them.
func responseHead(r *http.Request, version string) string {
	return fmt.Sprintf("%s 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n", version, r.Header.Get("Attempt-Id"))
}

// client is a client connection to a gateway.
type client struct {
	c    *qt.C
	conn net.Conn
	in   *bufio.Reader
}

func dial(c *qt.C, address string) *client {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	// Ends a test that would hang.
	conn.SetDeadline(time.Now().Add(4 * relayTimeout))
	return &client{c: c, conn: conn, in: bufio.NewReader(conn)}
}

// send sends a request. timeLeft is the time that the client waits for the response.
func (cl *client) send(path string, timeLeft time.Duration) {
	_, err := fmt.Fprintf(cl.conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi", path, timeLeft.Milliseconds())
	cl.c.Assert(err, qt.IsNil)
}

// receive returns the next response, with its body in text. It returns an error if the response is
// incomplete.
func (cl *client) receive() (response *http.Response, text string, err error) {
	response, err = http.ReadResponse(cl.in, nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against clients that keep using their connections to a router that shuts down, because the
// responses of backend servers do not tell them to close the connection.
func TestDrainClosesConnections(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	s, address := startGateway(c, func(conn net.Conn, r *http.Request) {
		arrived <- struct{}{}
		<-release
		io.WriteString(conn, responseHead(r, "HTTP/1.1")+"Content-Length: 2\r\n\r\nok")
	})
	cl, kept := dial(c, address), dial(c, address)
	cl.send("/once/x", time.Second)
	<-arrived
	soon := time.Now().Add(relayTimeout)
	s.Drain(gateway.DrainPlan{LeftAt: soon, RejectAt: soon, CloseAt: soon})
	close(release)
	kept.send("/again/x", time.Second)
	for name, each := range map[string]*client{"sent before the drain": cl, "sent during the drain": kept} {
		response, body, err := each.receive()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
		c.Check(response.Close, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against holding back an event because blank lines have arrived after it.
func TestEventBeforeBlankLines(t *testing.T) {
	c := qt.New(t)
	received := make(chan struct{})
	_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
		io.WriteString(conn, responseHead(r, "HTTP/1.1")+"\r\ndata: 1\n\n\r\n\n\n")
		<-received
		io.WriteString(conn, "data: 2\n\n")
	})
	cl := dial(c, address)
	cl.send("/stream/", relayTimeout)
	response, err := http.ReadResponse(cl.in, nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	first := make([]byte, len("data: 1\n\n"))
	_, err = io.ReadFull(response.Body, first)
	close(received)
	c.Assert(err, qt.IsNil)
	rest, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first)+string(rest), qt.Equals, "data: 1\n\n\r\n\n\ndata: 2\n\n")
}

// Guards against clients that are told to come back at once although no router takes them.
func TestDrainRetryAfter(t *testing.T) {
	for name, test := range map[string]struct {
		nextRouterIn time.Duration
		want         string
	}{
		"other routers": {0, "0.05"},
		"last router":   {3200 * time.Millisecond, "3.2"},
		"back soon":     {time.Millisecond, "0.05"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, address := startGateway(c, func(net.Conn, *http.Request) {})
			s.SetNextRouterIn(test.nextRouterIn)
			s.Drain(gateway.DrainPlan{CloseAt: time.Now().Add(relayTimeout)})
			cl := dial(c, address)
			cl.send("/once/x", time.Second)
			response, _, err := cl.receive()
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(response.Header.Get("Retry-After"), qt.Equals, test.want)
		})
	}
}

// Guards against losing a response that has neither a length nor chunks and ends with its
// connection, and against passing on as complete one that was reset or ended within an event. The
// first server sends such a response. The second one, which only some requests may be sent to,
// sends a response with a length.
func TestResponseEndsWithConnection(t *testing.T) {
	const (
		complete = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		cut      = "id: 1\ndata: a\n\nid: 2\ndata"
		rest     = "id: 2\ndata: c\n\n"
	)
	large := strings.Repeat("x", 1<<20)
	for name, test := range map[string]struct {
		path, version, body string
		reset               bool
		status              int
		want                string
		wantErr             bool
	}{
		"body":                           {"/once/", "HTTP/1.1", "body", false, 200, "body", false},
		"empty body":                     {"/once/", "HTTP/1.1", "", false, 200, "", false},
		"body, HTTP/1.0":                 {"/once/", "HTTP/1.0", "body", false, 200, "body", false},
		"large body":                     {"/once/", "HTTP/1.1", large, false, 200, large, false},
		"body reset":                     {"/once/", "HTTP/1.1", "body", true, 502, "", false},
		"body reset, HTTP/1.0":           {"/once/", "HTTP/1.0", "body", true, 502, "", false},
		"body reset, repeatable":         {"/again/", "HTTP/1.1", "body", true, 200, rest, false},
		"large body reset":               {"/once/", "HTTP/1.1", large, true, 200, large, true},
		"stream":                         {"/stream/", "HTTP/1.1", complete, false, 200, complete, false},
		"stream, HTTP/1.0":               {"/stream/", "HTTP/1.0", complete, false, 200, complete, false},
		"stream reset":                   {"/stream/", "HTTP/1.1", complete, true, 200, complete, true},
		"stream reset, resumable":        {"/resume/", "HTTP/1.1", "id: 1\ndata: a\n\n", true, 200, "id: 1\ndata: a\n\n" + rest, false},
		"stream cut in event":            {"/stream/", "HTTP/1.1", cut, false, 200, "id: 1\ndata: a\n\n", true},
		"stream cut in event, HTTP/1.0":  {"/stream/", "HTTP/1.0", cut, false, 200, "id: 1\ndata: a\n\n", true},
		"stream cut in event, resumable": {"/resume/", "HTTP/1.1", cut, false, 200, "id: 1\ndata: a\n\n" + rest, false},
		"stream cut in its first event":  {"/stream/", "HTTP/1.1", "id: 1\nda", false, 502, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var requests atomic.Int64
			_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
				if requests.Add(1) > 1 {
					fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", responseHead(r, "HTTP/1.1"), len(rest), rest)
					return
				}
				io.WriteString(conn, responseHead(r, test.version)+"\r\n"+test.body)
				if test.reset {
					// A reset also discards what the router has not read yet.
					time.Sleep(50 * time.Millisecond)
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			cl := dial(c, address)
			cl.send(test.path, relayTimeout)
			response, body, err := cl.receive()
			c.Assert(response, qt.IsNotNil)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(body == test.want, qt.IsTrue, qt.Commentf("%d bytes: %.50q", len(body), body))
			c.Assert(err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
		})
	}
}

// Guards against a timeout that ends another request than its own: that of a newer configuration,
// for a request in progress, or that of the request before it on the connection.
func TestTimeoutOfOtherRequest(t *testing.T) {
	const short = 200 * time.Millisecond
	c := qt.New(t)
	arrived := make(chan struct{}, 1)
	s, address := startGateway(c, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			arrived <- struct{}{}
			time.Sleep(3 * short)
		}
		// The gateway must not use the connection again, since the server closes it.
		io.WriteString(conn, responseHead(r, "HTTP/1.1")+"Connection: close\r\nContent-Length: 2\r\n\r\nok")
	})
	cl := dial(c, address)
	cl.send("/once/fast", short)
	_, body, err := cl.receive()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	cl.send("/once/slow", relayTimeout)
	<-arrived
	s.SetTable(relayTable(c, 2, short))
	_, body, err = cl.receive()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	cl.send("/once/slow", relayTimeout)
	response, _, err := cl.receive()
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
}
