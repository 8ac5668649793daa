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

// stores returns each implementation of Store with the memory that holds its objects and its faults.
var stores = map[string]func(*testing.T) (objectapi.Store, *objectapi.Memory){
	"memory": func(*testing.T) (objectapi.Store, *objectapi.Memory) {
		m := &objectapi.Memory{WatchLimit: 20 * time.Millisecond}
		return m, m
	},
	"metered": func(*testing.T) (objectapi.Store, *objectapi.Memory) {
		m := &objectapi.Memory{WatchLimit: 20 * time.Millisecond}
		metered, _ := objectapi.NewMetered(m)
		return metered, m
	},
	"http": func(t *testing.T) (objectapi.Store, *objectapi.Memory) {
		s := platformapi.New()
		s.Store.WatchLimit = 20 * time.Millisecond
		srv := httptest.NewServer(s.Handler())
		t.Cleanup(srv.Close)
		return &objectapi.HTTP{Base: srv.URL}, s.Store
	},
}

// conformance guards against an adapter that reports the outcome of a call as another than it was.
var conformance = map[string]func(*qt.C, objectapi.Store, *objectapi.Memory){
	"create once":       createOnce,
	"update by version": updateByVersion,
	"delete":            deleteByVersion,
	"large value":       largeValue,
	"list and watch":    listAndWatch,
	"down":              down,
	"reply lost":        replyLost,
	"held write":        heldWrite,
	"lagging read":      laggingRead,
	"odd names":         oddNames,
}

func TestConformance(t *testing.T) {
	for implementation, open := range stores {
		for name, check := range conformance {
			t.Run(implementation+"/"+name, func(t *testing.T) {
				store, memory := open(t)
				check(qt.New(t), store, memory)
			})
		}
	}
}

func put(c *qt.C, s objectapi.Store, name string, version int64, value string) int64 {
	c.Helper()
	v, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: name, Version: version, Value: []byte(value)})
	c.Assert(err, qt.IsNil)
	return v
}

func value(c *qt.C, s objectapi.Store, name string) string {
	c.Helper()
	o, err := s.Get(context.Background(), "k", name)
	c.Assert(err, qt.IsNil)
	return string(o.Value)
}

func is[E error](c *qt.C, err error) E {
	c.Helper()
	var e E
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%T %v", err, err))
	return e
}

func createOnce(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	_, err := s.Get(context.Background(), "k", "a")
	is[*objectapi.NotFoundError](c, err)
	v := put(c, s, "a", 0, "one")
	_, err = s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: []byte("two")})
	conflict := is[*objectapi.ConflictError](c, err)
	c.Assert(conflict.Have, qt.Equals, v)
	c.Assert(value(c, s, "a"), qt.Equals, "one")
}

func updateByVersion(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	v1 := put(c, s, "a", 0, "one")
	v2 := put(c, s, "a", v1, "two")
	c.Assert(v2 > v1, qt.IsTrue)
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v1})
	is[*objectapi.ConflictError](c, err)
	c.Assert(value(c, s, "a"), qt.Equals, "two")
}

func deleteByVersion(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	is[*objectapi.NotFoundError](c, s.Delete(context.Background(), "k", "a", 1))
	v := put(c, s, "a", 0, "one")
	is[*objectapi.ConflictError](c, s.Delete(context.Background(), "k", "a", v+1))
	c.Assert(s.Delete(context.Background(), "k", "a", v), qt.IsNil)
	c.Assert(put(c, s, "a", 0, "again") > v, qt.IsTrue)
}

func largeValue(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: make([]byte, objectapi.MaxValue+1)})
	is[*objectapi.TooLargeError](c, err)
	put(c, s, "a", 0, string(make([]byte, objectapi.MaxValue)))
	c.Assert(len(value(c, s, "a")), qt.Equals, objectapi.MaxValue)
}

func listAndWatch(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	put(c, s, "b", 0, "one")
	v := put(c, s, "a", 0, "two")
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

func down(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Unavailable: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a"})
	c.Assert(is[*objectapi.UnavailableError](c, err).Retry > 0, qt.IsTrue)
	_, err = s.List(context.Background(), "k")
	is[*objectapi.UnavailableError](c, err)
	m.Inject(nil)
	_, err = s.Get(context.Background(), "k", "a")
	is[*objectapi.NotFoundError](c, err)
	c.Assert(m.Counts(), qt.Equals, objectapi.Counts{Get: 1, Put: 1, List: 1})
}

func replyLost(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Lost: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Value: []byte("one")})
	is[*objectapi.AmbiguousError](c, err)
	c.Assert(value(c, s, "a"), qt.Equals, "one")
}

func heldWrite(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	v := put(c, s, "a", 0, "one")
	m.Inject(objectapi.ConstantFault(objectapi.Fault{Hold: true}))
	_, err := s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v, Value: []byte("two")})
	is[*objectapi.AmbiguousError](c, err)
	c.Assert(value(c, s, "a"), qt.Equals, "one")
	c.Assert(m.ApplyHeld(), qt.Equals, 1)
	c.Assert(value(c, s, "a"), qt.Equals, "two")
	_, err = s.Put(context.Background(), objectapi.Object{Kind: "k", Name: "a", Version: v, Value: []byte("old")})
	is[*objectapi.AmbiguousError](c, err)
	m.ApplyHeld()
	c.Assert(value(c, s, "a"), qt.Equals, "two")
}

func laggingRead(c *qt.C, s objectapi.Store, m *objectapi.Memory) {
	v := put(c, s, "a", 0, "one")
	put(c, s, "a", v, "two")
	m.Inject(objectapi.ConstantFault(objectapi.Fault{WritesBehind: 1}))
	c.Assert(value(c, s, "a"), qt.Equals, "one")
}

func oddNames(c *qt.C, s objectapi.Store, _ *objectapi.Memory) {
	put(c, s, "a/b ?%", 0, "one")
	c.Assert(value(c, s, "a/b ?%"), qt.Equals, "one")
}
