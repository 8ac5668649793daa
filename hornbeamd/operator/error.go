package operator

import (
	"fmt"
	"net/http"
)

// Code is a machine-readable kind of error.
type Code string

// The codes of errors.
const (
	Invalid         Code = "invalid"
	Unauthenticated Code = "unauthenticated"
	Forbidden       Code = "forbidden"
	NotFound        Code = "not_found"
	Conflict        Code = "conflict"
	Unavailable     Code = "unavailable"
	Internal        Code = "internal"
)

var statuses = map[Code]int{
	Invalid:         http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	Unavailable:     http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,
}

// Error is a failed call.
type Error struct {
	Code    Code
	Message string
	// Remedy tells the operator what to do.
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

// ExposedError says that the interface would be open to the network without keys.
type ExposedError struct{ Listen string }

func (e *ExposedError) Error() string {
	return fmt.Sprintf(
		"operators' interface on %s has no keys and is not on a loopback address; set operator.tls.cert, key and ca, or listen on 127.0.0.1",
		e.Listen)
}
