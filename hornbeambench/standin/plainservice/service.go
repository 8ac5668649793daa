// Package plainservice provides a simulated service that is not a model engine, for tests and
// experiments. It is an HTTP server that runs calls, records each call that it ran, and injects
// faults.
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

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// Hangup closes the connection without running the call.
	Hangup FaultKind = "hangup"
	// Crash closes the connection after running the call, without a response.
	Crash FaultKind = "crash"
	// Hang runs the call and sends no response until the client disconnects.
	Hang FaultKind = "hang"
	// Slow waits for Delay before running the call.
	Slow FaultKind = "slow"
	// Truncate closes the connection after sending half of the response body.
	Truncate FaultKind = "truncate"
	// WrongAttemptID runs the call and responds with the Attempt-Id of another call.
	WrongAttemptID FaultKind = "crossed"
	// Refuse responds with status 503 and the header Not-Run, without running the call.
	Refuse FaultKind = "refuse"
	// ErrorStatus responds with status 500 after running the call.
	ErrorStatus FaultKind = "status"
)

// Fault is an injected fault. The zero value injects none.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Times is the number of calls that the fault affects; 0 means all until it is replaced.
	Times int `json:"times,omitempty"`
	// Delay is the delay of Slow; other kinds ignore it.
	Delay time.Duration `json:"delay,omitempty"`
}

// ExecutedCall is a call that ran.
type ExecutedCall struct {
	// Key is the header Idempotency-Key, Attempt the header Attempt-Id.
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Digest is the SHA-256 hash of the request body, in hexadecimal.
	Digest string `json:"digest"`
}

// Service is a running simulated service.
type Service struct {
	server  *http.Server
	address string

	mu    sync.Mutex
	fault Fault
	// faultsLeft is the number of calls to which fault still applies; -1 means all.
	faultsLeft int
	// executed contains the calls in the order in which they ran.
	executed []ExecutedCall
	// fillerBytes is the length of the filler in each response.
	fillerBytes int
}

// Start starts the stand-in on an address in the form ip:port. Port 0 selects a free port.
func Start(address string) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; use a free address", address)
	}
	s := &Service{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /ledger", s.serveExecutedCalls)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go s.server.Serve(listener) //nolint:errcheck // Serve always returns an error after Close.
	return s, nil
}

// Address returns the ip:port on which the stand-in listens.
func (s *Service) Address() string { return s.address }

// Close stops the stand-in.
func (s *Service) Close() { _ = s.server.Close() }

// SetFault replaces the injected fault.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = f, f.Times
	if f.Times == 0 {
		s.faultsLeft = -1
	}
}

// SetFillerBytes adds a filler of n bytes to each response.
func (s *Service) SetFillerBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fillerBytes = n
}

// ExecutedCalls returns the calls that ran, oldest first.
func (s *Service) ExecutedCalls() []ExecutedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ExecutedCall(nil), s.executed...)
}

// ExecutionCount returns the number of calls that ran with this idempotency key.
func (s *Service) ExecutionCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, call := range s.executed {
		if call.Key == key {
			count++
		}
	}
	return count
}

// nextFault returns the fault for a new call and counts the call against Fault.Times.
func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsLeft == 0 {
		return Fault{}
	}
	if s.faultsLeft > 0 {
		s.faultsLeft--
	}
	return s.fault
}

// response is the body of a response. It describes the call that ran, so that a caller can verify
// that the response belongs to its own call.
type response struct {
	ExecutedCall
	// Serial is the number of the call in the order of execution, from 1.
	Serial int    `json:"serial"`
	Filler string `json:"filler,omitempty"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		http.Error(w, "the body is incomplete", http.StatusBadRequest)
		return
	}
	f := s.nextFault()
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
	data := s.execute(ExecutedCall{
		Key: r.Header.Get("Idempotency-Key"), Attempt: attempt, Method: r.Method, Path: r.URL.Path,
		Digest: hex.EncodeToString(sum[:]),
	})
	switch f.Kind {
	case Crash:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case ErrorStatus:
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	case WrongAttemptID:
		w.Header().Set("Attempt-Id", "another-attempt")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Kind == Truncate {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// execute records the call in executed and returns the response body.
func (s *Service) execute(call ExecutedCall) []byte {
	s.mu.Lock()
	s.executed = append(s.executed, call)
	serial, fillerBytes := len(s.executed), s.fillerBytes
	s.mu.Unlock()
	filler := make([]byte, fillerBytes)
	for i := range filler {
		filler[i] = 'x'
	}
	data, err := json.Marshal(response{ExecutedCall: call, Serial: serial, Filler: string(filler)})
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

func (s *Service) serveExecutedCalls(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.ExecutedCalls())
}
