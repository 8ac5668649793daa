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

func post(c *qt.C, url, body string) int {
	resp, err := http.Post(url+"/fault", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against fault switches that have no effect, which would make failure tests pass without a failure.
func TestFaultSwitches(t *testing.T) {
	c := qt.New(t)
	s := platformapi.New()
	s.SetInstances([]instancelist.Instance{{ID: "i-1", State: instancelist.Live}})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	list := &instancelist.HTTP{Base: srv.URL}
	weights := &weightstore.HTTP{Base: srv.URL}

	got, err := list.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(post(c, srv.URL, `{"target":"instances","down":true}`), qt.Equals, http.StatusNoContent)
	_, err = list.List(context.Background())
	is[*instancelist.UnavailableError](c, err)
	c.Assert(post(c, srv.URL, `{"target":"weights","down":true}`), qt.Equals, http.StatusNoContent)
	_, err = weights.Catalogue(context.Background())
	is[*weightstore.UnavailableError](c, err)
	c.Assert(post(c, srv.URL, `{"target":"instances"}`), qt.Equals, http.StatusNoContent)
	_, err = list.List(context.Background())
	c.Assert(err, qt.IsNil)
	for _, wrong := range []string{`{"target":"disk"}`, `{"target":"objects","slow":"2"}`, `{"unknown":1}`} {
		c.Assert(post(c, srv.URL, wrong), qt.Equals, http.StatusBadRequest)
	}
}

// Guards against a silent connection that the adapter keeps for later calls, and against one that the stand-in still answers.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	s := platformapi.New()
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	h := &objectapi.HTTP{Base: srv.URL, Timeout: 100 * time.Millisecond}
	v := put(c, h, "a", 0, "one")
	c.Assert(s.SetFault(platformapi.Fault{Target: platformapi.Objects, Silent: true}), qt.IsNil)
	_, err := h.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v, Value: []byte("two")})
	is[*objectapi.AmbiguousError](c, err)
	h = &objectapi.HTTP{Base: srv.URL, Client: h.Client}
	c.Assert(value(c, h, "a"), qt.Equals, "one")
}

// Guards against a stand-in that serves loads above its rate, which would hide fleets that exceed the limit.
func TestWeightStoreRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := platformapi.New()
	s.Now = func() time.Time { return now }
	s.SetCatalogue(weightstore.Catalogue{Rate: 0.5, Burst: 2})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	weights := &weightstore.HTTP{Base: srv.URL}
	load := func() error { return weights.Load(context.Background(), weightstore.Artifact{Model: "m"}) }

	c.Assert(load(), qt.IsNil)
	c.Assert(load(), qt.IsNil)
	is[*weightstore.LimitedError](c, load())
	now = now.Add(2 * time.Second)
	c.Assert(load(), qt.IsNil)
	is[*weightstore.LimitedError](c, load())
	c.Assert(s.Loads(), qt.HasLen, 3)
}
