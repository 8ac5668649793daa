package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// versionRecorder records the versions of the servers that get requests.
type versionRecorder struct {
	versions []string
	mu       sync.Mutex
	got      []string
}

func (v *versionRecorder) handler(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var index int
		fmt.Sscanf(r.Header.Get("Target-Instance"), "s%d", &index)
		v.mu.Lock()
		v.got = append(v.got, v.versions[index])
		v.mu.Unlock()
		handle(w, r)
	}
}

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
				v := &versionRecorder{versions: []string{"v1", "v2", "v1", "v2"}}
				resume := v.handler(func(w http.ResponseWriter, _ *http.Request) { send(w, rest) })
				url, _ := startGateway(c, setup{limits: unlimited, attempts: 2, timeout: 4 * pause, target: 100 * time.Millisecond, versions: v.versions},
					v.handler(begin), resume, resume, resume)
				status, body, err := get(c, url+"/stream/x")
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, 200)
				c.Assert(body, qt.Equals, events)
				c.Assert(v.got, qt.HasLen, 2)
				c.Assert(v.got[1], qt.Equals, v.got[0])
			}
		})
	}
}
