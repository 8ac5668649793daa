package exchange

import (
	"net/http/httptrace"
	"sync"

	"hornbeamstep.example/ports/transport"
)

// writeTracker records the connections on which a request is sent. There are several if net/http
// retries the request. Their counts of written bytes show whether the request may have reached the
// backend server; the trace of net/http reports a request as written while it is still in a buffer.
type writeTracker struct {
	mu    sync.Mutex
	conns []*transport.Conn
	// initial holds, for each connection, the number of bytes written before this request.
	initial []int64
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*transport.Conn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
	w.initial = append(w.initial, conn.Written())
}

// wroteAny reports whether any byte of the request was written.
func (w *writeTracker) wroteAny() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, conn := range w.conns {
		if conn.Written() > w.initial[i] {
			return true
		}
	}
	return false
}
