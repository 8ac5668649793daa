// Package backend is an HTTP/1.1 client for backend servers with its own connection pool. For each
// request it tracks whether any byte was written to the connection.
//
// It does not use http.Client, which retries requests on reused connections by itself and silently
// discards bytes that follow a response. It does use the response parser of net/http.
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

	"hornbeamstep.example/ports/transport"
	"hornbeamstep.example/routing/metadata"
)

// ErrorKind says why a request failed.
type ErrorKind uint8

// The kind does not say whether the server may have run the request; Error.Sent does.
const (
	// Unreachable means that no connection could be established.
	Unreachable ErrorKind = iota
	// ConnectionLimit means that this router already uses its share of the server's connections.
	ConnectionLimit
	// Broken means that the connection failed before the response was complete, or that the
	// response is not valid HTTP.
	Broken
	// Mismatched means that the response belongs to another request.
	Mismatched
	// ContextDone means that the context was canceled or its deadline passed.
	ContextDone
)

// String returns the name of the kind in logs and error messages. Some names differ from those of
// the constants.
func (k ErrorKind) String() string {
	return [...]string{"unreachable", "crowded", "broken", "garbled", "ended"}[k]
}

// Error is returned for a failed request.
type Error struct {
	Kind ErrorKind
	// Sent is true if a byte of the request may have reached the server. If it is false, the server
	// did not run the request.
	Sent bool
	// Reused is true if the connection had served an earlier request.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("request to the backend server failed: %s (sent %t): %v", e.Kind, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Request is a request to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the client sent them.
	Target, Host string
	Header       http.Header
	Body         []byte
	// HasBody is true if the request has a body, possibly an empty one.
	HasBody bool
	// Attempt is the attempt ID. A response that carries another ID is rejected.
	Attempt string
	// AtMostOnce marks a request that must not be sent twice. It only reuses connections that were
	// idle for a short time, because the server may be closing a connection that was idle for
	// longer.
	AtMostOnce bool
	// NewConnection makes the request use a new connection, unless MaxConnections is reached. What
	// broke an earlier attempt may have broken idle connections too, which shows only once the
	// request is sent.
	NewConnection bool
	// MaxConnections limits the pool's open connections to the server; 0 means no limit.
	MaxConnections int
}

// Codec parses the metadata in the responses of backend servers.
type Codec interface {
	// ParseResponse returns the metadata in the status and the header of a response.
	ParseResponse(status int, h http.Header) metadata.Answer
}

// maxResponseHeaderBytes limits the bytes that are read for the headers of a response, including
// informational responses before it; up to readBufferSize further bytes are read ahead.
// maxSkippedResponses is the number of responses to earlier requests that are skipped on a
// connection before the request fails, and maxSkippedBodyBytes is the size limit for their bodies.
const (
	maxResponseHeaderBytes = 64 << 10
	maxSkippedResponses    = 2
	maxSkippedBodyBytes    = 256 << 10
)

// maxInlineBodyBytes is the largest body that is written before the response is read. Larger bodies
// are written concurrently, because a server may respond before it has read the whole body.
const maxInlineBodyBytes = 8 << 10

var errMismatchedResponse = eris.New("response belongs to another request")

// Response is the response of a backend server. The caller must call Close, which closes the
// connection if the body was not read to its end.
type Response struct {
	Status int
	Header http.Header
	metadata.Answer
	// ContentLength is the length of the body in bytes, negative if unknown.
	ContentLength int64
	// Framed is true if the body has a Content-Length or is chunked, and false if it ends when the
	// connection is closed.
	Framed bool

	body     io.Reader
	conn     *conn
	pool     *Pool
	request  *Request
	exchange *transport.Exchange
	// stopAbort stops the context from closing the connection. It returns false if the context is
	// already done.
	stopAbort func() bool
	readToEOF bool
}

// Read reads the body. An error other than io.EOF means that the response is incomplete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.readToEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if it can carry another request, and closes it
// otherwise. A connection can be reused if the request was written and the response read
// completely, no bytes follow the response, and the server keeps the connection open.
func (r *Response) Close() {
	notAborted := r.stopAbort()
	reusable := notAborted && r.readToEOF && r.Framed && !r.Answer.Close && r.exchange.RequestWritten() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.conn.close()
		return
	}
	r.pool.put(r.request.Address, r.conn, r.IdleTimeout)
}

