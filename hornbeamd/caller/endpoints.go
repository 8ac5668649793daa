package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/routing/outcome"
)

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

type modelListWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

// models handles GET /v1/models. It lists the models that the client account may use, and each of
// their adapters as MODEL:ADAPTER.
func (c *call) models() *outcome.Error {
	if e := c.identify(); e != nil {
		return e
	}
	names := []string{}
	for name, model := range c.policy.Models {
		if !allowed(c.account.Models, name) {
			continue
		}
		names = append(names, name)
		for _, adapter := range model.Adapters {
			names = append(names, name+":"+adapter)
		}
	}
	slices.Sort(names)
	list := modelListWire{Object: "list", Data: []modelWire{}}
	for _, name := range names {
		list.Data = append(list.Data, modelWire{ID: name, Object: "model", Owner: "hornbeamstep"})
	}
	return respondJSON(c, list)
}

// route handles GET /v1/route. It returns the addresses of routers that the caller can connect to,
// and how long the caller may cache them.
func (c *call) route() *outcome.Error {
	if e := c.identify(); e != nil {
		return e
	}
	query := c.r.URL.Query()
	chat, model := query.Get("chat"), query.Get("model")
	if len(chat) > maxNameBytes || len(model) > maxNameBytes {
		return asOutcomeError(errMalformed("a name is longer than 256 bytes", nil))
	}
	response := c.server.dispatcher.Route(c.account.Name, model, chat)
	if response.Addresses == nil {
		response.Addresses = []Address{}
	}
	if response.Lifetime <= 0 {
		response.Lifetime = int(seconds(c.server.options.RouteTTL))
	}
	return respondJSON(c, response)
}

// ready handles GET /readyz. It fails while the router is not ready or is shutting down.
func (c *call) ready() *outcome.Error {
	err := c.server.dispatcher.Ready()
	if err == nil && c.server.dispatcher.Draining() {
		err = errDraining(nil)
	}
	if err == nil {
		return c.respond(http.StatusOK, "text/plain; charset=utf-8", []byte("ready\n"))
	}
	e := *asOutcomeError(err)
	e.Message = err.Error()
	e.Status = http.StatusServiceUnavailable
	return &e
}

// health handles GET /healthz. It always succeeds, since a response shows that the process is
// alive.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

func respondJSON[T any](c *call, v T) *outcome.Error {
	data, err := json.Marshal(v)
	if err != nil {
		return asOutcomeError(err)
	}
	return c.respond(http.StatusOK, "application/json", data)
}

// errStopped returns the error for a request that the router ended to shut down.
func errStopped(f *exchange.Error) *outcome.Error {
	return &outcome.Error{
		Code: outcome.Interrupted, Outcome: f.Outcome(), Status: http.StatusGatewayTimeout, RetryAfter: time.Second, Cause: f,
		Message: "the router shut down before the answer was complete",
		Remedy:  "find out whether the request took effect, then send it again",
	}
}

// errDraining returns the error of a router that is shutting down. The addresses are those of the
// routers to use instead.
func errDraining(addresses []string) *outcome.Error {
	e := newRefusal(outcome.Draining, http.StatusServiceUnavailable, "the router is shutting down", "use another router")
	e.RetryAfter = time.Second
	e.Addresses = addresses
	return e
}
