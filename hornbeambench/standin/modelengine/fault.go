package modelengine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// Crash ends the life of the engine when an answer has reached After tokens.
	Crash FaultKind = "crash"
	// Hang stops everything for Delay, or until the fault is cleared.
	Hang FaultKind = "hang"
	// Silent makes the connection of an answer silent for good behind After tokens; new connections work.
	Silent FaultKind = "silent"
	// Slow waits for Delay before each token.
	Slow FaultKind = "slow"
	// Truncate cuts the connection behind After tokens, or a whole answer before its Content-Length.
	Truncate FaultKind = "truncate"
	// Duplicate sends the chunk after After tokens twice.
	Duplicate FaultKind = "duplicate"
	// Crossed sends the attempt id of another request, in the header if After is 0, else in the chunk after After tokens.
	Crossed FaultKind = "crossed"
	// Skip leaves out the chunk after After tokens.
	Skip FaultKind = "skip"
	// Late waits for Delay before the header of the answer.
	Late FaultKind = "late"
	// Refuse answers 503 with Not-Run.
	Refuse FaultKind = "refuse"
	// Status answers with Code after the request was started.
	Status FaultKind = "status"
	// Burst yields the whole answer in one step.
	Burst FaultKind = "burst"
	// Hangup closes the connection when the request has been read, before anything starts.
	Hangup FaultKind = "hangup"
	// ExportSlow waits for Delay before the second half of an exported KV cache, and ExportCut closes the connection there.
	ExportSlow FaultKind = "export slow"
	ExportCut  FaultKind = "export cut"
	// ImportRefuse answers an import with Code.
	ImportRefuse FaultKind = "import refuse"
	// ImportSlow waits for Delay before an import is taken.
	ImportSlow FaultKind = "import slow"
)

// ofKV is true for the faults that act on exports and imports only.
func (k FaultKind) ofKV() bool {
	return k == ExportSlow || k == ExportCut || k == ImportRefuse || k == ImportSlow
}

// Fault is a fault to act out. The zero value is none.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is the number of tokens before the fault acts.
	After int `json:"after,omitempty"`
	// Times is the number of requests that it acts on; 0 for all until it is cleared.
	Times int `json:"times,omitempty"`
	// Delay is the time of a delay. For a crash it is the time until the restart; 0 for none.
	Delay time.Duration `json:"delay,omitempty"`
	// Code is the status of an answer; 0 stands for 500.
	Code int `json:"code,omitempty"`
	// Marker limits the fault to prompts that contain it.
	Marker string `json:"marker,omitempty"`
}

// SetFault replaces the fault in force.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.thawLocked()
	e.fault = f
	e.left = f.Times
	if f.Times == 0 {
		e.left = -1
	}
	if f.Kind != Hang {
		return
	}
	frozen := make(chan struct{})
	e.frozen = frozen
	if f.Delay > 0 {
		time.AfterFunc(f.Delay, func() { e.thaw(frozen) })
	}
}

func (e *Engine) thaw(frozen chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == frozen {
		e.thawLocked()
	}
}

func (e *Engine) thawLocked() {
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// Silence makes all connections that are open now silent for good.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// takeFault returns the fault that acts on a request with this prompt.
func (e *Engine) takeFault(prompt string) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left == 0 || e.fault.Kind == "" || e.fault.Kind == Hang || e.fault.Kind.ofKV() {
		return Fault{}
	}
	if !strings.Contains(prompt, e.fault.Marker) {
		return Fault{}
	}
	if e.left > 0 {
		e.left--
	}
	return e.fault
}

// takeKVFault returns the fault that acts on an export or import.
func (e *Engine) takeKVFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left == 0 || !e.fault.Kind.ofKV() {
		return Fault{}
	}
	if e.left > 0 {
		e.left--
	}
	return e.fault
}

// crashAndRestart acts out a crash.
func (e *Engine) crashAndRestart(f Fault) {
	e.Crash()
	if f.Delay > 0 {
		time.AfterFunc(f.Delay, func() {
			if err := e.Restart(); err != nil {
				time.AfterFunc(f.Delay, func() { _ = e.Restart() })
			}
		})
	}
}

// waitThawed blocks a request while the engine hangs. It reports whether the request goes on.
func (e *Engine) waitThawed(r *http.Request) bool {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return true
	case <-r.Context().Done():
		return false
	}
}

// serveFault is POST /fault. It works while the engine hangs.
func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "the fault is malformed: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}
