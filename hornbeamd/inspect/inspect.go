// Package inspect tells operators what a router on the platform believes, and why it does or does not use a backend server.
package inspect

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
	"github.com/zeromicro/go-zero/rest/httpx"

	"hornbeamstep.example/ports/transport"
)

// Path is the path of a report at a router's metrics address.
const Path = "/status"

// Report is what one router believes. Times are in milliseconds; ages that are negative mean never.
type Report struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	Uptime int64  `json:"uptime_ms"`
	// Ready routers take callers, and Draining ones are about to stop.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Active is the number of requests in progress.
	Active  int     `json:"active"`
	Config  Config  `json:"config"`
	Store   Store   `json:"store"`
	Routers []Peer  `json:"routers"`
	Servers []Usage `json:"servers"`
	// Outcomes counts the requests by what became of them.
	Outcomes map[string]int `json:"outcomes"`
}

// Config is the configuration in force. Version is 0 if there is none.
type Config struct {
	Version int64 `json:"version"`
	Age     int64 `json:"age_ms"`
	Routes  int   `json:"routes"`
	// From is the store or the router from which it came.
	From string `json:"from"`
}

// Store is what is known of the platform's metadata store.
type Store struct {
	// Watching is true if this router watches the store for others.
	Watching bool `json:"watching"`
	// Lost is true if the store did not answer the latest call of this router.
	Lost bool `json:"lost"`
	// Contact is the age of its last answer to this router, and Newest of that to any router, as far as it is known.
	Contact int64 `json:"contact_ms"`
	Newest  int64 `json:"newest_ms"`
	// Servers is the revision of the backend servers, and Kept the number of those that are used although their entry is missing.
	Servers int64 `json:"servers_revision"`
	Kept    int   `json:"kept"`
}

// Peer is another router that is heard.
type Peer struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	// Heard is the age of its latest heartbeat.
	Heard   int64 `json:"heard_ms"`
	Config  int64 `json:"config"`
	Servers int64 `json:"servers_revision"`
}

// Usage is a backend server and how this router uses it.
type Usage struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State says whether it gets requests, and why not.
	State string `json:"state"`
	// Own and Others are the requests in progress of this router and of the others.
	Own    int `json:"own"`
	Others int `json:"others"`
	Slots  int `json:"slots"`
	// Failing is the moving average of its failures, from 0 to 1.
	Failing float64 `json:"failing"`
}

// Handler answers with a report.
func Handler(report func(context.Context) (Report, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := report(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		httpx.OkJson(w, value)
	}
}

// Client asks routers for reports. Fields are set before use.
type Client struct {
	// Timeout is the longest time for one report.
	Timeout time.Duration
}

// Fetch asks the router whose metrics address is ip:port.
func (c Client) Fetch(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return Report{}, eris.Wrapf(err, "build the question to %s", address)
	}
	answer, err := service().DoRequest(r)
	if err != nil {
		return Report{}, eris.Wrapf(err, "ask the router at %s; give its metrics address", address)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("the router at %s answered with status %d; give its metrics address", address, answer.StatusCode)
	}
	var report Report
	err = json.NewDecoder(answer.Body).Decode(&report)
	return report, eris.Wrapf(err, "decode the report of the router at %s", address)
}

func service() httpc.Service { return transport.New("inspect", http.DefaultClient) }
