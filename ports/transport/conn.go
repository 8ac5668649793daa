package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// requestEndWait is how long a server may take to read the rest of a request after it has ended its
// response. It is also the time after which the kernel gives up a connection on which data is not
// acknowledged.
const requestEndWait = 2 * time.Second

// ErrRequestUnfinished is returned by Conn.Read in place of io.EOF if the connection ended before the
// whole request was written. It wraps io.ErrUnexpectedEOF.
var ErrRequestUnfinished = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// Conn is a client's connection to an HTTP/1.1 server. It checks the head of each response, and counts
// the bytes written.
//
// The kernel reports that a connection was reset only once, to a write or to a read. If a write gets
// the error, the next read gets io.EOF, and a response that ends with the connection looks complete. A
// server that closes a connection with unread data resets it too, although the client may see the end
// of the connection first. Read therefore returns io.EOF only once the request was written.
type Conn struct {
	net.Conn
	written atomic.Int64
	// writing is held during each write, and guards writeFailed.
	writing     sync.Mutex
	writeFailed bool
	current     atomic.Pointer[Exchange]
}

// NewConn returns a Conn on a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns a function for http.Transport.DialContext that connects with d.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Written returns the number of bytes that the operating system accepted.
func (c *Conn) Written() int64 { return c.written.Load() }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read implements io.Reader. It returns a *HeadError for the head of a response that is not valid, or
// ErrNoFinalStatus.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x := c.current.Load()
	if x == nil {
		return n, err
	}
	if headErr := x.head.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) && !c.isRequestWritten(x) {
		err = ErrRequestUnfinished
	}
	return n, err
}

// isRequestWritten reports whether the request of an exchange was written. It waits until the write
// ends, but no longer than requestEndWait.
func (c *Conn) isRequestWritten(x *Exchange) bool {
	select {
	case <-x.ended:
	default:
		timer := time.NewTimer(requestEndWait)
		defer timer.Stop()
		select {
		case <-x.ended:
		case <-timer.C:
			return false
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return !c.writeFailed && x.err == nil
}

// Begin starts an exchange: the bytes that Read returns from now on begin with the head of a response.
// No other exchange must be in progress.
func (c *Conn) Begin() *Exchange {
	x := &Exchange{ended: make(chan struct{})}
	c.current.Store(x)
	return x
}

// Exchange is one request on a Conn and its response.
type Exchange struct {
	// head is used only by the goroutine that reads.
	head headChecker
	once sync.Once
	// ended is closed when the request was written, or when that failed. err may be read afterwards.
	ended chan struct{}
	err   error
}

// EndRequest records that the request was written, or why that failed. Further calls have no effect.
func (x *Exchange) EndRequest(err error) {
	x.once.Do(func() {
		x.err = err
		close(x.ended)
	})
}

// RequestWritten reports whether the whole request was written without an error.
func (x *Exchange) RequestWritten() bool {
	select {
	case <-x.ended:
		return x.err == nil
	default:
		return false
	}
}

// ExpectHead makes the next bytes count as the head of a further response to the same request.
// buffered holds those of them that Read has returned already.
func (x *Exchange) ExpectHead(buffered []byte) error {
	x.head = headChecker{}
	return x.head.check(buffered)
}

// exchangeTrace begins an exchange on each connection that net/http uses for a request. There are
// several if net/http sends the request again.
type exchangeTrace struct {
	mu        sync.Mutex
	exchanges []*Exchange
}

func (t *exchangeTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchanges = append(t.exchanges, conn.Begin())
}

// wroteRequest ends the oldest write that has not ended.
func (t *exchangeTrace) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.exchanges) > 0 {
		t.exchanges[0].EndRequest(info.Err)
		t.exchanges = t.exchanges[1:]
	}
}

// traced returns the request with a trace that begins an exchange on its connection.
func traced(r *http.Request) *http.Request {
	t := &exchangeTrace{}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: t.gotConn, WroteRequest: t.wroteRequest}))
}
