package objectapi_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/ports/objectapi"
)

// A write that may have taken effect must be reported as ambiguous, and one that certainly had no
// effect must not.
func TestHTTPReportsAmbiguousWrites(t *testing.T) {
	responses := map[string]struct {
		status    int
		ambiguous bool
	}{
		"refused":        {http.StatusServiceUnavailable, false},
		"rate limited":   {http.StatusTooManyRequests, false},
		"server error":   {http.StatusInternalServerError, true},
		"gateway error":  {http.StatusBadGateway, true},
		"no version":     {http.StatusOK, true},
		"unknown status": {http.StatusTeapot, true},
	}
	for name, resp := range responses {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(resp.status) }))
			defer srv.Close()
			_, err := (&objectapi.HTTP{Base: srv.URL}).Put(context.Background(), objectapi.Object{Kind: "k", Name: "a"})
			var ambiguous *objectapi.AmbiguousError
			var unavailable *objectapi.UnavailableError
			qt.Assert(t, errors.As(err, &ambiguous), qt.Equals, resp.ambiguous)
			qt.Assert(t, errors.As(err, &unavailable), qt.Equals, !resp.ambiguous || resp.status != http.StatusOK)
		})
	}
}

// A write whose connection was never opened must not be reported as ambiguous.
func TestHTTPRefusedConnectionHasNoEffect(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	_, err := (&objectapi.HTTP{Base: srv.URL}).Put(context.Background(), objectapi.Object{Kind: "k", Name: "a"})
	var ambiguous *objectapi.AmbiguousError
	qt.Assert(t, errors.As(err, &ambiguous), qt.IsFalse)
	qt.Assert(t, err, qt.IsNotNil)
}

// A watch must deliver changes although its earlier connection stopped responding, and must report
// an outage as an error rather than as the absence of changes.
func TestHTTPWatchOnSilentConnection(t *testing.T) {
	var watches, status atomic.Int64
	status.Store(http.StatusNotFound)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/watch/") {
			w.WriteHeader(int(status.Load()))
			return
		}
		if watches.Add(1) != 2 {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"objects":[{"name":"head","version":5,"value":"Mg=="}],"next":5}`))
	}))
	defer srv.Close()
	h := &objectapi.HTTP{Base: srv.URL, WatchLimit: 30 * time.Millisecond}
	got, next, err := h.Watch(context.Background(), "config", 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 0)
	// On a slow machine a watch may exceed the limit although the server responds, so repeat the
	// watch until it returns the change.
	for len(got) == 0 {
		watches.Store(1)
		got, next, err = h.Watch(context.Background(), "config", next)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, string(got[0].Value), qt.Equals, "2")
	status.Store(http.StatusServiceUnavailable)
	_, _, err = h.Watch(context.Background(), "config", next)
	var unavailable *objectapi.UnavailableError
	qt.Assert(t, errors.As(err, &unavailable), qt.IsTrue)
}
