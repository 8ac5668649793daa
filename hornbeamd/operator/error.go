package operator

import (
	"fmt"
	"net/http"
)

// Code is a machine-readable error code.
type Code string

// Error codes.
const (
	Invalid         Code = "invalid"
	Unauthenticated Code = "unauthenticated"
	Forbidden       Code = "forbidden"
	NotFound        Code = "not_found"
	Conflict        Code = "conflict"
	Unavailable     Code = "unavailable"
	Internal        Code = "internal"
)

var httpStatuses = map[Code]int{
	Invalid:         http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	Unavailable:     http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,
}

// Error is the error of a failed call to the operator API, or of an invalid TLS configuration.
type Error struct {
	Code    Code
	Message string
	// Remedy tells the operator how to fix the error.
	Remedy string
	Cause  error
}

func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + ": " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ExposedError means that the operator API would be reachable from the network without TLS client
// authentication.
type ExposedError struct{ Listen string }

func (e *ExposedError) Error() string {
	return fmt.Sprintf(
		"operator API on %s has no TLS files and is not on a loopback address; set operator.tls.cert, key and ca, or listen on 127.0.0.1",
		e.Listen)
}
