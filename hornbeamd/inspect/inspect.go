// Package inspect provides the status report of a router on the platform: the state as the router
// sees it, and for each backend server whether it is used and why.
package inspect

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
	"github.com/zeromicro/go-zero/rest/httpx"

	"hornbeamstep.example/ports/transport"
)

// Path is the HTTP path of the report at a router's metrics address.
const Path = "/status"

// Report is the state of the fleet, the store and the backend servers as one router sees it. Times
// are in milliseconds; a negative age means never.
type Report struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	Uptime int64  `json:"uptime_ms"`
	// Ready is true if the router accepts requests of callers, and Draining if it is shutting down.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// ActiveRequests is the number of requests in progress.
	ActiveRequests int             `json:"active"`
	Config         Config          `json:"config"`
	Store          Store           `json:"store"`
	Routers        []Peer          `json:"routers"`
	Servers        []BackendServer `json:"servers"`
	// PromptParts holds the parts of prompts that have crashed backend servers, or may have, those
	// with the most crashes first.
	PromptParts []PromptPart `json:"prompt_parts"`
	// Unreached holds the services whose backend servers the router doesn't reach.
	Unreached []string `json:"unreached"`
	// EvacuatedZones holds the availability zones that operators have asked to evacuate.
	EvacuatedZones []string `json:"evacuated"`
	// Versions holds the software versions at which streams may be in progress, as service and
	// version, separated by a space; nil if that is not known.
	Versions []string `json:"versions"`
	// Outcomes holds the number of requests by outcome.
	Outcomes map[string]int `json:"outcomes"`
}

// Config is the configuration in force. Version is 0 if there is none.
type Config struct {
	Version int64 `json:"version"`
	Age     int64 `json:"age_ms"`
	Routes  int   `json:"routes"`
	// Source is the ID of the router from which the configuration was fetched, or "store".
	Source string `json:"from"`
}

// Store is the state of the router's contact with the platform's metadata store.
type Store struct {
	// Watching is true if this router watches the store on behalf of the others.
	Watching bool `json:"watching"`
	// LastCallFailed is true if this router's latest call to the store failed.
	LastCallFailed bool `json:"lost"`
	// ContactAge is the age of the store's last answer to this router, and FleetContactAge that of
	// its last answer to any router, as far as this router knows.
	ContactAge      int64 `json:"contact_ms"`
	FleetContactAge int64 `json:"newest_ms"`
	// ServersEra and ServersRevision are the era and the revision of the list of backend servers;
	// the era rises when the store is restored from a copy. RetainedServers is the number of
	// servers that are still used although their entry is missing from the store.
	ServersEra      int64 `json:"servers_era"`
	ServersRevision int64 `json:"servers_revision"`
	RetainedServers int   `json:"kept"`
}

// Peer is another router from which heartbeats arrive.
type Peer struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	// HeartbeatAge is the age of its last heartbeat.
	HeartbeatAge    int64 `json:"heard_ms"`
	ConfigVersion   int64 `json:"config"`
	ServersRevision int64 `json:"servers_revision"`
	// Format is the newest message format that it understands; 0 if unknown.
	Format int `json:"format"`
}

// BackendServer is a backend server and how this router uses it.
type BackendServer struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State says whether it gets requests, and otherwise why not.
	State string `json:"state"`
	// OwnRequests and OtherRequests are the numbers of requests in progress from this router and
	// from the other routers.
	OwnRequests   int `json:"own"`
	OtherRequests int `json:"others"`
	Slots         int `json:"slots"`
	// FailureRate is the moving average of its failure rate, from 0 to 1.
	FailureRate float64 `json:"failing"`
	// Limited is true if the server states a rate limit. RateLimit is that limit, in requests per
	// second from all routers together.
	Limited   bool    `json:"limited"`
	RateLimit float64 `json:"limit"`
	// Issuer is the ID of the router that issues the permits for the server while it is limited.
	Issuer string `json:"issuer"`
}

// PromptPart is a part of prompts that was at backend servers when they crashed, and that no answer
// has cleared since.
type PromptPart struct {
	// Name is the ID of the part, or its key if this router has seen no request with it.
	Name string `json:"name"`
	// Quarantined is true if prompts with the part are rejected. Parts with the same crashes are
	// rejected only together.
	Quarantined bool `json:"quarantined"`
	// Crashes identifies the crashes as in the logs, and Age is the age of the latest one.
	Crashes []string `json:"crashes"`
	Age     int64    `json:"age_ms"`
}

// Handler returns a handler that serves the report as JSON.
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

// Client fetches reports from routers.
type Client struct {
	// Timeout limits the time to fetch one report.
	Timeout time.Duration
}

// Fetch returns the report of the router with a metrics address, given as ip:port.
func (c Client) Fetch(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return Report{}, eris.Wrapf(err, "build the request to %s", address)
	}
	response, err := service().DoRequest(r)
	if err != nil {
		return Report{}, eris.Wrapf(err, "fetch the report of the router at %s; check that this is its metrics address", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("the router at %s answered with status %d; give its metrics address", address, response.StatusCode)
	}
	var report Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, eris.Wrapf(err, "decode the report of the router at %s", address)
}

// service returns the HTTP client for reports.
func service() httpc.Service {
	return transport.New("inspect", &http.Client{Transport: &http.Transport{DialContext: transport.Dial(&net.Dialer{}), DisableKeepAlives: true}})
}
