package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamstep.example/platform/standin"
)

const (
	// permanentKey is an API key in every version of the configuration. toggledKey is an API key
	// that changes of the configuration add and remove in turn.
	permanentKey = "lasting"
	toggledKey   = "changing"
	// resolveInterval is how long callers cache the router addresses from service discovery. It is
	// also the timeout of a service discovery request and that of dialing a router.
	resolveInterval = time.Second
	// callerTimeout is the time after which a caller cancels a request.
	callerTimeout = 8 * time.Second
)

// requestPaths holds the paths that callers request. A path occurs twice to be chosen more often.
var requestPaths = []string{"/once/x", "/once/x", "/again/x", "/stream/x", "/resume/stream/x"}

// caller sends requests one after another. It keeps using its connection until the router closes it
// or a request fails, even if service discovery no longer returns this router.
type caller struct {
	testbed *testbed
	random  *rand.Rand
	name    string

	// client is nil while no router is chosen; routerID is the ID of the chosen router.
	client    *http.Client
	routerID  string
	sentCount int
	// interrupted is the request of a stream that broke off and may be resumed; nil if there is
	// none.
	interrupted *request
	// addresses holds the router addresses from service discovery, and resolvedAt the time of the
	// response.
	addresses  []string
	resolvedAt time.Time
}

// run sends requests until the context is canceled.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.client == nil && !c.chooseRouter(ctx) {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.sendRequest()
		sleep(ctx, time.Duration(c.random.IntN(60))*time.Millisecond)
	}
	c.disconnect()
}

// sleep waits for a duration or until ctx is canceled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// chooseRouter creates a client for a random router from service discovery and reports whether it
// found one. It first refreshes addresses older than resolveInterval.
func (c *caller) chooseRouter(ctx context.Context) bool {
	if r := c.testbed.onlyRouter.Load(); r != nil {
		c.connect(r)
		return true
	}
	if time.Since(c.resolvedAt) > resolveInterval || len(c.addresses) == 0 {
		// Every router has a service discovery endpoint.
		queried := c.testbed.routers[c.random.IntN(len(c.testbed.routers))]
		ctx, cancel := context.WithTimeout(ctx, resolveInterval)
		defer cancel()
		addresses, err := standin.Resolve(ctx, queried.discoveryAddress, "z1")
		if err != nil || len(addresses) == 0 {
			return false
		}
		c.addresses, c.resolvedAt = addresses, time.Now()
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	r := c.testbed.routerByAddress[address]
	if r == nil {
		c.addresses = nil
		return false
	}
	c.connect(r)
	return true
}

// connect creates a client for a router. The first request dials the connection.
func (c *caller) connect(r *router) {
	c.routerID = r.id
	c.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: resolveInterval}).DialContext(ctx, network, r.callerProxy.address())
		},
	}}
}

func (c *caller) disconnect() {
	if c.client != nil {
		c.client.CloseIdleConnections()
		c.client = nil
	}
}

// sendRequest sends a request and records its result.
func (c *caller) sendRequest() {
	c.sentCount++
	q := request{
		Attempt: fmt.Sprintf("%s-%d", c.name, c.sentCount), Path: requestPaths[c.random.IntN(len(requestPaths))], Key: permanentKey, Router: c.routerID,
	}
	q.Body = "body of " + q.Attempt
	if c.interrupted != nil {
		q.Path, q.Body = c.interrupted.Path, c.interrupted.Body
		q.Resumes, q.LastEvent = c.interrupted.stream(), c.interrupted.lastEvent()
	}
	if c.random.IntN(5) == 0 {
		q.Key = toggledKey
	}
	timeout := callerTimeout
	if c.random.IntN(20) == 0 {
		timeout, q.Canceled = time.Duration(20+c.random.IntN(150))*time.Millisecond, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	unusable := c.exchange(ctx, &q)
	c.interrupted = nil
	if q.Incomplete && !q.Canceled && strings.HasPrefix(q.Path, "/resume/") && q.lastEvent() > 0 {
		c.interrupted = &q
	}
	if unusable {
		c.disconnect()
	}
}

// exchange sends q and records its result. It reports whether the connection can no longer be used.
func (c *caller) exchange(ctx context.Context, q *request) bool {
	q.Sent = time.Now()
	unusable := c.send(ctx, q)
	q.Ended = time.Now()
	// A request that ended before its short timeout was not canceled.
	q.Canceled = q.Canceled && ctx.Err() != nil
	c.testbed.observations.addRequest(*q)
	return unusable
}

// send sends q, stores the response in it, and reports whether the connection can no longer be
// used.
func (c *caller) send(ctx context.Context, q *request) bool {
	response, err := standin.Request{
		Address: standin.Host, Path: q.Path, Attempt: q.Attempt, Key: q.Key, Body: q.Body, Timeout: callerTimeout,
		Resumes: q.Resumes, LastEventID: strconv.Itoa(q.LastEvent),
	}.Send(ctx, c.client)
	if err != nil {
		q.Incomplete = true
		return true
	}
	q.Status, q.ResponseBody, q.Signature, q.Incomplete = response.Status, response.Body, response.Signature, response.Err != nil
	q.Leaving = response.Leaving
	return response.Err != nil || response.Close
}

// stream returns the attempt that brought the first event of the request's stream.
func (q *request) stream() string { return cmp.Or(q.Resumes, q.Attempt) }

// lastEvent returns the number of the last event that the caller has received of the stream.
func (q *request) lastEvent() int { return q.LastEvent + strings.Count(q.ResponseBody, "\n\n") }
