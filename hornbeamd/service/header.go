package service

import (
	"net/http"
	"strings"

	"hornbeamstep.example/hornbeamd/exchange"
)

// hop are the headers that belong to one connection, to the router, or to the caller's relation with the router.
var hop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect", "Accept-Encoding",
	exchange.HeaderAttempt, exchange.HeaderNotRun, exchange.HeaderPriority, exchange.HeaderDeadline,
}

// passed returns a copy of a header without what must not pass the router.
func passed(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	return out
}
