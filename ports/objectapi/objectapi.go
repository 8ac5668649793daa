// Package objectapi speaks to the platform's object API: versioned objects, conditional updates and watches.
package objectapi

import (
	"context"
	"fmt"
	"time"
)

// MaxValue is the largest value, in bytes, that the object API accepts.
const MaxValue = 1 << 20

// Object is one versioned value.
type Object struct {
	// Kind groups objects that are listed and watched together. Never empty.
	Kind string
	// Name is unique within its kind. Never empty.
	Name string
	// Version is assigned by the object API, grows with every write to any object, and is 0 only for an object that does not exist.
	Version int64
	// Value is at most MaxValue bytes. It is empty in the results of List.
	Value []byte
}

// Store is the object API as its users see it.
type Store interface {
	// Get returns an object, or *NotFoundError or *UnavailableError.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes o if the stored version equals o.Version; version 0 creates. It returns the new version,
	// *ConflictError if the stored version differs, *TooLargeError, *UnavailableError if the write surely had no effect,
	// or *AmbiguousError if it may have taken effect or may still do so.
	Put(ctx context.Context, o Object) (int64, error)
	// Delete removes an object at a version, with the errors of Put. Deleting a missing object is *NotFoundError.
	Delete(ctx context.Context, kind, name string, version int64) error
	// List returns names and versions of a kind, ordered by name, without values.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch returns the objects of a kind that changed after a version, and the version to continue from. It waits until
	// there is such an object or the wait limit of the object API passes; then the result is empty.
	Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist; create it with version 0", e.Kind, e.Name)
}

// ConflictError says that a conditional write lost to another write.
type ConflictError struct {
	Kind, Name string
	// Want is the version that the write was conditional on; Have is the stored one, 0 if unknown or missing.
	Want, Have int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d, not %d; read it again and repeat the change", e.Kind, e.Name, e.Have, e.Want)
}

// TooLargeError says that a value exceeds MaxValue.
type TooLargeError struct {
	Kind, Name string
	Size       int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %s/%s has %d bytes, more than %d; split it", e.Kind, e.Name, e.Size, MaxValue)
}

// UnavailableError says that the object API did not take the call, which had no effect.
type UnavailableError struct {
	// Retry is how long to wait before the next call.
	Retry time.Duration
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object api is unavailable, retry after %s: %v", e.Retry, e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError says that a write was sent and its reply was lost.
type AmbiguousError struct {
	Kind, Name string
	Cause      error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("reply to the write of %s/%s was lost; read it back before acting on it: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the transport's error.
func (e *AmbiguousError) Unwrap() error { return e.Cause }
