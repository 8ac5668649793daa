package history

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/ports/objectapi"
)

const (
	defaultPause = 50 * time.Millisecond
	maxPause     = time.Second
)

// AnyBase as the base of a push skips the check of the base against the current revision.
const AnyBase int64 = -1

// Change is the input of a push.
type Change struct {
	// Base is the revision that the change was made from, 0 for an empty history, or AnyBase.
	Base            int64
	Author, Message string
	Files           []configfile.File
	// Push is the unique ID of the push.
	Push string
}

// ConflictError reports that another push changed the head first.
type ConflictError struct {
	// Base is the revision that the push was made from, and Head the current one.
	Base int64
	Head Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s (%q) replaced revision %d; show the difference, merge it into the folder and push with base %d",
		e.Head.Number, e.Head.Author, e.Head.Message, e.Base, e.Head.Number)
}

// UnknownOutcomeError reports that the reply to the head update was lost and the outcome could not
// be read back in time.
type UnknownOutcomeError struct {
	Number int64
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether revision %d became the head; list the history before pushing again: %v", e.Number, e.Cause)
}

// Unwrap returns the error of the last call.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Push validates the files and stores them as the next revision. Of several pushes from one base,
// exactly one succeeds. After a lost reply, Push reads the head until the outcome is known or ctx
// ends. If the files equal those of the head, it returns the head unchanged. Errors:
// configfile.Errors, *ConflictError, *UnknownOutcomeError, *objectapi.UnavailableError.
func (h *History) Push(ctx context.Context, c Change) (Revision, error) {
	if _, err := configfile.Load(c.Files); err != nil {
		return Revision{}, err
	}
	number, version, err := h.head(ctx)
	if err != nil {
		return Revision{}, err
	}
	r := Revision{Parent: number, Author: c.Author, Time: h.now().UTC(), Message: c.Message, Files: refs(c.Files), Push: c.Push}
	var current Revision
	if number > 0 {
		if current, err = h.Revision(ctx, number); err != nil {
			return Revision{}, err
		}
	}
	if c.Base != AnyBase && c.Base != number {
		return Revision{}, &ConflictError{Base: c.Base, Head: current}
	}
	if number > 0 && slices.Equal(current.Files, r.Files) {
		return current, nil
	}
	if err := h.writeBlobs(ctx, c.Files); err != nil {
		return Revision{}, err
	}
	if r, err = h.writeRevision(ctx, r); err != nil {
		return Revision{}, err
	}
	return r, h.updateHead(ctx, r, version)
}

func (h *History) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

func (h *History) writeBlobs(ctx context.Context, files []configfile.File) error {
	for _, f := range files {
		ref := FileRef{Name: f.Name, Digest: digest(f.Data), Size: len(f.Data)}
		for i, name := range blobNames(ref) {
			part := f.Data[i*objectapi.MaxValue:]
			part = part[:min(len(part), objectapi.MaxValue)]
			if _, err := h.create(ctx, name, part); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeRevision stores r under the first free number above its parent. The object of a failed push
// keeps its number, so several numbers may have to be tried.
func (h *History) writeRevision(ctx context.Context, r Revision) (Revision, error) {
	for r.Number = r.Parent + 1; ; r.Number++ {
		value, err := json.Marshal(r)
		if err != nil {
			return Revision{}, err
		}
		created, err := h.create(ctx, revisionName(r.Number), value)
		if created || err != nil {
			return r, err
		}
	}
}

// create writes an immutable object. It reports false if the object already exists with another
// value.
func (h *History) create(ctx context.Context, name string, value []byte) (bool, error) {
	wait := h.backoff()
	for {
		_, err := h.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: name, Value: value})
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict), errors.As(err, &ambiguous):
			same, found, err := h.readBack(ctx, name, value)
			if err != nil || found {
				return same, err
			}
			// The read is stale, or the write may still take effect. Writing again is safe: only
			// one of the writes can succeed, and both have the same value.
		default:
			return false, err
		}
		if err := wait(ctx); err != nil {
			return false, &objectapi.UnavailableError{Cause: err}
		}
	}
}

func (h *History) readBack(ctx context.Context, name string, value []byte) (same, found bool, err error) {
	o, err := h.Store.Get(ctx, Kind, name)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return false, false, nil
	}
	return bytes.Equal(o.Value, value), err == nil, err
}

// updateHead sets the head to r if the head still has the given object version.
func (h *History) updateHead(ctx context.Context, r Revision, version int64) error {
	value, err := json.Marshal(headValue{Revision: r.Number})
	if err != nil {
		return err
	}
	wait := h.backoff()
	// sent is true once a write may have taken effect or may take effect later.
	sent := false
	for {
		_, err := h.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: headName, Version: version, Value: value})
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict), errors.As(err, &ambiguous):
			// Once the version has changed, either a write of this push took effect or another push
			// won. Until then the write is repeated with the same version; the lost write may still
			// take effect, but only one of the two can succeed.
			sent = true
			resolved, resolveErr := h.resolveOutcome(ctx, r, version)
			if resolved {
				return resolveErr
			}
			err = resolveErr
		case !sent:
			return err
		}
		if waitErr := wait(ctx); waitErr != nil {
			return &UnknownOutcomeError{Number: r.Number, Cause: errors.Join(err, waitErr)}
		}
	}
}

// resolveOutcome reports whether the head has left the given version; if so, the error is nil only
// if r is part of the history.
func (h *History) resolveOutcome(ctx context.Context, r Revision, version int64) (resolved bool, err error) {
	number, now, err := h.head(ctx)
	if err != nil {
		return false, err
	}
	if now == version {
		return false, errors.New("the head has not changed yet")
	}
	head, err := h.Revision(ctx, number)
	if err != nil {
		return false, err
	}
	for at := head; ; {
		if at.Push == r.Push && at.Number == r.Number {
			return true, nil
		}
		if at.Parent <= r.Parent {
			return true, &ConflictError{Base: r.Parent, Head: head}
		}
		if at, err = h.Revision(ctx, at.Parent); err != nil {
			return false, err
		}
	}
}

// backoff returns a function that waits with exponential backoff.
func (h *History) backoff() func(context.Context) error {
	next := h.Pause
	if next == 0 {
		next = defaultPause
	}
	return func(ctx context.Context) error {
		t := time.NewTimer(next)
		defer t.Stop()
		next = min(2*next, maxPause)
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
