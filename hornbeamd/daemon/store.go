package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"hornbeamstep.example/coord/agreed"
	"hornbeamstep.example/coord/pause"
)

const (
	// restoreLimit is the longest wait of a starting router for what was agreed on before. Without an answer it starts all the same
	// and learns of it later: an outage of the object API during a restart of all routers must not last longer than the outage.
	restoreLimit = 5 * time.Second
	// crashesEvery is the time between two looks by a relay for changes of the quarantine; agreed.LookEvery that for drains.
	crashesEvery = 5 * time.Second
	// mostTold bounds the decisions of one look that a relay tells its availability zone of.
	mostTold = 8
)

// restore takes over what was agreed on before this process started, from the object API or else from another router.
func (s *standing) restore(ctx context.Context) {
	select {
	case <-s.node.Ready():
	case <-ctx.Done():
		return
	}
	limit, cancel := context.WithTimeout(ctx, restoreLimit)
	defer cancel()
	s.first(limit, true)
	if limit.Err() == nil {
		s.complete()
		return
	}
	if ctx.Err() == nil {
		s.zap.Warn("neither the object api nor a router has told of drains and quarantined requests; the start goes on without")
	}
}

func (s *standing) complete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// load takes over all kinds from the object API. What it lacks is written.
func (s *standing) load(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range agreed.Kinds {
		group.Go(func() error {
			records, version, err := s.log.Load(ctx, kind)
			if err == nil {
				s.loaded(kind, records, version)
			}
			return err
		})
	}
	return group.Wait()
}

// loaded takes what was read and returns what was not known.
func (s *standing) loaded(kind agreed.Kind, records []agreed.Record, version int64) []agreed.Change {
	changed := s.merge(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved[kind] = max(s.saved[kind], version)
	stored := agreed.NewSet()
	stored.Merge(time.Now(), records)
	for _, r := range s.set.Records(kind) {
		if old, ok := stored.Get(kind, r.Name); !ok || !old.Equal(r) {
			s.save(kind)
			break
		}
	}
	return changed
}

// run writes what is unsaved, looks for changes in the object API while this router is a relay, and keeps the signs of life.
func (s *standing) run(ctx context.Context) error {
	go s.beat(ctx)
	go s.follow(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		}
		for ctx.Err() == nil && !s.write(ctx) {
			_ = pause.For(ctx, retryLeast+rand.N(retryMost-retryLeast))
		}
	}
	return nil
}

func (s *standing) beat(ctx context.Context) {
	for next := time.Duration(0); pause.For(ctx, next) == nil; next = beatEvery {
		s.gate.Beat(time.Now())
	}
}

// write saves the unsaved kinds and returns false if one could not be.
func (s *standing) write(ctx context.Context) bool {
	all := true
	for _, kind := range agreed.Kinds {
		s.mu.Lock()
		unsaved := s.unsaved[kind]
		delete(s.unsaved, kind)
		s.mu.Unlock()
		if !unsaved {
			continue
		}
		version, err := s.log.Save(ctx, kind, func(stored []agreed.Record) []agreed.Record {
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
			s.zap.Debug("decisions could not be written", zap.String("kind", string(kind)), zap.Error(err))
			all = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all && !s.unsaved[agreed.Drain] && !s.unsaved[agreed.Quarantine] {
		close(s.idle)
		s.idle = make(chan struct{})
	}
	return all
}

// follow looks for changes in the object API: as a relay, and until this router has read it once.
func (s *standing) follow(ctx context.Context) {
	select {
	case <-s.node.Ready():
	case <-ctx.Done():
		return
	}
	next := map[agreed.Kind]time.Time{}
	for wait := time.Duration(0); pause.For(ctx, wait) == nil; wait = assignEvery {
		s.mu.Lock()
		restored := s.restored
		s.mu.Unlock()
		if restored && !s.node.Owners().IsRelay() {
			continue
		}
		complete := true
		for kind, every := range map[agreed.Kind]time.Duration{agreed.Drain: agreed.DrainPollInterval, agreed.Quarantine: crashesEvery} {
			if time.Now().Before(next[kind]) {
				continue
			}
			next[kind] = time.Now().Add(every/2 + rand.N(every))
			if !restored {
				next[kind] = time.Now().Add(retryLeast + rand.N(retryMost-retryLeast))
			}
			if err := s.look(ctx, kind); err != nil {
				complete = false
				s.zap.Debug("decisions could not be read", zap.String("kind", string(kind)), zap.Error(err))
			}
		}
		if !restored && complete && s.read() {
			s.complete()
		}
	}
}

// read is true once every kind was read from the object API.
func (s *standing) read() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.saved) == len(agreed.Kinds)
}

// look reads a kind if its object has changed. A router that has not read it yet, reads it in any case.
func (s *standing) look(ctx context.Context, kind agreed.Kind) error {
	version, err := s.log.Version(ctx, kind)
	if err != nil {
		return err
	}
	s.mu.Lock()
	saved, known := s.saved[kind]
	s.mu.Unlock()
	if known && version <= saved {
		return nil
	}
	records, version, err := s.log.Load(ctx, kind)
	if err != nil {
		return err
	}
	changed := s.loaded(kind, records, version)
	if known {
		s.tellZone(ctx, changed)
	}
	return nil
}

// tellZone tells the routers of this availability zone of decisions that a relay read: when the zone is cut off from the others, few
// pings go from one of its routers to another. The rest is left to the digests of pings.
func (s *standing) tellZone(ctx context.Context, changed []agreed.Change) {
	for _, c := range changed[:min(len(changed), mostTold)] {
		if c.SetAt > 0 || c.RevokedAt > 0 {
			go s.node.TellZone(ctx, toNotice(c.Record))
		}
	}
}
