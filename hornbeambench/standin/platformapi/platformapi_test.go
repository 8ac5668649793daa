package platformapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/ports/instancelist"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/ports/weightstore"
)

// postFault sends POST /fault and returns the status code.
func postFault(c *qt.C, url, body string) int {
	resp, err := http.Post(url+"/fault", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against injected faults that have no effect, because tests of failures would then pass
// without a failure, and against invalid faults that are accepted.
func TestFaultInjection(t *testing.T) {
	c := qt.New(t)
	platform := platformapi.New()
	platform.SetInstances([]instancelist.Instance{{ID: "i-1", State: instancelist.Live}})
	srv := httptest.NewServer(platform.Handler())
	defer srv.Close()
	list := &instancelist.HTTP{Base: srv.URL}
	weights := &weightstore.HTTP{Base: srv.URL}

	instances, err := list.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 1)
	c.Assert(postFault(c, srv.URL, `{"target":"instances","down":true}`), qt.Equals, http.StatusNoContent)
	_, err = list.List(context.Background())
	errorAs[*instancelist.UnavailableError](c, err)
	c.Assert(postFault(c, srv.URL, `{"target":"weights","down":true}`), qt.Equals, http.StatusNoContent)
	_, err = weights.Catalogue(context.Background())
	errorAs[*weightstore.UnavailableError](c, err)
	c.Assert(postFault(c, srv.URL, `{"target":"instances"}`), qt.Equals, http.StatusNoContent)
	_, err = list.List(context.Background())
	c.Assert(err, qt.IsNil)
	for _, invalid := range []string{`{"target":"disk"}`, `{"target":"objects","slow":"2"}`, `{"unknown":1}`} {
		c.Assert(postFault(c, srv.URL, invalid), qt.Equals, http.StatusBadRequest)
	}
}

// Guards against an adapter that reuses a connection on which a call timed out, and against a
// stand-in that still responds on a silenced connection.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	platform := platformapi.New()
	srv := httptest.NewServer(platform.Handler())
	defer srv.Close()
	store := &objectapi.HTTP{Base: srv.URL, Timeout: 100 * time.Millisecond}
	version := mustPut(c, store, "a", 0, "one")
	c.Assert(platform.SetFault(platformapi.Fault{Target: platformapi.Objects, SilenceConnections: true}), qt.IsNil)
	_, err := store.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: version, Value: []byte("two")})
	errorAs[*objectapi.AmbiguousError](c, err)
	store = &objectapi.HTTP{Base: srv.URL, Client: store.Client}
	c.Assert(getValue(c, store, "a"), qt.Equals, "one")
}

// Guards against a stand-in that allows more loads than its rate limit, because tests would then
// not detect a fleet that exceeds the limit.
func TestWeightStoreRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	platform := platformapi.New()
	platform.Now = func() time.Time { return now }
	platform.SetCatalogue(weightstore.Catalogue{Rate: 0.5, Burst: 2})
	srv := httptest.NewServer(platform.Handler())
	defer srv.Close()
	weights := &weightstore.HTTP{Base: srv.URL}
	load := func() error { return weights.Load(context.Background(), weightstore.Artifact{Model: "m"}) }

	c.Assert(load(), qt.IsNil)
	c.Assert(load(), qt.IsNil)
	errorAs[*weightstore.LimitedError](c, load())
	now = now.Add(2 * time.Second)
	c.Assert(load(), qt.IsNil)
	errorAs[*weightstore.LimitedError](c, load())
	c.Assert(platform.StartedLoads(), qt.HasLen, 3)
}
