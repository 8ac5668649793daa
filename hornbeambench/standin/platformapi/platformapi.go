// Package platformapi is an HTTP stand-in for the platform: object API, instance list and rate-limited weight store, with faults.
package platformapi

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/ports/instancelist"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/ports/weightstore"
)

// Target is a part of the platform that a fault concerns.
type Target string

// The parts of the platform.
const (
	Objects   Target = "objects"
	Instances Target = "instances"
	Weights   Target = "weights"
)

// Fault is the body of POST /fault. The zero value ends the faults of its target.
type Fault struct {
	Target Target `json:"target"`
	// Down refuses every call without effect.
	Down bool `json:"down,omitempty"`
	// Slow is added to every call, in Go's notation such as "50ms".
	Slow string `json:"slow,omitempty"`
	// Lost and Late are the probabilities that a write's reply is lost after its effect, and that it takes effect only after
	// the lost reply, up to Delay later. Behind is the probability that a read lags. They apply to objects only.
	Lost   float64 `json:"lost,omitempty"`
	Late   float64 `json:"late,omitempty"`
	Behind float64 `json:"behind,omitempty"`
	Delay  string  `json:"delay,omitempty"`
	// Silent makes the connections that are open now, to any part, silent for good. New ones work.
	Silent bool `json:"silent,omitempty"`
	// Seed is the seed of the probabilities.
	Seed uint64 `json:"seed,omitempty"`
}

// Server serves the three interfaces. Set its fields before use.
type Server struct {
	// Store holds the objects. New makes one.
	Store *objectapi.Memory
	// Now is the clock of the weight store's rate limit; time.Now if nil.
	Now func() time.Time

	mu        sync.Mutex
	faults    map[Target]fault
	instances []instancelist.Instance
	catalogue weightstore.Catalogue
	// tokens are the loads that may start now, as of refilled.
	tokens   float64
	refilled time.Time
	loads    []weightstore.Artifact
	// open are the remote addresses of connections, true for silent ones.
	open map[string]bool
}

type fault struct {
	down bool
	slow time.Duration
}

// New returns a stand-in without instances and with an empty catalogue of rate 1.
func New() *Server {
	return &Server{
		Store:     &objectapi.Memory{},
		faults:    map[Target]fault{},
		open:      map[string]bool{},
		catalogue: weightstore.Catalogue{Rate: 1, Burst: 1},
		tokens:    1,
	}
}

// SetInstances replaces the instance list.
func (s *Server) SetInstances(list []instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(list)
}

// SetCatalogue replaces the weight store's catalogue and fills its burst.
func (s *Server) SetCatalogue(c weightstore.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogue = c
	s.tokens = float64(c.Burst)
}

// Loads returns the artifacts whose transfer started, in order.
func (s *Server) Loads() []weightstore.Artifact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads)
}

// SetFault sets the faults of one part of the platform, or returns an error that names the wrong field.
func (s *Server) SetFault(f Fault) error {
	slow, err := duration("slow", f.Slow)
	if err != nil {
		return err
	}
	delay, err := duration("delay", f.Delay)
	if err != nil {
		return err
	}
	if f.Silent {
		s.silence()
	}
	switch f.Target {
	case Objects:
		s.Store.Inject(objectRule(f, slow, delay))
		return nil
	case Instances, Weights:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[f.Target] = fault{down: f.Down, slow: slow}
		return nil
	}
	return fmt.Errorf("target %q is unknown; use %q, %q or %q", f.Target, Objects, Instances, Weights)
}

func (s *Server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for remote := range s.open {
		s.open[remote] = true
	}
}

// silent notes a connection and reports whether it has gone silent.
func (s *Server) silent(remote string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.open[remote]
	s.open[remote] = silent
	return silent
}

// hush answers nothing on a silent connection until the caller closes it. A call in progress takes effect without its answer.
func (s *Server) hush(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent(r.RemoteAddr) {
			// The server notices a closed connection only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(&hushed{ResponseWriter: w, server: s, request: r}, r)
	})
}

// hushed holds back the answer to a call whose connection went silent meanwhile.
type hushed struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
}

func (h *hushed) WriteHeader(status int) {
	h.hold()
	h.ResponseWriter.WriteHeader(status)
}

func (h *hushed) Write(b []byte) (int, error) {
	h.hold()
	return h.ResponseWriter.Write(b)
}

func (h *hushed) hold() {
	if h.server.silent(h.request.RemoteAddr) {
		<-h.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func objectRule(f Fault, slow, delay time.Duration) objectapi.FaultRule {
	chances := objectapi.FaultProbabilities{Lost: f.Lost, Late: f.Late, Behind: f.Behind, Delay: delay}
	random := objectapi.RandomFaults(f.Seed, chances)
	return func(c objectapi.Call) objectapi.Fault {
		out := random(c)
		out.Unavailable = f.Down
		out.Slow = slow
		return out
	}
}

func duration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s %q is no duration; write it like 50ms", field, s)
	}
	return d, nil
}

// Handler returns the HTTP interface of all three parts, and POST /fault.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.objectRoutes(mux)
	mux.HandleFunc("GET /v1/instances", s.guard(Instances, s.listInstances))
	mux.HandleFunc("GET /v1/weights", s.guard(Weights, s.readCatalogue))
	mux.HandleFunc("POST /v1/loads", s.guard(Weights, s.startLoad))
	outer := http.NewServeMux()
	outer.HandleFunc("POST /fault", s.postFault)
	outer.Handle("/", s.hush(mux))
	return outer
}

// guard applies the faults of a target before a handler.
func (s *Server) guard(t Target, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults[t]
		s.mu.Unlock()
		if f.slow > 0 {
			select {
			case <-time.After(f.slow):
			case <-r.Context().Done():
				return
			}
		}
		if f.down {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := slices.Clone(s.instances)
	s.mu.Unlock()
	if list == nil {
		list = []instancelist.Instance{}
	}
	write(w, list)
}

func (s *Server) readCatalogue(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.catalogue
	s.mu.Unlock()
	write(w, c)
}

func (s *Server) startLoad(w http.ResponseWriter, r *http.Request) {
	var a weightstore.Artifact
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.take(a) {
		refuse(w, http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// take starts a load if the rate allows it.
func (s *Server) take(a weightstore.Artifact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	at := now()
	if !s.refilled.IsZero() {
		s.tokens += at.Sub(s.refilled).Seconds() * s.catalogue.Rate
	}
	s.refilled = at
	s.tokens = min(s.tokens, float64(s.catalogue.Burst))
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.loads = append(s.loads, a)
	return true
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Seed == 0 {
		f.Seed = rand.Uint64()
	}
	if err := s.SetFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
}
