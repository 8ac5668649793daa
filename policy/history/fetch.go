package history

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
)

// BlobSource provides file contents, from the object API or from a peer. The caller verifies their
// digests.
type BlobSource interface {
	Blob(ctx context.Context, ref FileRef) ([]byte, error)
}

// Contents maps digests to file contents. It is immutable once built.
type Contents map[string][]byte

// Files returns the files of a revision. All their contents must be present.
func (c Contents) Files(r Revision) []configfile.File {
	out := make([]configfile.File, 0, len(r.Files))
	for _, ref := range r.Files {
		out = append(out, configfile.File{Name: ref.Name, Data: c[ref.Digest]})
	}
	return out
}

// FetchError reports that no source returned a file with the expected digest.
type FetchError struct {
	Ref   FileRef
	Cause error
}

func (e *FetchError) Error() string {
	return fmt.Sprintf("no source returned valid content of %s; keep the active configuration and fetch again later: %v", e.Ref.Name, e.Cause)
}

// Unwrap returns the joined errors of all sources.
func (e *FetchError) Unwrap() error { return e.Cause }

// Missing returns the files of a revision whose contents are not in have. Files with the same
// content are returned once.
func Missing(r Revision, have Contents) []FileRef {
	var out []FileRef
	seen := map[string]bool{}
	for _, ref := range r.Files {
		if _, ok := have[ref.Digest]; !ok && !seen[ref.Digest] {
			seen[ref.Digest] = true
			out = append(out, ref)
		}
	}
	return out
}

// Fetch returns the contents of a revision. It asks the sources in turn for those that are not in
// have, and verifies the digest of each. The error is *FetchError.
func Fetch(ctx context.Context, r Revision, have Contents, sources ...BlobSource) (Contents, error) {
	out := make(Contents, len(r.Files))
	for _, ref := range r.Files {
		if data, ok := have[ref.Digest]; ok {
			out[ref.Digest] = data
		}
	}
	for _, ref := range Missing(r, have) {
		data, err := fetchFile(ctx, ref, sources)
		if err != nil {
			return nil, &FetchError{Ref: ref, Cause: err}
		}
		out[ref.Digest] = data
	}
	return out, nil
}

func fetchFile(ctx context.Context, ref FileRef, sources []BlobSource) ([]byte, error) {
	errs := []error{}
	for _, s := range sources {
		data, err := s.Blob(ctx, ref)
		if err == nil && digest(data) != ref.Digest {
			err = &DigestMismatchError{Ref: ref}
		}
		if err == nil {
			return data, nil
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return nil, errors.New("no source is configured")
	}
	return nil, errors.Join(errs...)
}

// Snapshot is a configuration with its revision and file contents.
type Snapshot struct {
	Revision Revision
	Contents Contents
	Policy   policy.Policy
}

// NewSnapshot builds and validates the configuration from fetched contents. Pass the same loader
// for successive revisions so that only changed files are parsed; nil stands for a new one. The
// error is configfile.Errors.
func NewSnapshot(r Revision, contents Contents, l *configfile.Loader) (Snapshot, error) {
	if l == nil {
		l = &configfile.Loader{}
	}
	f, err := l.Load(contents.Files(r))
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: r, Contents: contents, Policy: f.Policy().WithRevision(r.Number)}, nil
}

// ActiveConfig holds the active configuration. It never goes back to a lower revision. The zero
// value holds none.
type ActiveConfig struct{ state atomic.Pointer[Snapshot] }

// Accept activates a configuration if its revision is higher than the active one, and reports
// whether it did.
func (a *ActiveConfig) Accept(s Snapshot) bool {
	for {
		old := a.state.Load()
		if old != nil && old.Revision.Number >= s.Revision.Number {
			return false
		}
		if a.state.CompareAndSwap(old, &s) {
			return true
		}
	}
}

// Current returns the active configuration, or false if there is none yet.
func (a *ActiveConfig) Current() (Snapshot, bool) {
	s := a.state.Load()
	if s == nil {
		return Snapshot{}, false
	}
	return *s, true
}
