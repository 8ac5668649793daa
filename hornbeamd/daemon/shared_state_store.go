package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/coord/sleep"
)

const (
	// restoreTimeout is how long a starting router waits for the shared state from before its
	// start. Without an answer it starts anyway and restores the state later. Otherwise, if all
	// routers restart during an outage of the object API, the fleet would be unavailable until the
	// outage ends.
	restoreTimeout = 5 * time.Second
	// quarantinePollInterval is the mean interval at which a relay polls for quarantine changes.
	// For drains, it is decision.DrainPollInterval.
	quarantinePollInterval = 5 * time.Second
	// maxAnnouncedChanges limits the number of changes from one poll that a relay announces to its
	// availability zone.
	maxAnnouncedChanges = 8
)

// restore waits up to restoreTimeout for the shared state from before the start of this process,
// which it reads from the object API and other routers.
func (s *sharedState) restore(ctx context.Context) {
	select {
	case <-s.node.Ready():
	case <-ctx.Done():
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	s.waitForAnswer(waitCtx, true)
	if waitCtx.Err() == nil {
		s.markRestored()
		return
	}
	if ctx.Err() == nil {
		s.logger.Warn("neither the object API nor another router returned the drains and quarantined requests; starting without them")
	}
}

func (s *sharedState) markRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// load merges all kinds from the object API, and schedules a write of the records that the object
// API lacks.
func (s *sharedState) load(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range decision.Kinds {
		group.Go(func() error {
			records, version, err := s.records.Load(ctx, kind)
			if err == nil {
				s.mergeStored(kind, records, version)
			}
			return err
		})
	}
	return group.Wait()
}

// mergeStored merges records that were read from the object API and returns the changes. If the
// stored object lacks records, it schedules a write.
func (s *sharedState) mergeStored(kind decision.Kind, records []decision.Record, version int64) []decision.Change {
	changed := s.merge(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved[kind] = max(s.saved[kind], version)
	stored := decision.NewSet()
	stored.Merge(time.Now(), records)
	for _, r := range s.set.Records(kind) {
		if old, ok := stored.Get(kind, r.Name); !ok || !old.Equal(r) {
			s.scheduleSave(kind)
			break
		}
	}
	return changed
}

// run starts the heartbeat and the polling of the object API, and writes unsaved records to it
// until ctx ends.
func (s *sharedState) run(ctx context.Context) error {
	go s.recordHeartbeats(ctx)
	go s.pollStore(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for ctx.Err() == nil && !s.saveUnsaved(ctx) {
			_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
		}
	}
	return nil
}

// recordHeartbeats sends heartbeats to the pause detector until ctx ends.
func (s *sharedState) recordHeartbeats(ctx context.Context) {
	for wait := time.Duration(0); sleep.For(ctx, wait) == nil; wait = heartbeatInterval {
		s.pauses.Heartbeat(time.Now())
	}
}

// saveUnsaved writes the unsaved kinds to the object API, merged with the stored records. It
// returns false if a write failed.
func (s *sharedState) saveUnsaved(ctx context.Context) bool {
	allSaved := true
	for _, kind := range decision.Kinds {
		s.mu.Lock()
		unsaved := s.unsaved[kind]
		delete(s.unsaved, kind)
		s.mu.Unlock()
		if !unsaved {
			continue
		}
		version, err := s.records.Save(ctx, kind, func(stored []decision.Record) []decision.Record {
			s.Merge(stored)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.set.Prune(time.Now())
			return s.set.Records(kind)
		})
		s.mu.Lock()
		if err == nil {
			s.saved[kind] = max(s.saved[kind], version)
		}
		s.unsaved[kind] = s.unsaved[kind] || err != nil
		s.mu.Unlock()
		if err != nil {
			s.logger.Debug("cannot write shared decisions", zap.String("kind", string(kind)), zap.Error(err))
			allSaved = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if allSaved && !s.unsaved[decision.Drain] && !s.unsaved[decision.Quarantine] {
		close(s.flushed)
		s.flushed = make(chan struct{})
	}
	return allSaved
}

// pollStore polls the object API for changes while this router is a relay. A router that has not
// restored its state polls even if it is not a relay.
func (s *sharedState) pollStore(ctx context.Context) {
	select {
	case <-s.node.Ready():
	case <-ctx.Done():
		return
	}
	next := map[decision.Kind]time.Time{}
	for wait := time.Duration(0); sleep.For(ctx, wait) == nil; wait = localPollInterval {
		s.mu.Lock()
		restored := s.restored
		s.mu.Unlock()
		if restored && !s.node.Owners().IsRelay() {
			continue
		}
		complete := true
		for kind, interval := range map[decision.Kind]time.Duration{decision.Drain: decision.DrainPollInterval, decision.Quarantine: quarantinePollInterval} {
			if time.Now().Before(next[kind]) {
				continue
			}
			next[kind] = time.Now().Add(interval/2 + rand.N(interval))
			if !restored {
				next[kind] = time.Now().Add(minRetryDelay + rand.N(maxRetryDelay-minRetryDelay))
			}
			if err := s.loadIfChanged(ctx, kind); err != nil {
				complete = false
				s.logger.Debug("cannot read shared decisions", zap.String("kind", string(kind)), zap.Error(err))
			}
		}
		if !restored && complete && s.allKindsRead() {
			s.markRestored()
		}
	}
}

// allKindsRead reports whether every kind was read from or written to the object API.
func (s *sharedState) allKindsRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.saved) == len(decision.Kinds)
}

// loadIfChanged reads a kind if its stored object has changed or this router has not read it yet.
func (s *sharedState) loadIfChanged(ctx context.Context, kind decision.Kind) error {
	version, err := s.records.Version(ctx, kind)
	if err != nil {
		return err
	}
	s.mu.Lock()
	saved, known := s.saved[kind]
	s.mu.Unlock()
	if known && version <= saved {
		return nil
	}
	records, version, err := s.records.Load(ctx, kind)
	if err != nil {
		return err
	}
	changed := s.mergeStored(kind, records, version)
	if known {
		s.announceToZone(ctx, changed)
	}
	return nil
}

// announceToZone sends decisions that a relay read from the object API directly to the routers of
// its availability zone. Otherwise they would spread only by the digests in pings, and the routers
// of a zone that is cut off from the other zones exchange few pings. Decisions above
// maxAnnouncedChanges still spread that way.
func (s *sharedState) announceToZone(ctx context.Context, changed []decision.Change) {
	for _, c := range changed[:min(len(changed), maxAnnouncedChanges)] {
		if c.SetAt > 0 || c.RevokedAt > 0 {
			go s.node.BroadcastInZone(ctx, toNotice(c.Record))
		}
	}
}
