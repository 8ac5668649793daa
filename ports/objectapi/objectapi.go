// Package objectapi is a client of the platform's object API, which offers versioned objects,
// conditional updates and watches.
package objectapi

import (
	"context"
	"fmt"
	"time"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Object is a versioned value.
type Object struct {
	// Kind groups objects that are listed and watched together. It is never empty.
	Kind string
	// Name is unique within its kind and never empty.
	Name string
	// Version is assigned by the object API and increases with every write to any object. It is 0
	// only if the object does not exist.
	Version int64
	// Value has at most MaxValue bytes. List leaves it empty.
	Value []byte
}

// Store is the interface to the object API.
type Store interface {
	// Get returns an object, or *NotFoundError or *UnavailableError.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes o if the stored version equals o.Version; version 0 creates the object. It returns
	// the new version, or *ConflictError if the stored version differs, *TooLargeError,
	// *UnavailableError if the write certainly had no effect, or *AmbiguousError if the write may
	// have taken effect or may still do so.
	Put(ctx context.Context, o Object) (int64, error)
	// Delete removes an object if it is at this version. It returns the errors of Put, or
	// *NotFoundError if the object does not exist.
	Delete(ctx context.Context, kind, name string, version int64) error
	// List returns the objects of a kind, ordered by name, without their values.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch returns the objects of a kind that changed after a version, and the version to continue
	// from. It blocks while there are none. If the wait limit of the object API expires first, the
	// result is empty.
	Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist; create it with version 0", e.Kind, e.Name)
}

// ConflictError reports that a conditional write failed because the stored version differs.
type ConflictError struct {
	Kind, Name string
	// Want is the version that the write required. Have is the stored version, or 0 if it is
	// unknown or the object is missing.
	Want, Have int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d, not %d; read it again and repeat the change", e.Kind, e.Name, e.Have, e.Want)
}

// TooLargeError reports that a value exceeds MaxValue.
type TooLargeError struct {
	Kind, Name string
	Size       int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %s/%s has %d bytes, more than %d; split it", e.Kind, e.Name, e.Size, MaxValue)
}

// UnavailableError reports that the object API did not return a valid response. A write that fails
// with it had no effect, unless it is the cause of an *AmbiguousError.
type UnavailableError struct {
	// Retry is the time to wait before the next call.
	Retry time.Duration
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object api is unavailable, retry after %s: %v", e.Retry, e.Cause)
}

// Unwrap returns the error of the connection or of the response.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError reports that a write was sent but its outcome is unknown.
type AmbiguousError struct {
	Kind, Name string
	Cause      error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("reply to the write of %s/%s was lost; read it back before acting on it: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the error of the connection or of the response.
func (e *AmbiguousError) Unwrap() error { return e.Cause }
