package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/origin"
	"hornbeamstep.example/routing/roster"
)

// archiveStore is the part of the metadata store's client that an archive uses.
type archiveStore interface {
	List(ctx context.Context, kind string) (metastore.Snapshot, error)
	Get(ctx context.Context, kind, name string) (metastore.Object, int64, bool, error)
	Create(ctx context.Context, kind, name string, content any) (metastore.Object, int64, error)
	Replace(ctx context.Context, kind, name string, revision int64, content any) (metastore.Object, int64, error)
}

const (
	// archiveQueueSize is the number of origins that can wait for the goroutine of the archive, which
	// is more than one machine begins in a second.
	archiveQueueSize = 4096
	// archiveTick is the time between two looks at whether a batch is due.
	archiveTick = 50 * time.Millisecond
	// archiveWriteTimeout limits the calls that write one batch. Origins that are not written are only
	// needed if all routers are killed.
	archiveWriteTimeout = time.Second
)

// archive keeps the origins of streams in the metadata store. It implements gateway.OriginArchive.
type archive struct {
	store   archiveStore
	log     *zap.Logger
	queue   chan archivedOrigin
	written *prometheus.CounterVec
	// stored holds what the store has in each slot, as far as this router knows.
	stored map[int]storedBatch
}

type archivedOrigin struct {
	stream origin.Stream
	build  origin.Build
}

type storedBatch struct {
	batch    origin.Batch
	revision int64
}

// newArchive returns an archive and registers its metric.
func newArchive(store archiveStore, log *zap.Logger, metrics prometheus.Registerer) *archive {
	written := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hornbeam_origin_archive_total", Help: "Origins of streams for the metadata store, by outcome: written, failed or dropped.",
	}, []string{"outcome"})
	metrics.MustRegister(written)
	return &archive{store: store, log: log, queue: make(chan archivedOrigin, archiveQueueSize), written: written, stored: map[int]storedBatch{}}
}

// Add implements gateway.OriginArchive.
func (a *archive) Add(stream origin.Stream, build origin.Build) {
	select {
	case a.queue <- archivedOrigin{stream, build}:
	default:
		a.written.WithLabelValues("dropped").Inc()
	}
}

// Read implements gateway.OriginArchive. It skips objects that can't be decoded.
func (a *archive) Read(ctx context.Context) ([]origin.Batch, error) {
	found, err := a.store.List(ctx, registry.OriginsKind)
	if err != nil {
		return nil, err
	}
	var batches []origin.Batch
	for _, o := range found.Objects {
		batch, err := registry.DecodeBatch(o)
		if err != nil {
			a.log.Warn("origins of streams in the metadata store can't be read; skipping them", zap.String("object", o.Name), zap.Error(err))
			continue
		}
		batches = append(batches, batch)
	}
	return batches, nil
}

// History implements gateway.OriginArchive. A history of an earlier era counts as missing: the store was
// restored from a copy since, which may lack versions.
func (a *archive) History(ctx context.Context) (h roster.History, found bool, err error) {
	o, era, found, err := a.store.Get(ctx, registry.HistoryKind, registry.HistoryName)
	if err != nil || !found {
		return roster.History{}, false, err
	}
	if h, err = registry.DecodeHistory(o); err != nil {
		return roster.History{}, false, err
	}
	return h, h.Era == era, nil
}

// run writes the queued origins until the context is canceled.
func (a *archive) run(ctx context.Context) {
	ticker := time.NewTicker(archiveTick)
	defer ticker.Stop()
	var archiver origin.Archiver
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-a.queue:
			archiver.Add(time.Now(), o.stream, o.build)
			continue
		case <-ticker.C:
		}
		for batch, due := archiver.Due(time.Now()); due; batch, due = archiver.Due(time.Now()) {
			a.write(ctx, batch)
		}
	}
}

// write writes a batch to its slot. What another router has written there in the same window is kept.
func (a *archive) write(ctx context.Context, batch origin.Batch) {
	ctx, cancel := context.WithTimeout(ctx, archiveWriteTimeout)
	defer cancel()
	const attempts = 3
	var err error
	for range attempts {
		if err = a.writeOnce(ctx, batch); !errors.Is(err, metastore.ErrConflict) {
			break
		}
		delete(a.stored, batch.Slot())
	}
	if err != nil {
		a.written.WithLabelValues("failed").Add(float64(batch.Size()))
		a.log.Info("writing the origins of streams to the metadata store failed", zap.Int("streams", batch.Size()), zap.Error(err))
		return
	}
	a.written.WithLabelValues("written").Add(float64(batch.Size()))
}

// writeOnce returns metastore.ErrConflict if another router has written to the slot.
func (a *archive) writeOnce(ctx context.Context, batch origin.Batch) error {
	slot := batch.Slot()
	name := fmt.Sprintf("%02d", slot)
	known, isKnown := a.stored[slot]
	if !isKnown {
		o, _, found, err := a.store.Get(ctx, registry.OriginsKind, name)
		if err != nil {
			return err
		}
		if found {
			known.revision = o.Revision
			// An object that can't be read is replaced.
			known.batch, _ = registry.DecodeBatch(o)
		}
	}
	if known.batch.Window == batch.Window {
		batch = batch.With(known.batch)
	}
	write := func() (metastore.Object, int64, error) {
		if known.revision == 0 {
			return a.store.Create(ctx, registry.OriginsKind, name, registry.EncodeBatch(batch))
		}
		return a.store.Replace(ctx, registry.OriginsKind, name, known.revision, registry.EncodeBatch(batch))
	}
	o, _, err := write()
	if err != nil {
		delete(a.stored, slot)
		return err
	}
	if o.Revision > 0 {
		a.stored[slot] = storedBatch{batch, o.Revision}
	}
	return nil
}
