package transport_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"hornbeamstep.example/ports/transport"
)

// The server fails every call, which would open the circuit breaker of go-zero if New did not
// disable it.
func ExampleNew() {
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer down.Close()
	service := transport.New("example", &http.Client{})
	sent := 0
	for range 100 {
		resp, err := service.Do(context.Background(), http.MethodGet, down.URL, nil)
		if err != nil {
			break
		}
		_ = resp.Body.Close()
		sent++
	}
	fmt.Println("calls that the library's breaker let through:", sent)
	// Output: calls that the library's breaker let through: 100
}
