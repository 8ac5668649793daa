package objectapi_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstep.example/ports/objectapi"
)

func ExampleMemory() {
	ctx := context.Background()
	store := &objectapi.Memory{}
	version, _ := store.Put(ctx, objectapi.Object{Kind: "config", Name: "head", Value: []byte("1")})
	_, _ = store.Put(ctx, objectapi.Object{Kind: "config", Name: "head", Version: version, Value: []byte("2")})
	// The version is that of the first value, so this write conflicts.
	_, err := store.Put(ctx, objectapi.Object{Kind: "config", Name: "head", Version: version, Value: []byte("3")})
	var conflict *objectapi.ConflictError
	fmt.Println(errors.As(err, &conflict))
	head, _ := store.Get(ctx, "config", "head")
	fmt.Println(string(head.Value))
	// Output:
	// true
	// 2
}

func ExampleNewMetered() {
	ctx := context.Background()
	store, metrics := objectapi.NewMetered(&objectapi.Memory{})
	registry := prometheus.NewRegistry()
	registry.MustRegister(metrics...)
	_, _ = store.Get(ctx, "config", "head")
	families, _ := registry.Gather()
	for _, f := range families {
		fmt.Println(f.GetName())
	}
	// Output:
	// hornbeam_objectapi_call_seconds
	// hornbeam_objectapi_calls_total
	// hornbeam_objectapi_value_bytes_total
}
