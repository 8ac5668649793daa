package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/metadata"
	"hornbeamstep.example/routing/reach"
	"hornbeamstep.example/routing/roster"
)

// Headers of relayed requests and of the responses to them. Clients and backend servers don't get
// them.
const (
	// relayedByHeader is the ID of the router that relays a request.
	relayedByHeader = "Hornbeam-Relayed-By"
	// recordsOriginHeader is "1" if the relaying router records where the stream begins. Routers of
	// releases that leave it out expect that of the peer.
	recordsOriginHeader = "Hornbeam-Records-Origin"
	// sentHeader is the number of backend servers that may have received the request.
	sentHeader = "Hornbeam-Sent"
	// serviceHeader is the service of the request, and versionHeader the software version of the
	// server that began the stream; absent before it has begun.
	serviceHeader = "Hornbeam-Service"
	versionHeader = "Hornbeam-Version"
	// outcomeHeader is the outcome of a request to which the peer itself responds.
	outcomeHeader = "Hornbeam-Outcome"
)

const (
	// maxRelays limits the peers that are tried for one request while the path is lost. Otherwise
	// one peer is tried, after minUnreachable servers could not be reached.
	maxRelays      = 3
	minUnreachable = 2
	// peerRetryInterval is how long a peer that could not relay a request is avoided.
	peerRetryInterval = time.Second
	// viaPeer is the reason of the choice of a peer.
	viaPeer balance.Reason = "relayed"
	// noPath is the reason why no server is chosen if neither this router nor a peer has a path to
	// the servers. It is also the outcome of a relayed request at a router without a path.
	noPath = "no_path"
)

// PeerRouter is another router that may relay requests.
type PeerRouter struct {
	reach.Peer
	// Config is the version of its configuration, and Unreached holds the services whose servers it
	// doesn't reach.
	Config    int64
	Unreached []string
}

// Relays sends requests through other routers while this router has no path to the backend servers.
// It is safe for concurrent use. Pool must be set before first use.
type Relays struct {
	// Pool holds the connections to other routers.
	Pool *backend.Pool

	mu    sync.Mutex
	peers []PeerRouter
	// avoidUntil holds the peers that could not relay a request, by ID.
	avoidUntil map[string]time.Time
}

// NewRelays returns a Relays that knows no peers.
func NewRelays(pool *backend.Pool) *Relays {
	return &Relays{Pool: pool, avoidUntil: map[string]time.Time{}}
}

// SetPeers replaces the other routers that take requests.
func (r *Relays) SetPeers(peers []PeerRouter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
}

// choose returns a peer for a request, other than those in avoid. Peers with an older configuration
// than this router, and those in zones that are not allowed, are left out.
func (r *Relays) choose(now time.Time, service string, config int64, zone string, draw float64, avoid []string, allowsZone func(string) bool) (reach.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var eligible []reach.Peer
	for _, p := range r.peers {
		if p.Config >= config && allowsZone(p.Zone) && !slices.Contains(p.Unreached, service) && !slices.Contains(avoid, p.ID) && !now.Before(r.avoidUntil[p.ID]) {
			eligible = append(eligible, p.Peer)
		}
	}
	return reach.ChoosePeer(eligible, zone, draw)
}

// recordFailure records that a peer could not relay a request.
func (r *Relays) recordFailure(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[id] = now.Add(peerRetryInterval)
}

// relayRequest is what another router states about a request that it relays.
type relayRequest struct {
	// by is the ID of the router; empty if the request comes from a client.
	by string
	// sent is the number of servers that may have received the request before.
	sent    int
	service string
	// version is the one at which the stream must go on, if hasVersion is true.
	version    string
	hasVersion bool
	// recordsOrigin is true if the relaying router records where the stream begins.
	recordsOrigin bool
}

// RelayHandler returns the handler for requests that other routers relay.
func (s *Server) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A missing or invalid number counts as 0.
		sent, _ := strconv.Atoi(r.Header.Get(sentHeader))
		version, hasVersion := r.Header[versionHeader]
		request := relayRequest{
			by: r.Header.Get(relayedByHeader), sent: max(0, sent), service: r.Header.Get(serviceHeader), hasVersion: hasVersion,
			recordsOrigin: r.Header.Get(recordsOriginHeader) == "1",
		}
		if request.by == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if hasVersion {
			request.version = version[0]
		}
		removeRelayHeaders(r.Header)
		s.serve(w, r, request)
	})
}

func removeRelayHeaders(h http.Header) {
	for _, name := range []string{relayedByHeader, recordsOriginHeader, sentHeader, serviceHeader, versionHeader, outcomeHeader} {
		h.Del(name)
	}
}

// isRelayed reports whether another router relays the request to this one. Such a request is not
// relayed again.
func (c *clientRequest) isRelayed() bool { return c.relayed.by != "" }

// acceptRelay applies what the relaying router states, and returns a rejection if this router can't
// reach the servers either.
func (c *clientRequest) acceptRelay() *rejection {
	if !c.isRelayed() {
		return nil
	}
	if !c.hasService(c.relayed.service) {
		return &rejection{http.StatusServiceUnavailable, "no_route", noServerRetryAfter}
	}
	c.service = c.table.Service(c.relayed.service)
	c.version, c.hasVersion, c.sentAttempts = c.relayed.version, c.relayed.hasVersion, c.relayed.sent
	if c.server.Paths.IsLost(c.service.Name) {
		return &rejection{http.StatusServiceUnavailable, noPath, noServerRetryAfter}
	}
	return nil
}

// relayWriter adds the headers for the relaying router when the response starts.
type relayWriter struct {
	http.ResponseWriter
	request *clientRequest
}

