package modelengine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

type report struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Load    float64   `json:"load"`
	At      time.Time `json:"at"`
	Models  []string  `json:"models"`
	Boot    string    `json:"boot"`
}

type order struct {
	Fence   int64     `json:"fence"`
	Kind    string    `json:"kind"`
	State   string    `json:"state"`
	Expires time.Time `json:"expires"`
}

type orderResult struct {
	Applied bool   `json:"applied"`
	Fence   int64  `json:"fence"`
	Reason  string `json:"reason,omitempty"`
}

type orderState struct {
	fence    int64
	models   []string
	role     string
	draining bool
	// applied counts the orders that changed something.
	applied int
}

func newOrderState(models []string) orderState {
	return orderState{models: slices.Clone(models), role: "mixed"}
}

func (e *Engine) routes() http.Handler {
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
		if r.URL.Path != "/fault" && (!e.waitThawed(r) || connectionOf(r).isSilent()) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func reply[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveLoad is GET /v1/load. With a lag it answers with the newest report that is old enough.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	e.reports = append(e.reports, report{
		Running: len(e.running), Queued: len(e.queued), Load: float64(len(e.running) + len(e.queued)),
		At: now, Models: slices.Clone(e.orders.models), Boot: e.boot,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.config.Lag {
		e.reports = e.reports[1:]
	}
	oldest := e.reports[0]
	e.mu.Unlock()
	reply(w, oldest)
}

// serveEvents is GET /v1/events?after=N.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	until := time.Now().Add(-e.config.Lag)
	e.mu.Lock()
	events, boot := e.cache.after(after, until), e.boot
	e.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Seq
	}
	reply(w, struct {
		Boot   string       `json:"boot"`
		Events []cacheEvent `json:"events"`
		Next   int64        `json:"next"`
	}{boot, events, next})
}

// serveOrder is POST /v1/orders.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, "the order is malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	result := e.applyLocked(o)
	e.mu.Unlock()
	reply(w, result)
}

func (e *Engine) applyLocked(o order) orderResult {
	if !o.Expires.IsZero() && time.Now().After(o.Expires) {
		return orderResult{Fence: e.orders.fence, Reason: "expired"}
	}
	if e.config.Fence {
		if o.Fence < e.orders.fence {
			return orderResult{Fence: e.orders.fence, Reason: "old fencing number"}
		}
		e.orders.fence = o.Fence
	}
	loaded := slices.Contains(e.orders.models, o.State)
	switch o.Kind {
	case "load":
		if !loaded {
			e.loadLater(o.State)
		}
	case "unload":
		e.orders.models = slices.DeleteFunc(e.orders.models, func(m string) bool { return m == o.State })
	case "role":
		e.orders.role = o.State
	case "drain":
		e.orders.draining = o.State != "off"
	default:
		return orderResult{Fence: e.orders.fence, Reason: "unknown kind"}
	}
	e.orders.applied++
	return orderResult{Applied: true, Fence: e.orders.fence}
}

// loadLater adds a model when its loading time has passed.
func (e *Engine) loadLater(model string) {
	if e.config.LoadTime <= 0 {
		e.orders.models = append(e.orders.models, model)
		return
	}
	boot := e.boot
	time.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot && !slices.Contains(e.orders.models, model) {
			e.orders.models = append(e.orders.models, model)
		}
	})
}

// Orders returns the number of orders applied in the present life.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.applied
}

// Loaded returns the models and adapters that are loaded.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.models)
}

// serveState is GET /v1/state.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := struct {
		Models   []string `json:"models"`
		Role     string   `json:"role"`
		Draining bool     `json:"draining"`
		Fence    int64    `json:"fence"`
		Boot     string   `json:"boot"`
	}{slices.Clone(e.orders.models), e.orders.role, e.orders.draining, e.orders.fence, e.boot}
	e.mu.Unlock()
	reply(w, state)
}
