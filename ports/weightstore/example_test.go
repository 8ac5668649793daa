package weightstore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"

	"hornbeamstep.example/ports/weightstore"
)

func ExampleHTTP_Load() {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "4")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer platform.Close()
	err := (&weightstore.HTTP{Base: platform.URL}).Load(context.Background(), weightstore.Artifact{Model: "ticket"})
	var limited *weightstore.LimitedError
	fmt.Println(errors.As(err, &limited), limited.Retry)
	// Output: true 4s
}
