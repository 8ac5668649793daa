// Package history stores the revisions of the configuration in the object API: immutable revisions,
// files by digest, and a head that refers to the current revision.
package history

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/ports/objectapi"
)

// Kind is the object kind of everything that this package stores.
const Kind = "config"

const headName = "head"

// FileRef refers to the content of a file by its digest.
type FileRef struct {
	Name string `json:"name"`
	// Digest is the SHA-256 digest of the content in lower-case hex.
	Digest string `json:"digest"`
	// Size is in bytes.
	Size int `json:"size"`
}

// Revision is one immutable version of the configuration.
type Revision struct {
	// Number is at least 1. Numbers grow along the history and have gaps where a concurrent push
	// failed.
	Number int64 `json:"number"`
	// Parent is the number of the revision that this one replaced, 0 for the first.
	Parent  int64     `json:"parent"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Files are in the order of their names.
	Files []FileRef `json:"files"`
	// Push is the unique ID of the push, by which a writer recognizes its own revision after a lost
	// reply.
	Push string `json:"push"`
}

type headValue struct {
	Revision int64 `json:"revision"`
}

// History reads and writes revisions. Set its fields before use.
type History struct {
	Store objectapi.Store
	// Now is the clock of revisions; time.Now if nil.
	Now func() time.Time
	// Pause is the delay before the first retry of a failed call. It doubles with each retry up to
	// one second; 0 stands for 50 ms.
	Pause time.Duration
}

// RevisionNotFoundError reports that a revision does not exist. Number is 0 if the history is
// empty.
type RevisionNotFoundError struct{ Number int64 }

func (e *RevisionNotFoundError) Error() string {
	if e.Number == 0 {
		return "no configuration has been pushed yet; push a folder first"
	}
	return fmt.Sprintf("revision %d does not exist; list the history to see those that do", e.Number)
}

// DigestMismatchError reports that the content of a file does not match its digest.
type DigestMismatchError struct{ Ref FileRef }

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("content of %s does not match digest %s; push the file again with a changed comment and report the object", e.Ref.Name, e.Ref.Digest)
}

// Head returns the current revision, *RevisionNotFoundError if there is none, or
// *objectapi.UnavailableError.
func (h *History) Head(ctx context.Context) (Revision, error) {
	head, _, err := h.head(ctx)
	if err != nil {
		return Revision{}, err
	}
	if head == 0 {
		return Revision{}, &RevisionNotFoundError{}
	}
	return h.Revision(ctx, head)
}

// head returns the number of the current revision and the object version of the head, both 0 if
// there is none.
func (h *History) head(ctx context.Context) (number, version int64, err error) {
	o, err := h.Store.Get(ctx, Kind, headName)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	number, err = parseHead(o)
	return number, o.Version, err
}

func parseHead(o objectapi.Object) (int64, error) {
	var w headValue
	if err := json.Unmarshal(o.Value, &w); err != nil || w.Revision < 1 {
		return 0, fmt.Errorf("head of the configuration is unreadable; write it again with the number of a revision: %q", o.Value)
	}
	return w.Revision, nil
}

// Watch waits until the head is newer than an object version or the wait limit of the object API
// passes. It returns the number of the new head, 0 if it did not change, and the version to
// continue from; start with 0. It reads the head first, because a watch from an old version would
// return every file and revision written since.
func (h *History) Watch(ctx context.Context, after int64) (number, next int64, err error) {
	number, version, err := h.head(ctx)
	if err != nil {
		return 0, after, err
	}
	if version > after {
		return number, version, nil
	}
	objects, next, err := h.Store.Watch(ctx, Kind, after)
	if err != nil {
		return 0, after, err
	}
	number = 0
	for _, o := range objects {
		if o.Name == headName {
			number, err = parseHead(o)
		}
	}
	return number, next, err
}

// Revision returns a revision, *RevisionNotFoundError, or *objectapi.UnavailableError.
func (h *History) Revision(ctx context.Context, number int64) (Revision, error) {
	o, err := h.Store.Get(ctx, Kind, revisionName(number))
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return Revision{}, &RevisionNotFoundError{Number: number}
	}
	if err != nil {
		return Revision{}, err
	}
	var r Revision
	if err := json.Unmarshal(o.Value, &r); err != nil || r.Number != number {
		return Revision{}, fmt.Errorf("revision %d is unreadable; push the folder again", number)
	}
	return r, nil
}

// List returns up to limit revisions, newest first. Revisions of failed concurrent pushes are
// omitted.
func (h *History) List(ctx context.Context, limit int) ([]Revision, error) {
	r, err := h.Head(ctx)
	if err != nil {
		return nil, err
	}
	out := []Revision{r}
	for len(out) < limit && r.Parent > 0 {
		if r, err = h.Revision(ctx, r.Parent); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Load returns the files of a revision and the configuration that is built from them.
func (h *History) Load(ctx context.Context, r Revision) (*configfile.Config, []configfile.File, error) {
	contents, err := Fetch(ctx, r, nil, h)
	if err != nil {
		return nil, nil, err
	}
	files := contents.Files(r)
	f, err := configfile.Load(files)
	return f, files, err
}

// Explain returns the origin of a value at a revision.
func (h *History) Explain(ctx context.Context, r Revision, key string) (configfile.Explanation, error) {
	f, _, err := h.Load(ctx, r)
	if err != nil {
		return configfile.Explanation{}, err
	}
	return f.Explain(key)
}

// Blob implements BlobSource by reading from the object API.
func (h *History) Blob(ctx context.Context, ref FileRef) ([]byte, error) {
	data := make([]byte, 0, ref.Size)
	for _, name := range blobNames(ref) {
		o, err := h.Store.Get(ctx, Kind, name)
		if err != nil {
			return nil, err
		}
		data = append(data, o.Value...)
	}
	return data, nil
}

func revisionName(number int64) string { return fmt.Sprintf("rev-%d", number) }

// blobNames returns the names of the objects that store a file content, split into parts of at most
// objectapi.MaxValue bytes.
func blobNames(ref FileRef) []string {
	base := "blob-" + ref.Digest
	if ref.Size <= objectapi.MaxValue {
		return []string{base}
	}
	var names []string
	for offset := 0; offset < ref.Size; offset += objectapi.MaxValue {
		names = append(names, fmt.Sprintf("%s-%d", base, len(names)))
	}
	return names
}

func refs(files []configfile.File) []FileRef {
	out := make([]FileRef, 0, len(files))
	for _, f := range files {
		out = append(out, FileRef{Name: f.Name, Digest: digest(f.Data), Size: len(f.Data)})
	}
	slices.SortFunc(out, func(a, b FileRef) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
