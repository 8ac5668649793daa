package modelengine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

const (
	// Crash crashes the engine when a response has reached AfterTokens tokens.
	Crash FaultKind = "crash"
	// Hang blocks all requests and the batch for Delay, or until the fault is cleared.
	Hang FaultKind = "hang"
	// Silent stops sending data on the connection of a response after AfterTokens tokens and leaves
	// it open. New connections work.
	Silent FaultKind = "silent"
	// Slow waits for Delay before each token.
	Slow FaultKind = "slow"
	// Truncate closes the connection of a stream after AfterTokens tokens, or of a response
	// without streaming after half of its Content-Length.
	Truncate FaultKind = "truncate"
	// Duplicate sends the chunk that follows the first AfterTokens tokens twice.
	Duplicate FaultKind = "duplicate"
	// WrongAttemptID sends the attempt ID of another request. In a stream it is in the chunk that
	// follows the first AfterTokens tokens, and also in the header if AfterTokens is 0. Without
	// streaming it is in both.
	WrongAttemptID FaultKind = "crossed"
	// Skip omits the chunk that follows the first AfterTokens tokens.
	Skip FaultKind = "skip"
	// Late waits for Delay before the response header.
	Late FaultKind = "late"
	// Refuse responds with status 503 and the Not-Run header, without starting the request.
	Refuse FaultKind = "refuse"
	// ErrorStatus starts and cancels the request, then responds with StatusCode.
	ErrorStatus FaultKind = "status"
	// Burst generates the whole response in one step.
	Burst FaultKind = "burst"
	// Hangup closes the connection after reading the request, without starting it.
	Hangup FaultKind = "hangup"
	// ExportSlow waits for Delay after the first half of an exported KV cache.
	ExportSlow FaultKind = "export slow"
	// ExportCut closes the connection after the first half of an exported KV cache.
	ExportCut FaultKind = "export cut"
	// ImportRefuse responds to an import with StatusCode.
	ImportRefuse FaultKind = "import refuse"
	// ImportSlow waits for Delay before adding an imported KV cache.
	ImportSlow FaultKind = "import slow"
)

// affectsKV reports whether the fault affects only exports and imports of KV caches.
func (k FaultKind) affectsKV() bool {
	return k == ExportSlow || k == ExportCut || k == ImportRefuse || k == ImportSlow
}

// Fault is a fault to inject. The zero value injects none.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// AfterTokens is the number of response tokens before the fault takes effect.
	AfterTokens int `json:"after,omitempty"`
	// Times is the number of requests that the fault affects; 0 means all until it is cleared.
	Times int `json:"times,omitempty"`
	// Delay is the duration of a delay or a hang. For a crash it is the time until the restart; 0
	// means no restart.
	Delay time.Duration `json:"delay,omitempty"`
	// StatusCode is the HTTP status of a response. With 0, ErrorStatus uses 500 and ImportRefuse
	// 507.
	StatusCode int `json:"code,omitempty"`
	// PromptContains restricts the fault to prompts that contain this text.
	PromptContains string `json:"marker,omitempty"`
}

// SetFault replaces the active fault. If the engine hangs because of that fault, the hang ends.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endHangLocked()
	e.fault = f
	e.faultsLeft = f.Times
	if f.Times == 0 {
		e.faultsLeft = -1
	}
	if f.Kind != Hang {
		return
	}
	hangEnd := make(chan struct{})
	e.hangEnd = hangEnd
	if f.Delay > 0 {
		time.AfterFunc(f.Delay, func() { e.endHang(hangEnd) })
	}
}

// endHang ends the hang that hangEnd belongs to, unless it has already ended.
func (e *Engine) endHang(hangEnd chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hangEnd == hangEnd {
		e.endHangLocked()
	}
}

func (e *Engine) endHangLocked() {
	if e.hangEnd != nil {
		close(e.hangEnd)
		e.hangEnd = nil
	}
}

// SilenceConnections stops sending data on all connections that are open now and leaves them open.
func (e *Engine) SilenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// nextFault returns the fault for a new request with this prompt and counts the request against
// Fault.Times.
func (e *Engine) nextFault(prompt string) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 || e.fault.Kind == "" || e.fault.Kind == Hang || e.fault.Kind.affectsKV() {
		return Fault{}
	}
	if !strings.Contains(prompt, e.fault.PromptContains) {
		return Fault{}
	}
	if e.faultsLeft > 0 {
		e.faultsLeft--
	}
	return e.fault
}

// nextKVFault returns the fault for a new export or import and counts it against Fault.Times.
func (e *Engine) nextKVFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 || !e.fault.Kind.affectsKV() {
		return Fault{}
	}
	if e.faultsLeft > 0 {
		e.faultsLeft--
	}
	return e.fault
}

// crashAndRestart crashes the engine and, if f.Delay is set, restarts it after that delay. A failed
// restart is retried once.
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

// waitForHangEnd blocks a request while the engine hangs. It returns false if the client
// disconnects first.
func (e *Engine) waitForHangEnd(r *http.Request) bool {
	e.mu.Lock()
	hangEnd := e.hangEnd
	e.mu.Unlock()
	if hangEnd == nil {
		return true
	}
	select {
	case <-hangEnd:
		return true
	case <-r.Context().Done():
		return false
	}
}

// serveFault handles POST /fault, also while the engine hangs.
func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "the fault is malformed: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}
