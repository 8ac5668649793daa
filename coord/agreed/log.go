package agreed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// objectName is the name of the one object of each kind.
const objectName = "all"

// retryLeast and retryMost bound the jittered wait after a write that another router got ahead of, or whose reply was lost.
const (
	retryLeast = 10 * time.Millisecond
	retryMost  = 200 * time.Millisecond
)

// LookEvery is the time between two looks by a relay for changes of drains in the object API. A drain has to be known within 5 s also
// where its messages do not arrive. With 14 relays these are 14 reads/s.
const LookEvery = time.Second

// Log keeps records in the object API. Set Store before use. Its methods may be called from any goroutine.
type Log struct {
	Store objectapi.Store

	writes, conflicts, ambiguous atomic.Int64
}

// Stats count what a Log did since its start.
type Stats struct {
	// Writes succeeded, Conflicts lost to another router, and of Ambiguous ones the reply was lost.
	Writes, Conflicts, Ambiguous int64
}

// Stats returns the counters.
func (l *Log) Stats() Stats { return Stats{l.writes.Load(), l.conflicts.Load(), l.ambiguous.Load()} }

type wireDocument struct {
	Records []Record `json:"records"`
}

// Version returns the version of a kind's object, 0 if there is none. It reads no values. Errors are those of the object API.
func (l *Log) Version(ctx context.Context, kind Kind) (int64, error) {
	list, err := l.Store.List(ctx, string(kind))
	if err != nil {
		return 0, err
	}
	for _, o := range list {
		if o.Name == objectName {
			return o.Version, nil
		}
	}
	return 0, nil
}

// Load returns the stored records of a kind and the version of their object, 0 if there is none. Errors are those of the object API.
func (l *Log) Load(ctx context.Context, kind Kind) ([]Record, int64, error) {
	o, err := l.Store.Get(ctx, string(kind), objectName)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var w wireDocument
	if err := json.Unmarshal(o.Value, &w); err != nil {
		return nil, 0, fmt.Errorf("object %s/%s is unreadable; delete it and give the orders again: %w", kind, objectName, err)
	}
	return w.Records, o.Version, nil
}

// Save writes the records of a kind until the object holds them. exchange takes the stored records and returns all that are known
// then. A write that was lost, or takes effect late, changes nothing that a merge does not settle, so that a lost reply needs no more
// than another round. Errors are those of the object API, and that of ctx.
func (l *Log) Save(ctx context.Context, kind Kind, exchange func(stored []Record) []Record) (int64, error) {
	for {
		stored, version, err := l.Load(ctx, kind)
		if err != nil {
			return 0, err
		}
		all := exchange(stored)
		if slices.EqualFunc(stored, all, Record.Equal) {
			return version, nil
		}
		value, err := json.Marshal(wireDocument{all})
		if err != nil {
			return 0, err
		}
		next, err := l.Store.Put(ctx, objectapi.Object{Kind: string(kind), Name: objectName, Version: version, Value: value})
		if err == nil {
			l.writes.Add(1)
			return next, nil
		}
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case errors.As(err, &conflict):
			l.conflicts.Add(1)
		case errors.As(err, &ambiguous):
			l.ambiguous.Add(1)
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(retryLeast + rand.N(retryMost-retryLeast)):
		}
	}
}
