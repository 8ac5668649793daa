// Package platformapi provides an HTTP server that simulates the platform that routers run on. It
// serves the object API, the instance list and the rate-limited weight store, and injects faults.
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

// Target is the part of the platform to which a fault applies.
type Target string

// The parts of the platform.
const (
	Objects   Target = "objects"
	Instances Target = "instances"
	Weights   Target = "weights"
)

// Fault is the body of POST /fault. It replaces the faults of the target; if only Target is set,
// they are cleared. Silenced connections stay silenced.
type Fault struct {
	Target Target `json:"target"`
	// Down rejects every call with status 503 before it takes effect.
	Down bool `json:"down,omitempty"`
	// CallDelay is the delay of every call, in the notation of time.ParseDuration such as "50ms".
	CallDelay string `json:"slow,omitempty"`
	// LostReplyProbability is the probability that a write takes effect and its reply is lost. The
	// probabilities and MaxWriteDelay apply to the target Objects only.
	LostReplyProbability float64 `json:"lost,omitempty"`
	// LateWriteProbability is the probability that the reply of a write is lost and the write takes
	// effect later, after at most MaxWriteDelay.
	LateWriteProbability float64 `json:"late,omitempty"`
	// StaleReadProbability is the probability that a read of one object returns an older state.
	StaleReadProbability float64 `json:"behind,omitempty"`
	// MaxWriteDelay limits the delay of a late write, in the notation of time.ParseDuration.
	MaxWriteDelay string `json:"delay,omitempty"`
	// SilenceConnections stops all responses on the connections that are open now, regardless of
	// Target. New connections work.
	SilenceConnections bool `json:"silent,omitempty"`
	// Seed initializes the random generator of the probabilities.
	Seed uint64 `json:"seed,omitempty"`
}

// Server serves the interfaces of all targets. Set its fields before use.
type Server struct {
	// Store contains the objects. New creates it.
	Store *objectapi.Memory
	// Now is the clock of the weight store's rate limit; time.Now if nil.
	Now func() time.Time

	mu        sync.Mutex
	faults    map[Target]callFault
	instances []instancelist.Instance
	catalogue weightstore.Catalogue
	// tokens is the number of tokens at the time lastRefill in the token bucket that limits loads.
	tokens     float64
	lastRefill time.Time
	loads      []weightstore.Artifact
	// silenced records by remote address whether responses on a connection are stopped.
	silenced map[string]bool
}

// callFault is the fault of a target other than Objects, whose faults are injected by Store.
type callFault struct {
	down  bool
	delay time.Duration
}

// New returns a server without objects and instances. Its catalogue is empty, and its rate limit is
// one load per second.
func New() *Server {
	return &Server{
		Store:     &objectapi.Memory{},
		faults:    map[Target]callFault{},
		silenced:  map[string]bool{},
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

// SetCatalogue replaces the weight store's catalogue and refills the token bucket to its burst.
func (s *Server) SetCatalogue(c weightstore.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogue = c
	s.tokens = float64(c.Burst)
}

// StartedLoads returns the artifacts whose load was started, in the order of the starts.
func (s *Server) StartedLoads() []weightstore.Artifact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads)
}

// SetFault replaces the faults of a target. Its error names the invalid field.
func (s *Server) SetFault(f Fault) error {
	callDelay, err := parseDuration("slow", f.CallDelay)
	if err != nil {
		return err
	}
	maxWriteDelay, err := parseDuration("delay", f.MaxWriteDelay)
	if err != nil {
		return err
	}
	if f.SilenceConnections {
		s.silenceConnections()
	}
	switch f.Target {
	case Objects:
		s.Store.Inject(objectFaultRule(f, callDelay, maxWriteDelay))
		return nil
	case Instances, Weights:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[f.Target] = callFault{down: f.Down, delay: callDelay}
		return nil
	}
	return fmt.Errorf("target %q is unknown; use %q, %q or %q", f.Target, Objects, Instances, Weights)
}

func (s *Server) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for remoteAddr := range s.silenced {
		s.silenced[remoteAddr] = true
	}
}

