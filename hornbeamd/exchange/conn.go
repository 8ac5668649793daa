package exchange

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn counts the bytes that the operating system accepted, which shows whether a request
// may have reached the backend server. The trace of net/http cannot show this: it reports a request
// as written while it is still in a buffer.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// writeTracker records the connections on which a request is sent. There are several if net/http
// retries the request.
type writeTracker struct {
	mu    sync.Mutex
	conns []*countingConn
	// initial holds, for each connection, the number of bytes written before this request.
	initial []int64
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
	w.initial = append(w.initial, conn.written.Load())
}

// wroteAny reports whether any byte of the request was written.
func (w *writeTracker) wroteAny() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, conn := range w.conns {
		if conn.written.Load() > w.initial[i] {
			return true
		}
	}
	return false
}
