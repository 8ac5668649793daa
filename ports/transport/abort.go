package transport

import (
	"net"
	"net/http"
)

// AbortResponse ends the handler of a request and closes the client's connection, so that a response
// that was sent in part does not look complete. The response to an HTTP/1.0 request may end with its
// connection, which is therefore reset. It panics and never returns.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// An error means that the connection is already closed, or not that of a client.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection without sending what is left to be sent.
func reset(conn net.Conn) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it the connection is closed all the same.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
