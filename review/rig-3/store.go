package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). It
// is sound: its answers are linearizable, and it loses nothing.
type store struct {
	Address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	revision int64
	kind     string
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Address: l.Addr().String(), revision: 10, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	return s, nil
}

// put creates or replaces an object. A call that changes nothing doesn't count.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.revision++
		s.notify(storeEvent{s.revision, kind, *o, true})
	}
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	next := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if o != nil {
		next.Metadata.CreateRev = o.Metadata.CreateRev
	}
	s.objects[kind][name] = &next
	s.notify(storeEvent{s.revision, kind, next, false})
	return next
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	time.Sleep(4 * time.Millisecond)
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for n, o := range s.objects[kind] {
			if n > r.URL.Query().Get("after") {
				items = append(items, *o)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
	case r.Method == http.MethodGet && current == nil, r.Method == http.MethodPut && current == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, current)
	case r.Method == http.MethodPost:
		if o := s.objects[kind][body.Metadata.Name]; o != nil {
			reply(w, http.StatusConflict, o)
			return
		}
		reply(w, http.StatusOK, s.write(kind, body.Metadata.Name, body.Spec))
	case r.Method == http.MethodPut:
		if body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision {
			reply(w, http.StatusConflict, current)
			return
		}
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found, changed, revision := []storeEvent{}, s.changed, s.revision
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("encode an answer of the store: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}
