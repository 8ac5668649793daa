package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// routeTimeout is the timeout of one route query.
const routeTimeout = 2 * time.Second

// routeCache caches the route of each chat until its lifetime ends.
type routeCache struct {
	// seedRouters are the routers to query for routes. They are also tried if no router of a route
	// accepts a connection.
	seedRouters []string
	client      *http.Client
	model       string

	mu sync.Mutex
	// routes is keyed by API key and chat.
	routes map[string]route
	// queries is the number of route queries so far. It selects the seed router to query first.
	queries int
}

type route struct {
	addresses []string
	expires   time.Time
}

type wireRoute struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	Lifetime float64 `json:"lifetime"`
}

// addresses returns the routers to try, in order: first those of the route of the chat, then the
// seed routers.
func (c *routeCache) addresses(ctx context.Context, apiKey, chat string) []string {
	cacheKey := apiKey + "\x00" + chat
	c.mu.Lock()
	cached, ok := c.routes[cacheKey]
	c.mu.Unlock()
	if !ok || time.Now().After(cached.expires) {
		cached = c.queryRoute(ctx, apiKey, chat)
		c.mu.Lock()
		c.routes[cacheKey] = cached
		c.mu.Unlock()
	}
	// The limited capacity makes append copy the cached slice instead of writing to it.
	return append(cached.addresses[:len(cached.addresses):len(cached.addresses)], c.seedRouters...)
}

// invalidate removes the route of a chat. The next attempt or request of the chat queries the seed
// routers for a new route.
func (c *routeCache) invalidate(apiKey, chat string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.routes, apiKey+"\x00"+chat)
}

// queryRoute queries the seed routers one by one until one responds, starting with a different one
// each time. If none responds, it returns a route without addresses that expires after one second,
// so that requests are sent to the seed routers.
func (c *routeCache) queryRoute(ctx context.Context, apiKey, chat string) route {
	c.mu.Lock()
	first := c.queries
	c.queries++
	c.mu.Unlock()
	for i := range c.seedRouters {
		found, err := c.queryRouter(ctx, c.seedRouters[(first+i)%len(c.seedRouters)], apiKey, chat)
		if err == nil {
			return found
		}
	}
	return route{expires: time.Now().Add(time.Second)}
}

func (c *routeCache) queryRouter(ctx context.Context, router, apiKey, chat string) (route, error) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	values := url.Values{"model": {c.model}, "chat": {chat}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+"/v1/route?"+values.Encode(), nil)
	if err != nil {
		return route{}, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := c.client.Do(request)
	if err != nil {
		return route{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return route{}, fmt.Errorf("route query to %s returned status %d", router, response.StatusCode)
	}
	var wire wireRoute
	if err := json.NewDecoder(response.Body).Decode(&wire); err != nil {
		return route{}, err
	}
	found := route{expires: time.Now().Add(time.Duration(wire.Lifetime * float64(time.Second)))}
	for _, a := range wire.Addresses {
		found.addresses = append(found.addresses, a.Address)
	}
	return found, nil
}
