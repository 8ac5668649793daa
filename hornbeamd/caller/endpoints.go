package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"hornbeamstep.example/routing/outcome"
)

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

// models is GET /v1/models: the models, and their adapters, that the account may reach.
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
	list := modelsWire{Object: "list", Data: []modelWire{}}
	for _, name := range names {
		list.Data = append(list.Data, modelWire{ID: name, Object: "model", Owner: "hornbeamstep"})
	}
	return replyJSON(c, list)
}

// route is GET /v1/route.
func (c *call) route() *outcome.Error {
	if e := c.identify(); e != nil {
		return e
	}
	query := c.r.URL.Query()
	chat, model := query.Get("chat"), query.Get("model")
	if len(chat) > maxName || len(model) > maxName {
		return asOutcome(errMalformed("a name is longer than 256 bytes", nil))
	}
	answer := c.s.dispatcher.Route(c.account.Name, model, chat)
	if answer.Addresses == nil {
		answer.Addresses = []Address{}
	}
	if answer.Lifetime <= 0 {
		answer.Lifetime = int(seconds(c.s.options.Lifetime))
	}
	return replyJSON(c, answer)
}

// ready is GET /readyz.
func (c *call) ready() *outcome.Error {
	err := c.s.dispatcher.Ready()
	if err == nil && c.s.dispatcher.Draining() {
		err = errDraining(nil)
	}
	if err == nil {
		return c.reply(http.StatusOK, "text/plain; charset=utf-8", []byte("ready\n"))
	}
	e := *asOutcome(err)
	e.Message = err.Error()
	e.Status = http.StatusServiceUnavailable
	return &e
}

// health is GET /healthz: the process answers.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

func replyJSON[T any](c *call, v T) *outcome.Error {
	data, err := json.Marshal(v)
	if err != nil {
		return asOutcome(err)
	}
	return c.reply(http.StatusOK, "application/json", data)
}

// errDraining is the refusal of a router that is shutting down.
func errDraining(addresses []string) *outcome.Error {
	e := refuse(outcome.Draining, http.StatusServiceUnavailable, "the router is shutting down", "use another router")
	e.RetryAfter = time.Second
	e.Addresses = addresses
	return e
}
