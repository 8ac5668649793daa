package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the metadata store, as PROTOCOL.md describes it.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		CreateRev  int64    `json:"create_rev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object
	events  []storeEvent
	changed chan struct{}
}

// newStore starts a store on a loopback address.
func newStore(ip string) (*store, error) {
	s := &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object. The return is the acknowledgment.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, found := s.objects[kind][name]
	s.rev++
	if !found {
		o.Metadata.Name, o.Metadata.CreateRev, o.Metadata.Finalizers = name, s.rev, []string{}
		o.Status = json.RawMessage("{}")
	}
	o.Metadata.Revision, o.Spec = s.rev, spec
	s.objects[kind][name] = o
	s.record(storeEvent{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	s.rev++
	o.Metadata.Revision = s.rev
	delete(s.objects[kind], name)
	s.record(storeEvent{kind: kind, rev: s.rev, Object: o, Deleted: true})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet && name == "" {
		if r.URL.Query().Has("watch") {
			s.watch(w, r, kind)
			return
		}
		s.list(w, r, kind)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.set(kind, name, in.Spec))
	case !found:
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.set(kind, name, in.Spec))
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
