package decision

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

// objectName is the name of the object that holds all records of a kind.
const objectName = "all"

// minRetryDelay and maxRetryDelay bound the random delay before Save retries after a conflict or a
// lost reply.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// DrainPollInterval is the interval at which each relay router polls the object API for changed
// drains. A drain has to reach every router within 5 s, even a router that does not receive the
// messages of other routers. 14 relays cause 14 reads/s.
const DrainPollInterval = time.Second

// RecordStore stores records in the object API. Set Store before use. Its methods are safe for
// concurrent use.
type RecordStore struct {
	Store objectapi.Store

	writes, conflicts, ambiguous atomic.Int64
}

// Stats counts the writes of a RecordStore since it was created, by result.
type Stats struct {
	// Writes is the number of successful writes, Conflicts the number that failed because another
	// router wrote first, and Ambiguous the number whose reply was lost.
	Writes, Conflicts, Ambiguous int64
}

// Stats returns the current counters.
func (s *RecordStore) Stats() Stats {
	return Stats{s.writes.Load(), s.conflicts.Load(), s.ambiguous.Load()}
}

// storedDocument is the value of an object.
type storedDocument struct {
	Records []Record `json:"records"`
}

// Version returns the version of a kind's object, or 0 if there is none. It does not read the
// object's value. Errors of the object API are returned unwrapped.
func (s *RecordStore) Version(ctx context.Context, kind Kind) (int64, error) {
	list, err := s.Store.List(ctx, string(kind))
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

// Load returns the stored records of a kind and the version of their object, or 0 if there is none.
// Errors of the object API are returned unwrapped.
func (s *RecordStore) Load(ctx context.Context, kind Kind) ([]Record, int64, error) {
	o, err := s.Store.Get(ctx, string(kind), objectName)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var document storedDocument
	if err := json.Unmarshal(o.Value, &document); err != nil {
		return nil, 0, fmt.Errorf("object %s/%s cannot be decoded; delete it and repeat the operators' commands: %w", kind, objectName, err)
	}
	return document.Records, o.Version, nil
}

// Save writes the records of a kind and returns the version of the object that holds them.
// mergeStored receives the stored records and returns them merged with the local ones. If the merge
// changes nothing, Save does not write. Save retries after a conflict and after a lost reply. A
// lost reply or a write that takes effect late does no harm, since the next merge corrects the
// records. Errors of the object API and of ctx are returned unwrapped.
func (s *RecordStore) Save(ctx context.Context, kind Kind, mergeStored func(stored []Record) []Record) (int64, error) {
	for {
		stored, version, err := s.Load(ctx, kind)
		if err != nil {
			return 0, err
		}
		merged := mergeStored(stored)
		if slices.EqualFunc(stored, merged, Record.Equal) {
			return version, nil
		}
		value, err := json.Marshal(storedDocument{merged})
		if err != nil {
			return 0, err
		}
		next, err := s.Store.Put(ctx, objectapi.Object{Kind: string(kind), Name: objectName, Version: version, Value: value})
		if err == nil {
			s.writes.Add(1)
			return next, nil
		}
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		switch {
		case errors.As(err, &conflict):
			s.conflicts.Add(1)
		case errors.As(err, &ambiguous):
			s.ambiguous.Add(1)
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)):
		}
	}
}