// isSilenced reports whether responses on a connection are stopped. It also records the connection,
// so that a later fault can silence it.
func (s *Server) isSilenced(remoteAddr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silenced := s.silenced[remoteAddr]
	s.silenced[remoteAddr] = silenced
	return silenced
}

// withSilencing returns a handler that calls next unless the connection is silenced. On a silenced
// connection it sends no response and waits until the client closes the connection. A call that is
// in progress when its connection is silenced still takes effect.
func (s *Server) withSilencing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilenced(r.RemoteAddr) {
			// The server detects a closed connection only after reading the request body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(&silenceableWriter{ResponseWriter: w, server: s, request: r}, r)
	})
}

// silenceableWriter suppresses the response to a call whose connection was silenced after the call
// started.
type silenceableWriter struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
}

func (w *silenceableWriter) WriteHeader(status int) {
	w.abortIfSilenced()
	w.ResponseWriter.WriteHeader(status)
}

func (w *silenceableWriter) Write(b []byte) (int, error) {
	w.abortIfSilenced()
	return w.ResponseWriter.Write(b)
}

// abortIfSilenced does nothing unless the connection is silenced. It then waits until the client
// closes the connection and aborts the handler.
func (w *silenceableWriter) abortIfSilenced() {
	if w.server.isSilenced(w.request.RemoteAddr) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func objectFaultRule(f Fault, callDelay, maxWriteDelay time.Duration) objectapi.FaultRule {
	probabilities := objectapi.FaultProbabilities{Lost: f.LostReplyProbability, Late: f.LateWriteProbability, Behind: f.StaleReadProbability, Delay: maxWriteDelay}
	randomFault := objectapi.RandomFaults(f.Seed, probabilities)
	return func(call objectapi.Call) objectapi.Fault {
		injected := randomFault(call)
		injected.Unavailable = f.Down
		injected.Slow = callDelay
		return injected
	}
}

// parseDuration parses the value of a field of Fault. An empty value is 0.
func parseDuration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s %q is no duration; write it like 50ms", field, s)
	}
	return d, nil
}

// Handler returns the HTTP handler for all targets and for POST /fault. POST /fault also works on
// silenced connections.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.registerObjectRoutes(mux)
	mux.HandleFunc("GET /v1/instances", s.withFault(Instances, s.listInstances))
	mux.HandleFunc("GET /v1/weights", s.withFault(Weights, s.getCatalogue))
	mux.HandleFunc("POST /v1/loads", s.withFault(Weights, s.startLoad))
	outer := http.NewServeMux()
	outer.HandleFunc("POST /fault", s.postFault)
	outer.Handle("/", s.withSilencing(mux))
	return outer
}

// withFault injects the fault of a target before calling the handler.
func (s *Server) withFault(target Target, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults[target]
		s.mu.Unlock()
		if f.delay > 0 {
			select {
			case <-time.After(f.delay):
			case <-r.Context().Done():
				return
			}
		}
		if f.down {
			rejectWithRetryAfter(w, http.StatusServiceUnavailable)
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
	writeJSON(w, list)
}

func (s *Server) getCatalogue(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.catalogue
	s.mu.Unlock()
	writeJSON(w, c)
}

func (s *Server) startLoad(w http.ResponseWriter, r *http.Request) {
	var artifact weightstore.Artifact
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&artifact); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.allowLoad(artifact) {
		rejectWithRetryAfter(w, http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// allowLoad reports whether the rate limit allows a load, and records the load if so.
func (s *Server) allowLoad(artifact weightstore.Artifact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	clock := time.Now
	if s.Now != nil {
		clock = s.Now
	}
	now := clock()
	if !s.lastRefill.IsZero() {
		s.tokens += now.Sub(s.lastRefill).Seconds() * s.catalogue.Rate
	}
	s.lastRefill = now
	s.tokens = min(s.tokens, float64(s.catalogue.Burst))
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.loads = append(s.loads, artifact)
	return true
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
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

func rejectWithRetryAfter(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
}
