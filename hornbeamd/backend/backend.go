// Package backend speaks HTTP/1.1 to backend servers over connections of its own, and knows of each request whether a byte of it
// was written.
//
// The standard library's client is not used here: it repeats requests on reused connections by itself, and drops what follows an
// answer without a trace. Its parser of answers is.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/routing/envelope"
)

// Kind says how an exchange failed.
type Kind uint8

// The kinds of failures.
const (
	// Unreachable means that no connection was made.
	Unreachable Kind = iota
	// Crowded means that this router's share of the server's connections is in use.
	Crowded
	// Broken means that the connection ended before the answer did.
	Broken
	// Garbled means that what arrived is no answer to this request.
	Garbled
	// Ended means that the context ended.
	Ended
)

// String returns the kind in lower case.
func (k Kind) String() string {
	return [...]string{"unreachable", "crowded", "broken", "garbled", "ended"}[k]
}

// Error is a failed exchange.
type Error struct {
	Kind Kind
	// Sent is true if a byte of the request may have reached the server. A request that was not sent did not run.
	Sent bool
	// Reused is true if the connection had served requests before.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange with the backend server: %s (sent %t): %v", e.Kind, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Request is one request to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target, Host string
	Header       http.Header
	Body         []byte
	// HasBody is true if the caller sent a body, possibly an empty one.
	HasBody bool
	// Attempt is what the answer must refer to.
	Attempt string
	// Once requests use a connection only if it was idle for a short time: the server may be closing others at this moment.
	Once bool
	// Most is the greatest number of connections to the server; 0 for no limit.
	Most int
}

// Codec reads what a backend server states in its headers.
type Codec interface {
	Answer(status int, h http.Header) envelope.Answer
}

// answerHeaderLimit bounds the headers of an answer in bytes, and skipLimit the number of answers to earlier requests that are
// skipped on a connection.
const (
	answerHeaderLimit = 64 << 10
	skipLimit         = 2
)

// inlineBody is the size in bytes up to which a body is written before the answer is read. Larger ones are written beside, since
// a server may answer before it has read them.
const inlineBody = 8 << 10

var errForeign = eris.New("the answer belongs to another request")

// Answer is the answer of a backend server. Close must be called; before the end of the body it closes the connection.
type Answer struct {
	Status int
	Header http.Header
	envelope.Answer
	// Length is that of the body in bytes, negative if unknown.
	Length int64
	// Framed is true if the end of the body is marked by a length or by chunks, and not by that of the connection.
	Framed bool

	body    io.Reader
	conn    *conn
	pool    *Pool
	request *Request
	stop    func() bool
	written *written
	done    bool
}

// Read reads the body. An error other than io.EOF means that the answer is not whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.done = true
	}
	return n, err
}

// Close returns the connection to the pool after a whole answer, and closes it otherwise.
func (a *Answer) Close() {
	intact := a.stop()
	reusable := intact && a.done && a.Framed && !a.Answer.Close && a.written.complete() && a.conn.in.Buffered() == 0
	if !reusable {
		a.conn.close()
		return
	}
	a.pool.put(a.request.Address, a.conn, a.Idle)
}

// Do sends a request and returns the answer when its headers have arrived. The connection is closed when the context ends.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, *Error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	reused := c.used
	c.used = true
	stop := context.AfterFunc(ctx, c.abort)
	before := c.sent.Load()
	w := c.write(r)
	a, cause := c.read(p.Codec, r)
	if cause == nil {
		a.pool, a.request, a.stop, a.written = p, r, stop, w
		return a, nil
	}
	stop()
	c.close()
	kind := Broken
	if reused && ctx.Err() == nil {
		p.dropped(time.Now(), c.idleFor)
	}
	switch {
	case ctx.Err() != nil:
		kind = Ended
	case errors.Is(cause, errForeign):
		kind = Garbled
	}
	return nil, &Error{Kind: kind, Sent: c.sent.Load() > before, Reused: reused, Cause: cause}
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	in *bufio.Reader
	// sent counts the bytes that the operating system accepted.
	sent atomic.Int64
	used bool
	// idleFor is how long the connection had waited when it was taken from the pool.
	idleFor time.Duration
	// idle is since when the connection has been waiting in the pool, and expires when it may no longer be used.
	idle, expires time.Time
	closed        atomic.Bool
	release       func()
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The connection is given up, whatever else fails.
		_ = c.Close()
		c.release()
	}
}

// abort interrupts reads and writes; the owner closes the connection. Closing at once tells the server that nobody waits.
func (c *conn) abort() { c.close() }

// written is a body that is being written.
type written struct{ done atomic.Bool }

func (w *written) complete() bool { return w.done.Load() }

// write sends a request. What fails shows when the answer is read.
func (c *conn) write(r *Request) *written {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// The header names come from a parsed request, so that they cannot hold line ends.
	_ = r.Header.Write(&head)
	if r.HasBody {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	w := &written{}
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
		_, err := c.Write(head.Bytes())
		w.done.Store(err == nil)
		return w
	}
	go func() {
		if _, err := c.Write(head.Bytes()); err != nil {
			return
		}
		_, err := c.Write(r.Body)
		w.done.Store(err == nil)
	}()
	return w
}

// read returns the answer to a request. Late answers to earlier requests are skipped.
func (c *conn) read(codec Codec, r *Request) (*Answer, error) {
	for range skipLimit + 1 {
		resp, err := c.readHead(r) //nolint:bodyclose // the body is that of the connection, which Answer.Close closes
		if err != nil {
			return nil, err
		}
		stated := codec.Answer(resp.StatusCode, resp.Header)
		if stated.Attempt != "" && stated.Attempt != r.Attempt {
			if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
				return nil, errForeign
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, errForeign
			}
			continue
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		a := &Answer{
			Status: resp.StatusCode, Header: resp.Header, Answer: stated, Length: resp.ContentLength, Framed: framed,
			body: resp.Body, conn: c,
		}
		a.Answer.Close = stated.Close || resp.Close
		return a, nil
	}
	return nil, errForeign
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
