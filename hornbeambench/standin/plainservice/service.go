// Package plainservice is a stand-in for a plain service, with a ledger of the calls that ran.
package plainservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// Hangup closes the connection before the call runs.
	Hangup FaultKind = "hangup"
	// Crash closes the connection after the call ran.
	Crash FaultKind = "crash"
	// Hang runs the call and never answers.
	Hang FaultKind = "hang"
	// Slow waits for Delay before the call runs.
	Slow FaultKind = "slow"
	// Truncate sends half of the announced answer.
	Truncate FaultKind = "truncate"
	// Crossed answers with the attempt id of another call.
	Crossed FaultKind = "crossed"
	// Refuse answers 503 with Not-Run.
	Refuse FaultKind = "refuse"
	// Status answers 500 after the call ran.
	Status FaultKind = "status"
)

// Fault is a fault to act out. The zero value is none.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Times is the number of calls that it acts on; 0 for all until it is cleared.
	Times int           `json:"times,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
}

// Entry is a call in the ledger.
type Entry struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
}

// Service is a running stand-in.
type Service struct {
	server  *http.Server
	address string

	mu     sync.Mutex
	fault  Fault
	left   int
	ledger []Entry
	// size is the length of filler in each answer.
	size int
}

// Start starts a stand-in on address (ip:port); port 0 takes any free port.
func Start(address string) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s: choose a free address", address)
	}
	s := &Service{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go s.server.Serve(listener) //nolint:errcheck // Serve always returns an error after Close.
	return s, nil
}

// Address returns the ip:port on which the stand-in listens.
func (s *Service) Address() string { return s.address }

// Close stops the stand-in.
func (s *Service) Close() { _ = s.server.Close() }

// SetFault replaces the fault in force.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.left = f, f.Times
	if f.Times == 0 {
		s.left = -1
	}
}

// SetSize makes each answer longer by size bytes.
func (s *Service) SetSize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
}

// Ledger returns the calls that ran, in order.
func (s *Service) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.ledger...)
}

// Runs returns how many calls ran with an idempotency key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, entry := range s.ledger {
		if entry.Key == key {
			n++
		}
	}
	return n
}

func (s *Service) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		return Fault{}
	}
	if s.left > 0 {
		s.left--
	}
	return s.fault
}

// answer is the body of each answer: what ran, so that a caller can verify that it is its own call.
type answer struct {
	Entry
	// Serial counts the calls that ran, from 1.
	Serial int    `json:"serial"`
	Filler string `json:"filler,omitempty"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		http.Error(w, "the body is incomplete", http.StatusBadRequest)
		return
	}
	f := s.takeFault()
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	switch f.Kind {
	case Hangup:
		panic(http.ErrAbortHandler)
	case Refuse:
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the service is full", http.StatusServiceUnavailable)
		return
	case Slow:
		time.Sleep(f.Delay)
	}
	sum := sha256.Sum256(body)
	data := s.run(Entry{
		Key: r.Header.Get("Idempotency-Key"), Attempt: attempt, Method: r.Method, Path: r.URL.Path,
		Digest: hex.EncodeToString(sum[:]),
	})
	switch f.Kind {
	case Crash:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Status:
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	case Crossed:
		w.Header().Set("Attempt-Id", "another-attempt")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Kind == Truncate {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// run enters the call in the ledger and returns its answer.
func (s *Service) run(entry Entry) []byte {
	s.mu.Lock()
	s.ledger = append(s.ledger, entry)
	serial, size := len(s.ledger), s.size
	s.mu.Unlock()
	filler := make([]byte, size)
	for i := range filler {
		filler[i] = 'x'
	}
	data, err := json.Marshal(answer{Entry: entry, Serial: serial, Filler: string(filler)})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return data
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "the fault is malformed", http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Ledger())
}
