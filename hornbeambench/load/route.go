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

// routeLimit bounds one question for a route.
const routeLimit = 2 * time.Second

// book keeps route answers for their lifetime, as a caller does.
type book struct {
	seeds  []string
	client *http.Client
	model  string

	mu      sync.Mutex
	answers map[string]route
	asked   int
}

type route struct {
	addresses []string
	until     time.Time
}

type wireRoute struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	Lifetime float64 `json:"lifetime"`
}

// addresses returns the routers to try, best first: the answer for the chat, then the seeds.
func (b *book) addresses(ctx context.Context, key, chat string) []string {
	name := key + "\x00" + chat
	b.mu.Lock()
	known, ok := b.answers[name]
	b.mu.Unlock()
	if !ok || time.Now().After(known.until) {
		known = b.ask(ctx, key, chat)
		b.mu.Lock()
		b.answers[name] = known
		b.mu.Unlock()
	}
	return append(known.addresses[:len(known.addresses):len(known.addresses)], b.seeds...)
}

// forget makes the next request for a chat ask again.
func (b *book) forget(key, chat string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.answers, key+"\x00"+chat)
}

// ask asks the seeds in turn. Without any answer the seeds themselves are the route, for a second.
func (b *book) ask(ctx context.Context, key, chat string) route {
	b.mu.Lock()
	first := b.asked
	b.asked++
	b.mu.Unlock()
	for i := range b.seeds {
		answer, err := b.askOne(ctx, b.seeds[(first+i)%len(b.seeds)], key, chat)
		if err == nil {
			return answer
		}
	}
	return route{until: time.Now().Add(time.Second)}
}

func (b *book) askOne(ctx context.Context, router, key, chat string) (route, error) {
	ctx, cancel := context.WithTimeout(ctx, routeLimit)
	defer cancel()
	values := url.Values{"model": {b.model}, "chat": {chat}}
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+"/v1/route?"+values.Encode(), nil)
	if err != nil {
		return route{}, err
	}
	question.Header.Set("Authorization", "Bearer "+key)
	response, err := b.client.Do(question)
	if err != nil {
		return route{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return route{}, fmt.Errorf("route answer of %s has status %d", router, response.StatusCode)
	}
	var wire wireRoute
	if err := json.NewDecoder(response.Body).Decode(&wire); err != nil {
		return route{}, err
	}
	answer := route{until: time.Now().Add(time.Duration(wire.Lifetime * float64(time.Second)))}
	for _, a := range wire.Addresses {
		answer.addresses = append(answer.addresses, a.Address)
	}
	return answer, nil
}
