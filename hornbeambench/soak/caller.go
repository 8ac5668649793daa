package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"hornbeamstep.example/platform/standin"
)

const (
	// lastingKey is in each version of the configuration, and changingKey in some.
	lastingKey  = "lasting"
	changingKey = "changing"
	// entryEvery is how long callers keep an answer where to connect.
	entryEvery = time.Second
	// patience is how long a caller waits for the end of an answer.
	patience = 8 * time.Second
)

// paths holds what callers ask for.
var paths = []string{"/once/x", "/once/x", "/again/x", "/stream/x", "/resume/stream/x"}

// caller sends one request after another. It uses its connection until the router closes it, whatever it learns of other routers.
type caller struct {
	world  *world
	random *rand.Rand
	name   string

	client *http.Client
	router string
	sent   int
	known  []string
	asked  time.Time
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.client == nil && !c.connect(ctx) {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		c.request()
		pause(ctx, time.Duration(c.random.IntN(60))*time.Millisecond)
	}
	c.disconnect()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// connect asks a router where to connect, unless the latest answer is fresh, and chooses one.
func (c *caller) connect(ctx context.Context) bool {
	if time.Since(c.asked) > entryEvery || len(c.known) == 0 {
		ask := c.world.routers[c.random.IntN(len(c.world.routers))]
		ctx, cancel := context.WithTimeout(ctx, entryEvery)
		defer cancel()
		addresses, err := standin.Resolve(ctx, ask.directory, "z1")
		if err != nil || len(addresses) == 0 {
			return false
		}
		c.known, c.asked = addresses, time.Now()
	}
	front := c.known[c.random.IntN(len(c.known))]
	r := c.world.byFront[front]
	if r == nil {
		c.known = nil
		return false
	}
	c.router = r.id
	c.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: entryEvery}).DialContext(ctx, network, r.callers.address())
		},
	}}
	return true
}

func (c *caller) disconnect() {
	if c.client != nil {
		c.client.CloseIdleConnections()
		c.client = nil
	}
}

// request sends a request and notes what came of it.
func (c *caller) request() {
	c.sent++
	q := request{
		Attempt: fmt.Sprintf("%s-%d", c.name, c.sent), Path: paths[c.random.IntN(len(paths))], Key: lastingKey, Router: c.router,
	}
	q.Body = "body of " + q.Attempt
	if c.random.IntN(5) == 0 {
		q.Key = changingKey
	}
	limit := patience
	if c.random.IntN(20) == 0 {
		limit, q.Left = time.Duration(20+c.random.IntN(150))*time.Millisecond, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q.Sent = time.Now()
	spent := c.exchange(ctx, &q)
	q.Ended = time.Now()
	// Those that were answered before they would have left have not left.
	q.Left = q.Left && ctx.Err() != nil
	c.world.evidence.addRequest(q)
	if spent {
		c.disconnect()
	}
}

// exchange is true if the connection is of no further use.
func (c *caller) exchange(ctx context.Context, q *request) bool {
	answer, err := standin.Request{
		Address: standin.Host, Path: q.Path, Attempt: q.Attempt, Key: q.Key, Body: q.Body, Timeout: patience,
	}.Send(ctx, c.client)
	if err != nil {
		q.Broken = true
		return true
	}
	q.Status, q.Answer, q.Signature, q.Broken = answer.Status, answer.Body, answer.Signature, answer.Err != nil
	return answer.Err != nil || answer.Close
}
