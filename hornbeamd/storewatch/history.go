package storewatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/roster"
)

// HistoryStore is the part of the metadata store's client that keeps the history of versions.
type HistoryStore interface {
	Get(ctx context.Context, kind, name string) (metastore.Object, int64, bool, error)
	Create(ctx context.Context, kind, name string, content any) (metastore.Object, int64, error)
	Replace(ctx context.Context, kind, name string, revision int64, content any) (metastore.Object, int64, error)
}

const (
	// historyTimeout limits the calls that read and write the history, because a change of the list
	// of servers waits for them. The next poll tries again.
	historyTimeout = 400 * time.Millisecond
	// historyAttempts is the number of attempts if other routers write the history at the same time.
	historyAttempts = 4
)

// errOtherEra is the error of an update in which the store was restored.
var errOtherEra = eris.New("metadata store was restored while the history of versions was updated; trying again")

// versionHistory keeps the history of the versions of backend servers in the store.
type versionHistory struct {
	store    HistoryStore
	recorder roster.Recorder
	log      *zap.Logger
	// failed is true if the latest update failed.
	failed bool
}

// update records the versions of the servers that the store lists in an era, unless the history has
// them.
func (v *versionHistory) update(ctx context.Context, era int64, servers []roster.Server) {
	if !v.recorder.NeedsUpdate(time.Now(), era, servers) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var err error
	for range historyAttempts {
		if err = v.write(ctx, era, servers); !errors.Is(err, metastore.ErrConflict) {
			break
		}
	}
	switch {
	case err != nil:
		v.log.Warn("recording the versions of backend servers failed; new ones are not used yet", zap.Int64("era", era), zap.Error(err))
	case v.failed:
		v.log.Info("the versions of backend servers are recorded again", zap.Int64("era", era))
	}
	v.failed = err != nil
}

// write reads the history and writes the next one if that differs. It returns metastore.ErrConflict
// if another router has written meanwhile.
func (v *versionHistory) write(ctx context.Context, era int64, servers []roster.Server) error {
	object, storeEra, found, err := v.store.Get(ctx, registry.HistoryKind, registry.HistoryName)
	switch {
	case err != nil:
		return err
	case storeEra != era:
		return errOtherEra
	}
	stored := v.decode(object, found)
	now := time.Now()
	v.recorder.Read(now, roster.Revision{Era: era, Number: object.Revision})
	next, changed := v.recorder.Next(now, era, servers, stored)
	if changed {
		var written metastore.Object
		if found {
			written, storeEra, err = v.store.Replace(ctx, registry.HistoryKind, registry.HistoryName, object.Revision, registry.EncodeHistory(next))
		} else {
			written, storeEra, err = v.store.Create(ctx, registry.HistoryKind, registry.HistoryName, registry.EncodeHistory(next))
		}
		switch {
		case err != nil:
			return err
		case storeEra != era:
			return errOtherEra
		}
		v.recorder.Written(roster.Revision{Era: era, Number: written.Revision})
		v.log.Info("versions of backend servers recorded", zap.Any("versions", next.Versions), zap.Bool("settled", next.Settled),
			zap.Int64("revision", written.Revision), zap.Int64("era", era))
	}
	v.recorder.Confirm(now, next, servers)
	return nil
}

// decode returns the stored history. One that can't be read counts as one that lacks everything, so
// that nothing is concluded from it.
func (v *versionHistory) decode(o metastore.Object, found bool) *roster.History {
	if !found {
		return nil
	}
	h, err := registry.DecodeHistory(o)
	if err != nil {
		v.log.Error("the history of versions can't be read; beginning a new one", zap.Error(err))
		return &roster.History{Era: -1}
	}
	return &h
}
