package service

import (
	"net/http"
	"strings"

	"hornbeamstep.example/hornbeamd/exchange"
)

// removedHeaders are the headers that are not forwarded: they belong to a single connection, to the
// router itself, or to the caller's authentication and negotiation with the router.
var removedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect", "Accept-Encoding",
	exchange.HeaderAttempt, exchange.HeaderNotRun, exchange.HeaderPriority, exchange.HeaderDeadline,
}

// forwardedHeader returns a copy of a header without the fields that must not be forwarded.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range removedHeaders {
		out.Del(name)
	}
	return out
}