// Do sends a request and returns once the response headers have arrived. The connection is closed
// when the context is done.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, *Error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	reused := c.used
	c.used = true
	stopAbort := context.AfterFunc(ctx, c.abort)
	bytesBefore := c.http.Written()
	exchange := c.http.Begin()
	c.writeRequest(r, exchange)
	response, cause := c.readResponse(p.Codec, r, reused, exchange)
	if cause == nil {
		response.pool, response.request, response.stopAbort, response.exchange = p, r, stopAbort, exchange
		return response, nil
	}
	stopAbort()
	c.close()
	kind := Broken
	if reused && ctx.Err() == nil {
		p.recordEarlyClose(time.Now(), c.idleTime)
	}
	switch {
	case ctx.Err() != nil:
		kind = ContextDone
	case errors.Is(cause, errMismatchedResponse):
		kind = Mismatched
	}
	return nil, &Error{Kind: kind, Sent: c.http.Written() > bytesBefore, Reused: reused, Cause: cause}
}

// conn is a connection to a backend server.
type conn struct {
	// Conn is the connection below http, which checks what is read.
	net.Conn
	http   *transport.Conn
	reader *bufio.Reader
	// used is true if the connection has served a request.
	used bool
	// idleTime is how long the connection had been idle when it was taken from the pool.
	idleTime time.Duration
	// idleSince is when the connection was returned to the pool, and expiresAt the time from which
	// the connection must not be reused.
	idleSince, expiresAt time.Time
	closed               atomic.Bool
	// headerBytes is the number of bytes that may still be read for the headers of a response;
	// negative while no limit applies. Only the goroutine that reads the response uses it.
	headerBytes int
	// release frees the connection's slot in the pool.
	release func()
}

var errHeaderTooLarge = eris.New("headers of the response exceed the size limit")

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.headerBytes < 0 {
		return c.http.Read(b)
	}
	if c.headerBytes == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.http.Read(b[:min(len(b), c.headerBytes)])
	c.headerBytes -= n
	return n, err
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The connection is discarded, so an error while closing it does not matter.
		_ = c.Close()
		c.release()
	}
}

// abort closes the connection, which interrupts reads and writes and tells the server that the
// response is no longer needed.
func (c *conn) abort() { c.close() }

// writeRequest sends a request, a large one in the background. It does not return write errors:
// reading the response then fails, unless the server responded before it had read the whole
// request.
func (c *conn) writeRequest(r *Request, exchange *transport.Exchange) {
	var header bytes.Buffer
	fmt.Fprintf(&header, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// The header names come from a parsed request and cannot contain line breaks. Writing to a
	// buffer does not fail.
	_ = r.Header.Write(&header)
	if r.HasBody {
		header.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	if len(r.Body) <= maxInlineBodyBytes {
		header.Write(r.Body)
		_, err := c.http.Write(header.Bytes())
		exchange.EndRequest(err)
		return
	}
	go func() {
		_, err := c.http.Write(header.Bytes())
		if err == nil {
			_, err = c.http.Write(r.Body)
		}
		exchange.EndRequest(err)
	}()
}

// readResponse returns the response to a request. It skips responses with the attempt ID of another
// request, which are late responses to earlier requests on the connection. A rejection without an ID may
// be one too if there were earlier requests, and does not show that this one has not run.
func (c *conn) readResponse(codec Codec, r *Request, reused bool, exchange *transport.Exchange) (*Response, error) {
	for range maxSkippedResponses + 1 {
		// All that is buffered follows the response that was skipped. Peeking at it does not fail.
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if err := exchange.ExpectHead(buffered); err != nil {
			return nil, err
		}
		httpResponse, err := c.readFinalResponse(r) //nolint:bodyclose // the body reads from the connection, which Response.Close handles
		if err != nil {
			return nil, err
		}
		answer := codec.ParseResponse(httpResponse.StatusCode, httpResponse.Header)
		if answer.Attempt != "" && answer.Attempt != r.Attempt {
			if httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 {
				return nil, errMismatchedResponse
			}
			n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxSkippedBodyBytes+1))
			if err != nil || n > maxSkippedBodyBytes {
				return nil, errMismatchedResponse
			}
			continue
		}
		if answer.Attempt == "" && reused && (answer.NotRun || answer.Misdirected) {
			return nil, errMismatchedResponse
		}
		framed := httpResponse.ContentLength >= 0 || len(httpResponse.TransferEncoding) > 0
		response := &Response{
			Status: httpResponse.StatusCode, Header: httpResponse.Header, Answer: answer, ContentLength: httpResponse.ContentLength, Framed: framed,
			body: httpResponse.Body, conn: c,
		}
		response.Answer.Close = answer.Close || httpResponse.Close
		return response, nil
	}
	return nil, errMismatchedResponse
}

// readFinalResponse reads the status line and headers of the next response and skips informational
// (1xx) responses.
func (c *conn) readFinalResponse(r *Request) (*http.Response, error) {
	c.headerBytes = maxResponseHeaderBytes
	defer func() { c.headerBytes = -1 }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}
