package platformapi_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/ports/objectapi"
)

// storeConstructors contains a constructor for each implementation of objectapi.Store. It returns
// the store and its backing Memory, through which tests inject faults.
var storeConstructors = map[string]func(*testing.T) (objectapi.Store, *objectapi.Memory){
	"memory": func(*testing.T) (objectapi.Store, *objectapi.Memory) {
		memory := &objectapi.Memory{WatchLimit: 20 * time.Millisecond}
		return memory, memory
	},
	"metered": func(*testing.T) (objectapi.Store, *objectapi.Memory) {
		memory := &objectapi.Memory{WatchLimit: 20 * time.Millisecond}
		metered, _ := objectapi.NewMetered(memory)
		return metered, memory
	},
	"http": func(t *testing.T) (objectapi.Store, *objectapi.Memory) {
		platform := platformapi.New()
		platform.Store.WatchLimit = 20 * time.Millisecond
		srv := httptest.NewServer(platform.Handler())
		t.Cleanup(srv.Close)
		return &objectapi.HTTP{Base: srv.URL}, platform.Store
	},
}

// conformanceTests run against each implementation. They guard against an implementation that
// reports the wrong outcome of a call, such as success for a conflict.
var conformanceTests = map[string]func(*qt.C, objectapi.Store, *objectapi.Memory){
	"create once":         createOnce,
	"update with version": updateWithVersion,
	"delete":              deleteWithVersion,
	"value size limit":    valueSizeLimit,
	"list and watch":      listAndWatch,
	"down":                unavailable,
	"reply lost":          replyLost,
	"delayed write":       delayedWrite,
	"stale read":          staleRead,
	"special characters":  specialCharacters,
}

func TestConformance(t *testing.T) {
	for implementation, newStore := range storeConstructors {
		for name, check := range conformanceTests {
			t.Run(implementation+"/"+name, func(t *testing.T) {
				store, memory := newStore(t)
				check(qt.New(t), store, memory)
			})
		}
	}
}

func mustPut(c *qt.C, s objectapi.Store, name string, version int64, value string) int64 {
	c.Helper()
	v, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: name, Version: version, Value: []byte(value)})
	c.Assert(err, qt.IsNil)
	return v
}

func getValue(c *qt.C, s objectapi.Store, name string) string {
	c.Helper()
	o, err := s.Get(context.Background(), "k", name)
	c.Assert(err, qt.IsNil)
	return string(o.Value)
}

func errorAs[E error](c *qt.C, err error) E {
	c.Helper()
	var e E
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%T %v", err, err))
	return e
}

func createOnce(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	_, err := s.Get(context.Background(), "k", "a")
	errorAs[*objectapi.NotFoundError](c, err)
	v := mustPut(c, s, "a", 0, "one")
	_, err = s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: []byte("two")})
	conflict := errorAs[*objectapi.ConflictError](c, err)
	c.Assert(conflict.Have, qt.Equals, v)
	c.Assert(getValue(c, s, "a"), qt.Equals, "one")
}

func updateWithVersion(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	v1 := mustPut(c, s, "a", 0, "one")
	v2 := mustPut(c, s, "a", v1, "two")
	c.Assert(v2 > v1, qt.IsTrue)
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v1})
	errorAs[*objectapi.ConflictError](c, err)
	c.Assert(getValue(c, s, "a"), qt.Equals, "two")
}

func deleteWithVersion(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	errorAs[*objectapi.NotFoundError](c, s.Delete(context.Background(), "k", "a", 1))
	v := mustPut(c, s, "a", 0, "one")
	errorAs[*objectapi.ConflictError](c, s.Delete(context.Background(), "k", "a", v+1))
	c.Assert(s.Delete(context.Background(), "k", "a", v), qt.IsNil)
	c.Assert(mustPut(c, s, "a", 0, "again") > v, qt.IsTrue)
}

func valueSizeLimit(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: make([]byte, objectapi.MaxValue+1)})
	errorAs[*objectapi.TooLargeError](c, err)
	mustPut(c, s, "a", 0, string(make([]byte, objectapi.MaxValue)))
	c.Assert(len(getValue(c, s, "a")), qt.Equals, objectapi.MaxValue)
}

func listAndWatch(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	mustPut(c, s, "b", 0, "one")
	v := mustPut(c, s, "a", 0, "two")
	list, err := s.List(context.Background(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(len(list), qt.Equals, 2)
	c.Assert(list[0].Name+list[1].Name+string(list[0].Value), qt.Equals, "ab")
	changed, next, err := s.Watch(context.Background(), "k", v-1)
	c.Assert(err, qt.IsNil)
	c.Assert(len(changed), qt.Equals, 1)
	c.Assert(string(changed[0].Value), qt.Equals, "two")
	changed, _, err = s.Watch(context.Background(), "k", next)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.HasLen, 0)
	go func() { _, _ = s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "c"}) }()
	for len(changed) == 0 {
		changed, next, err = s.Watch(context.Background(), "k", next)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(changed[0].Name, qt.Equals, "c")
}

func unavailable(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Unavailable: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a"})
	c.Assert(errorAs[*objectapi.UnavailableError](c, err).Retry > 0, qt.IsTrue)
	_, err = s.List(context.Background(), "k")
	errorAs[*objectapi.UnavailableError](c, err)
	m.Inject(nil)
	_, err = s.Get(context.Background(), "k", "a")
	errorAs[*objectapi.NotFoundError](c, err)
	c.Assert(m.Counts(), qt.Equals, objectapi.Counts{Get: 1, Put: 1, List: 1})
}

func replyLost(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Lost: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: []byte("one")})
	errorAs[*objectapi.AmbiguousError](c, err)
	c.Assert(getValue(c, s, "a"), qt.Equals, "one")
}

func delayedWrite(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	v := mustPut(c, s, "a", 0, "one")
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Hold: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v, Value: []byte("two")})
	errorAs[*objectapi.AmbiguousError](c, err)
	c.Assert(getValue(c, s, "a"), qt.Equals, "one")
	c.Assert(m.ApplyHeld(), qt.Equals, 1)
	c.Assert(getValue(c, s, "a"), qt.Equals, "two")
	_, err = s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v, Value: []byte("old")})
	errorAs[*objectapi.AmbiguousError](c, err)
	m.ApplyHeld()
	c.Assert(getValue(c, s, "a"), qt.Equals, "two")
}

func staleRead(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	v := mustPut(c, s, "a", 0, "one")
	mustPut(c, s, "a", v, "two")
	m.Inject(objectapi.ConstantFault(objectapi.Fault{WritesBehind: 1}))
	c.Assert(getValue(c, s, "a"), qt.Equals, "one")
}

func specialCharacters(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	mustPut(c, s, "a/b ?%", 0, "one")
	c.Assert(getValue(c, s, "a/b ?%"), qt.Equals, "one")
}
