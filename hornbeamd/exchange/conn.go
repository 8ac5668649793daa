package exchange

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes that the operating system accepted, which tells whether a request can have reached the
// backend server. The library's own trace reports a request as written while it is still in a buffer.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// writes remembers the connections that an exchange used; there are several when the library repeats a request.
type writes struct {
	mu    sync.Mutex
	conns []*countedConn
	// before holds, for each connection, the bytes written when this exchange obtained it.
	before []int64
}

func (w *writes) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
	w.before = append(w.before, conn.written.Load())
}

// any reports whether a byte of this exchange was written.
func (w *writes) any() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, conn := range w.conns {
		if conn.written.Load() > w.before[i] {
			return true
		}
	}
	return false
}
