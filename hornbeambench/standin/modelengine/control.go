package modelengine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// loadReport is the load of the engine at one point in time.
type loadReport struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Load    float64   `json:"load"`
	At      time.Time `json:"at"`
	Models  []string  `json:"models"`
	Boot    string    `json:"boot"`
}

// order is a control command to the engine, such as to load a model.
type order struct {
	// Fence is the fencing token of the sender.
	Fence int64 `json:"fence"`
	// Kind is "load", "unload", "role" or "drain".
	Kind string `json:"kind"`
	// State is the model to load or unload, the role, or "off" to end a drain. Any other state of a
	// drain starts one.
	State string `json:"state"`
	// Expires is the time after which the order is rejected; zero if it does not expire.
	Expires time.Time `json:"expires"`
}

type orderResult struct {
	Applied bool   `json:"applied"`
	Fence   int64  `json:"fence"`
	Reason  string `json:"reason,omitempty"`
}

// engineState is the state of the engine that orders change.
type engineState struct {
	// fence is the highest fencing token that was accepted; 0 without Config.CheckFencingTokens.
	fence  int64
	models []string
	// role is stored and reported, but has no effect on the simulation.
	role     string
	draining bool
	// appliedOrders is the number of orders that were applied, even if they changed nothing.
	appliedOrders int
}

func newEngineState(models []string) engineState {
	return engineState{models: slices.Clone(models), role: "mixed"}
}

// handler returns the HTTP handler of the engine. While the engine hangs, requests wait until the
// hang ends. Requests on a silent connection get no response. Neither applies to POST /fault.
func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/streams/{attempt}/resume", e.serveResume)
	mux.HandleFunc("POST /v1/streams/{attempt}/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/kv/export", e.serveExport)
	mux.HandleFunc("POST /v1/kv/import", e.serveImport)
	mux.HandleFunc("POST /fault", e.serveFault)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/fault" && (!e.waitForHangEnd(r) || connectionOf(r).isSilent()) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// writeJSON writes v as the response body.
func writeJSON[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveLoad handles GET /v1/load. Each call records a load report. The response is the most recent
// report that is at least Config.ReportDelay old, or the oldest one if all are more recent.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	e.reports = append(e.reports, loadReport{
		Running: len(e.running), Queued: len(e.queued), Load: float64(len(e.running) + len(e.queued)),
		At: now, Models: slices.Clone(e.state.models), Boot: e.bootID,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.config.ReportDelay {
		e.reports = e.reports[1:]
	}
	delayed := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, delayed)
}

// serveEvents handles GET /v1/events?after=N. It returns the cache events with a sequence number
// above N that are at least Config.ReportDelay old.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	until := time.Now().Add(-e.config.ReportDelay)
	e.mu.Lock()
	events, bootID := e.cache.eventsAfter(after, until), e.bootID
	e.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Seq
	}
	writeJSON(w, struct {
		Boot   string       `json:"boot"`
		Events []cacheEvent `json:"events"`
		Next   int64        `json:"next"`
	}{bootID, events, next})
}

// serveOrder handles POST /v1/orders.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "the order is malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	result := e.applyOrderLocked(o)
	e.mu.Unlock()
	writeJSON(w, result)
}

// applyOrderLocked applies an order. It rejects an expired order, an order of an unknown kind and,
// with Config.CheckFencingTokens, an order whose fencing token is below the highest accepted one.
func (e *Engine) applyOrderLocked(o order) orderResult {
	if !o.Expires.IsZero() && time.Now().After(o.Expires) {
		return orderResult{Fence: e.state.fence, Reason: "expired"}
	}
	if e.config.CheckFencingTokens {
		if o.Fence < e.state.fence {
			return orderResult{Fence: e.state.fence, Reason: "old fencing number"}
		}
		e.state.fence = o.Fence
	}
	loaded := slices.Contains(e.state.models, o.State)
	switch o.Kind {
	case "load":
		if !loaded {
			e.loadModelLocked(o.State)
		}
	case "unload":
		e.state.models = slices.DeleteFunc(e.state.models, func(m string) bool { return m == o.State })
	case "role":
		e.state.role = o.State
	case "drain":
		e.state.draining = o.State != "off"
	default:
		return orderResult{Fence: e.state.fence, Reason: "unknown kind"}
	}
	e.state.appliedOrders++
	return orderResult{Applied: true, Fence: e.state.fence}
}

// loadModelLocked adds a model after Config.ModelLoadTime, unless the engine stops in the meantime.
func (e *Engine) loadModelLocked(model string) {
	if e.config.ModelLoadTime <= 0 {
		e.state.models = append(e.state.models, model)
		return
	}
	bootID := e.bootID
	time.AfterFunc(e.config.ModelLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.bootID == bootID && !slices.Contains(e.state.models, model) {
			e.state.models = append(e.state.models, model)
		}
	})
}

// AppliedOrderCount returns the number of orders that were applied since the last start, including
// orders that changed nothing.
func (e *Engine) AppliedOrderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.appliedOrders
}

// LoadedModels returns the loaded models and adapters.
func (e *Engine) LoadedModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.state.models)
}

// serveState handles GET /v1/state.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	response := struct {
		Models   []string `json:"models"`
		Role     string   `json:"role"`
		Draining bool     `json:"draining"`
		Fence    int64    `json:"fence"`
		Boot     string   `json:"boot"`
	}{slices.Clone(e.state.models), e.state.role, e.state.draining, e.state.fence, e.bootID}
	e.mu.Unlock()
	writeJSON(w, response)
}
