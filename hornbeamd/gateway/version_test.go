package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a router that continues a stream at another software version within one response.
func TestStreamKeepsVersionWithinResponse(t *testing.T) {
	first := "id: 1\ndata: 1\n\n"
	rest := strings.TrimPrefix(events, first)
	send := func(w http.ResponseWriter, text string) {
		w.Write([]byte(text))
		http.NewResponseController(w).Flush()
	}
	for name, begin := range map[string]http.HandlerFunc{
		"retry after a broken connection": func(w http.ResponseWriter, _ *http.Request) {
			send(w, first)
			panic(http.ErrAbortHandler)
		},
		"standby for a silent server": func(w http.ResponseWriter, r *http.Request) {
			send(w, first)
			select {
			case <-r.Context().Done():
			case <-time.After(4 * pause):
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for range 6 {
				versions := []string{"v1", "v2", "v1", "v2"}
				var got []string
				resume := func(w http.ResponseWriter, _ *http.Request) { send(w, rest) }
				url, _ := startGateway(c, setup{
					limits: unlimited, attempts: 2, timeout: 4 * pause, target: 100 * time.Millisecond, versions: versions,
					received: func(server int) { got = append(got, versions[server]) },
				}, begin, resume, resume, resume)
				status, body, err := get(c, url+"/stream/x")
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, 200)
				c.Assert(body, qt.Equals, events)
				c.Assert(got, qt.HasLen, 2)
				c.Assert(got[1], qt.Equals, got[0])
			}
		})
	}
}