// WriteHeader implements http.ResponseWriter.
func (w *relayWriter) WriteHeader(status int) {
	c, h := w.request, w.Header()
	removeRelayHeaders(h)
	c.mu.Lock()
	sent := c.sentAttempts - c.relayed.sent
	if c.hasVersion {
		h.Set(versionHeader, c.version)
	}
	c.mu.Unlock()
	if a := c.current; a != nil && a.sent {
		sent++
	}
	h.Set(sentHeader, strconv.Itoa(sent))
	if c.rejectedAs != "" {
		h.Set(outcomeHeader, c.rejectedAs)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *relayWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// chooseRelay chooses a peer for an attempt if this router has no path to the servers. It returns
// false if the attempt must go to a server directly.
func (a *attempt) chooseRelay(avoid []string) bool {
	c := a.request
	c.mu.Lock()
	avoid = slices.Concat(avoid, c.triedServers)
	relays, unreachable := c.relays, c.unreachable
	c.mu.Unlock()
	limit := 0
	switch {
	case c.isRelayed():
	case c.server.Paths.IsLost(c.service.Name):
		limit = maxRelays
	case unreachable >= minUnreachable:
		limit = 1
	}
	if relays >= limit {
		return false
	}
	peer, found := c.server.Relays.choose(time.Now(), c.service.Name, c.table.Version(), c.server.Zone, c.server.Upstreams.RandomFraction(), avoid, c.allowsZone)
	if !found {
		return false
	}
	c.mu.Lock()
	c.relays++
	c.mu.Unlock()
	a.viaPeer = true
	a.choice = serverChoice{Choice: balance.Choice{
		Server: roster.Server{ID: peer.ID, Address: peer.Address, Service: c.service.Name}, Reason: viaPeer, Priority: c.priority, Candidates: 1,
	}}
	return true
}

// relayedRequest builds the request to the peer of the attempt.
func (a *attempt) relayedRequest() *backend.Request {
	c := a.request
	forward := metadata.Forward{LastEventID: a.lastEventID}
	if !c.deadline.IsZero() {
		forward.TimeLeft = time.Until(c.deadline)
	}
	header := c.server.Codec.BuildRelayHeader(c.r.Header, forward)
	removeRelayHeaders(header)
	header.Set(relayedByHeader, c.server.ID)
	header.Set(recordsOriginHeader, "1")
	header.Set(serviceHeader, c.service.Name)
	header.Set(sentHeader, strconv.Itoa(a.sentBefore))
	c.mu.Lock()
	if c.hasVersion {
		header.Set(versionHeader, c.version)
	}
	c.mu.Unlock()
	return &backend.Request{
		Address: a.choice.Server.Address, Method: c.r.Method, Target: c.target, Host: c.r.Host, Header: header, Body: c.body, HasBody: c.hasBody,
		Attempt: c.metadata.Attempt, AtMostOnce: !c.route.Retryable(),
	}
}

// openRelay sends the request to the peer and waits for the header of the response, like open.
func (a *attempt) openRelay() (balance.Outcome, attemptResult) {
	c := a.request
	response, err := c.server.Relays.Pool.Do(a.ctx, a.relayedRequest())
	if err != nil {
		outcome, result := a.classifyRequestError(err)
		if outcome == balance.Unreachable || outcome == balance.Broken {
			c.server.Relays.recordFailure(time.Now(), a.choice.Server.ID)
		}
		return outcome, result
	}
	a.peerOutcome = response.Header.Get(outcomeHeader)
	sent, invalid := strconv.Atoi(response.Header.Get(sentHeader))
	if invalid != nil {
		// The response is not that of a router, so the request may have been sent.
		sent = 1
	}
	a.sentByPeer, a.versionAtPeer = max(0, sent), response.Header.Get(versionHeader)
	removeRelayHeaders(response.Header)
	a.sent = a.sentByPeer > 0
	c.server.Log.Info("another router has answered a relayed request", zap.String("id", c.metadata.Attempt), zap.Int("try", a.number), zap.String("peer", a.choice.Server.ID),
		zap.Int("status", response.Status), zap.String("outcome", a.peerOutcome), zap.Int("sent", a.sentByPeer), zap.Duration("took", time.Since(a.startedAt)))
	if a.peerOutcome != "" && !a.sent && !isVerdict(a.peerOutcome) {
		response.Close()
		c.server.Relays.recordFailure(time.Now(), a.choice.Server.ID)
		return balance.Unreachable, attemptNotRun
	}
	a.mayHaveRun = a.sent && response.Status != http.StatusServiceUnavailable
	if response.Status/100 == 2 && (!response.Signed || response.Attempt != c.metadata.Attempt) {
		response.Close()
		return balance.Broken, attemptMayHaveRun
	}
	a.response = response
	return balance.Answered, attemptFinished
}

// isVerdict reports whether a peer's rejection with an outcome holds for all routers. Otherwise
// another one may serve the request.
func isVerdict(outcome string) bool {
	switch outcome {
	case string(balance.Full), string(balance.Limited), crashingRequest, crashingPart, deniedRetryBudget, deniedAttempts, unknownOrigin, versionGone, "deadline":
		return true
	}
	return false
}

// relayRejection sends the rejection of the peer to the client.
func (c *clientRequest) relayRejection(a *attempt) (balance.Outcome, attemptResult) {
	buffered, err := a.readBuffered()
	if err != nil {
		return a.classifyReadError()
	}
	if c.mayHaveRun && buffered.status == http.StatusServiceUnavailable {
		// The peer does not know that the request may have run before.
		c.fail(a.peerOutcome)
	} else {
		c.sendBuffered(buffered, a.peerOutcome)
	}
	return balance.Abandoned, attemptFinished
}
