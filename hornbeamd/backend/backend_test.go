package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/envelope"
)

type codec struct{}

func (codec) Answer(_ int, h http.Header) envelope.Answer {
	return envelope.Answer{Attempt: h.Get("Id"), NotRun: h.Get("Refused") != ""}
}

const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// serve answers each request on each connection with the next text and closes the connection after "close".
func serve(c *qt.C, answers ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	c.Cleanup(func() { listener.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			n, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer n.Close()
				in := bufio.NewReader(n)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					text := <-next
					io.WriteString(n, strings.TrimSuffix(text, "close"))
					if strings.HasSuffix(text, "close") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newPool(opened *int) *backend.Pool {
	return &backend.Pool{Codec: codec{}, Dial: time.Second, Opened: func(string) { *opened++ }}
}

func do(c *qt.C, p *backend.Pool, address string) (string, *backend.Error) {
	a, err := p.Do(context.Background(), &backend.Request{
		Address: address, Method: "POST", Target: "/a/?q=1", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true,
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, failed := io.ReadAll(a)
	if failed != nil {
		return string(body), &backend.Error{Kind: backend.Broken, Sent: true, Cause: failed}
	}
	return string(body), nil
}

// Guards against answers that belong to another request, and against a connection that is used although bytes of no request
// lie on it.
func TestCrossedAnswers(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother"
	for name, test := range map[string]struct {
		answers []string
		opened  int
	}{
		"reused":                  {[]string{good, good}, 1},
		"late answer first":       {[]string{other + good, good}, 1},
		"second answer behind":    {[]string{good + other, good}, 2},
		"closed without notice":   {[]string{good + "close", good}, 2},
		"chunked":                 {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", good}, 1},
		"end marked by the close": {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nokclose", good}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			p := newPool(&opened)
			address := serve(c, test.answers...)
			for range 2 {
				body, err := do(c, p, address)
				c.Assert(err == nil, qt.IsTrue)
				c.Assert(body, qt.Equals, "ok")
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(opened, qt.Equals, test.opened)
		})
	}
}

// Guards against a request that counts as not sent although it was.
func TestFailures(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		kind   backend.Kind
	}{
		"no answer":      {"close", backend.Broken},
		"no HTTP":        {"hello\r\n\r\nclose", backend.Broken},
		"shorter body":   {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nokclose", backend.Broken},
		"cut chunk":      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nokclose", backend.Broken},
		"another's only": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nokclose", backend.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			_, err := do(c, newPool(&opened), serve(c, test.answer))
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Kind, qt.Equals, test.kind)
			c.Assert(err.Sent, qt.IsTrue)
		})
	}
	c := qt.New(t)
	opened := 0
	_, err := do(c, newPool(&opened), "127.0.0.1:1")
	c.Assert(err.Kind, qt.Equals, backend.Unreachable)
	c.Assert(err.Sent, qt.IsFalse)
}

// Guards against a server that works on a request whose caller has left.
func TestCancelled(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	defer listener.Close()
	closed := make(chan error, 1)
	got := make(chan struct{})
	go func() {
		n, err := listener.Accept()
		if err != nil {
			return
		}
		http.ReadRequest(bufio.NewReader(n))
		close(got)
		_, err = n.Read(make([]byte, 1))
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	opened := 0
	_, failed := newPool(&opened).Do(ctx, &backend.Request{Address: listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Attempt: "1"})
	c.Assert(failed.Kind, qt.Equals, backend.Ended)
	c.Assert(<-closed, qt.IsNotNil)
}

// Guards against other bytes in place of the rest of a long body, when the server answers before it has read it.
func TestEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	defer listener.Close()
	go func() {
		for {
			n, err := listener.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(n))
			io.WriteString(n, good)
		}
	}()
	opened := 0
	p := newPool(&opened)
	for range 2 {
		a, failed := p.Do(context.Background(), &backend.Request{
			Address: listener.Addr().String(), Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1",
			Body: make([]byte, 32<<20), HasBody: true,
		})
		c.Assert(failed == nil, qt.IsTrue)
		io.Copy(io.Discard, a)
		a.Close()
	}
	c.Assert(opened, qt.Equals, 2)
}

// Guards against more connections than the router's share of a server.
func TestCrowded(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	address := serve(c, good, good)
	r := &backend.Request{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", Most: 1}
	a, err := p.Do(context.Background(), r)
	c.Assert(err == nil, qt.IsTrue)
	_, err = p.Do(context.Background(), r)
	c.Assert(err.Kind, qt.Equals, backend.Crowded)
	c.Assert(err.Sent, qt.IsFalse)
	io.Copy(io.Discard, a)
	a.Close()
	a, err = p.Do(context.Background(), r)
	c.Assert(err == nil, qt.IsTrue)
	a.Close()
	c.Assert(opened, qt.Equals, 1)
}

// Guards against request after request that is lost on connections which a server drops soon after their last use.
func TestDroppedSoon(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	// Each connection serves one request, and a second one is read and then dropped.
	address := serve(c, good, "close", good, good, good)
	once := func() *backend.Error {
		a, err := p.Do(context.Background(), &backend.Request{
			Address: address, Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true, Once: true,
		})
		if err == nil {
			io.Copy(io.Discard, a)
			a.Close()
		}
		time.Sleep(100 * time.Millisecond)
		return err
	}
	c.Assert(once() == nil, qt.IsTrue)
	c.Assert(once() != nil, qt.IsTrue)
	for range 3 {
		c.Assert(once() == nil, qt.IsTrue)
	}
	c.Assert(opened, qt.Equals, 4)
}

// Guards against connections that add up, because each request that runs at most once opens one and none is used again.
func TestOnceConnections(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	address := serve(c, good, good, good)
	for range 3 {
		a, err := p.Do(context.Background(), &backend.Request{
			Address: address, Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true, Once: true,
		})
		c.Assert(err == nil, qt.IsTrue)
		io.Copy(io.Discard, a)
		a.Close()
		time.Sleep(800 * time.Millisecond)
	}
	c.Assert(opened, qt.Equals, 3)
	c.Assert(p.Open(), qt.Equals, 1)
}
