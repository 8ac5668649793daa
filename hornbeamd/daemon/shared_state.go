package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

const (
	// storeWaitTimeout is how long an operator's request waits for its write to the object API; the
	// write continues afterwards.
	storeWaitTimeout = 2 * time.Second
	// pullTimeout is how long requests wait after a pause of the process for the decisions made
	// during the pause, which other routers and the object API hold. concurrentPulls is the number
	// of routers asked at the same time, also when the process starts.
	pullTimeout     = 2 * time.Second
	concurrentPulls = 3
	// heartbeatInterval is the time between two heartbeats of the pause detector.
	heartbeatInterval = 100 * time.Millisecond
)

// sharedState holds the decisions that all routers share: which backend servers are drained, and
// which requests are quarantined, or suspected, because they crash engines. It is stored in the
// object API and replicated to every router, so a restart of any router does not lose it. It
// implements peer.DecisionSet and peer.Notices.
type sharedState struct {
	records *decision.RecordStore
	logger  *zap.Logger
	pauses  decision.PauseDetector
	// node and loop must be set before use.
	node *peer.Node
	loop *control.Loop

	// applying is held while a change is merged and passed to the control loop, so that the loop
	// receives changes in the order of the merges. It is locked before mu.
	applying sync.Mutex

	mu  sync.Mutex
	set *decision.Set
	// restored is set once this process has read the state from before its start, either from the
	// object API or from a router that is itself restored.
	restored bool
	// saved holds, for each kind, the version of its stored object that set includes. unsaved holds
	// the kinds with records that the stored object may lack.
	saved   map[decision.Kind]int64
	unsaved map[decision.Kind]bool
	// wake wakes the writer. flushed is closed and replaced when no kind is unsaved.
	wake    chan struct{}
	flushed chan struct{}
	// pullDone is closed when the running call of pullMissedDecisions ends; nil if none runs.
	pullDone chan struct{}
}

func newSharedState(store objectapi.Store, log *zap.Logger) *sharedState {
	return &sharedState{
		records: &decision.RecordStore{Store: store}, logger: log, pauses: decision.PauseDetector{MaxGap: member.DefaultPauseThreshold}, set: decision.NewSet(),
		saved: map[decision.Kind]int64{}, unsaved: map[decision.Kind]bool{}, wake: make(chan struct{}, 1), flushed: make(chan struct{}),
	}
}

// Digest implements peer.DecisionSet.
func (s *sharedState) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest()
}

// Digests implements peer.DecisionSet.
func (s *sharedState) Digests() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.set.Digests()
	return d[:]
}

// Differing implements peer.DecisionSet.
func (s *sharedState) Differing(digests []uint32) ([]decision.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Prune(time.Now())
	return s.set.Differing(digests), s.restored
}

// Merge implements peer.DecisionSet.
func (s *sharedState) Merge(records []decision.Record) { s.merge(records) }

func (s *sharedState) merge(records []decision.Record) []decision.Change {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	changed := s.set.Merge(time.Now(), records)
	s.mu.Unlock()
	s.apply(changed)
	return changed
}

// Notice implements peer.Notices. If the sender's clock is wrong, the time of a crash or quarantine
// is replaced by this router's time. Decisions of operators keep their time, because the later of
// two decisions on the same name wins.
func (s *sharedState) Notice(n peer.Notice) {
	switch n.Kind {
	case "drain", "undrain", "release":
	default:
		n.At = quarantine.CorrectClockSkew(time.Now(), n.At)
	}
	s.Merge([]decision.Record{toRecord(n)})
}

// recordCrash adds a crash or quarantine that this router's control loop reported, and schedules
// its write. It does not pass the record back to the control loop.
func (s *sharedState) recordCrash(r decision.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Merge(time.Now(), []decision.Record{r})
	s.scheduleSave(r.Kind)
}

// decide applies an operator's decision on this router, notifies the other routers in the
// background, and waits up to storeWaitTimeout until the decision is written to the object API.
func (s *sharedState) decide(ctx context.Context, kind decision.Kind, name string, active bool, reason string) {
	s.applying.Lock()
	s.mu.Lock()
	r := s.set.Decide(time.Now(), kind, name, active, reason)
	s.scheduleSave(kind)
	flushed := s.flushed
	s.mu.Unlock()
	s.apply([]decision.Change{{Record: r}})
	s.applying.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		s.node.BroadcastAndWait(ctx, toNotice(r))
	}()
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-time.After(storeWaitTimeout):
		s.logger.Warn("operator decision is in force but not yet stored in the object API; the write continues",
			zap.String("kind", string(kind)), zap.String("name", name))
	}
}

// scheduleSave schedules the write of a kind. The caller must hold mu.
func (s *sharedState) scheduleSave(kind decision.Kind) {
	s.unsaved[kind] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// apply passes changes to the control loop. The caller must hold applying.
func (s *sharedState) apply(changed []decision.Change) {
	for _, c := range changed {
		if c.Kind == decision.Drain {
			s.loop.SetDrained(c.Name, c.IsActive())
			continue
		}
		s.loop.MergeSuspects(toEntries(c))
	}
}

// toEntries converts a change of a quarantine record to quarantine entries. For a request that is
// suspected but not quarantined, it includes only the latest crash, and only if that crash is new:
// a successful answer may have cleared an earlier one.
func toEntries(c decision.Change) []quarantine.Entry {
	var entries []quarantine.Entry
	if c.RevokedAt > 0 {
		released := time.Unix(0, c.RevokedAt)
		entries = append(entries, quarantine.Entry{Fingerprint: c.Name, Released: released, At: released})
	}
	e := quarantine.Entry{Fingerprint: c.Name, Quarantined: c.IsActive(), At: time.Unix(0, c.LastUpdate())}
	crashIDs := c.NewCrashes
	if e.Quarantined {
		crashIDs = slices.Sorted(maps.Keys(c.Crashes))
	}
	for _, crashID := range crashIDs {
		if !e.Quarantined && c.Crashes[crashID] < c.LastUpdate() {
			continue
		}
		engine, boot, _ := strings.Cut(crashID, " ")
		e.Crashes = append(e.Crashes, quarantine.Crash{Engine: engine, Boot: boot})
	}
	if e.Quarantined || len(e.Crashes) > 0 {
		entries = append(entries, e)
	}
	return entries
}

// toRecord converts a notice to a record. A notice of a crash or quarantine holds one crash, which
// becomes the only crash of the record.
func toRecord(n peer.Notice) decision.Record {
	at := n.At.UnixNano()
	r := decision.Record{Kind: decision.Quarantine, Name: n.Fingerprint, Account: n.Account, Reason: n.Reason}
	switch n.Kind {
	case "drain":
		r.Kind, r.Name, r.SetAt = decision.Drain, n.Engine, at
	case "undrain":
		r.Kind, r.Name, r.RevokedAt = decision.Drain, n.Engine, at
	case "release":
		r.RevokedAt = at
	case "quarantine":
		r.SetAt = at
		fallthrough
	default:
		r.Crashes = map[string]int64{n.Engine + " " + n.Boot: at}
	}
	return r
}

// toNotice converts the record of a decision to a notice. A notice holds one crash; of several
// crashes, an arbitrary one is taken.
func toNotice(r decision.Record) peer.Notice {
	n := peer.Notice{Kind: "release", Fingerprint: r.Name, Account: r.Account, Reason: r.Reason, At: time.Unix(0, r.LastUpdate()).UTC()}
	if r.Kind == decision.Drain {
		n.Kind, n.Fingerprint, n.Engine = "undrain", "", r.Name
		if r.IsActive() {
			n.Kind = "drain"
		}
		return n
	}
	if r.IsActive() {
		n.Kind, n.At = "quarantine", time.Unix(0, r.SetAt).UTC()
		for crashID := range r.Crashes {
			n.Engine, n.Boot, _ = strings.Cut(crashID, " ")
		}
	}
	return n
}

func (s *sharedState) isDrained(backend string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.set.Get(decision.Drain, backend)
	return r.IsActive()
}

// withAccounts sets the client accounts of quarantined requests.
func (s *sharedState) withAccounts(list []operator.Quarantined) []operator.Quarantined {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		r, _ := s.set.Get(decision.Quarantine, list[i].Fingerprint)
		list[i].Account = r.Account
	}
	return list
}

// ensureCurrent returns nil if this router cannot have missed shared decisions. After a pause of
// the process, it waits until another router or the object API has returned them, and returns an
// error if none does within pullTimeout. If it knows no other live router, it returns nil
// after pullTimeout without an answer.
func (s *sharedState) ensureCurrent(ctx context.Context) error {
	if s.pauses.Fresh(time.Now()) {
		return nil
	}
	s.mu.Lock()
	if s.pullDone == nil {
		s.pullDone = make(chan struct{})
		go s.pullMissedDecisions(s.pullDone)
	}
	done := s.pullDone
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	if s.pauses.Fresh(time.Now()) {
		return nil
	}
	return &outcome.Error{
		Code: outcome.Isolated, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: pullTimeout,
		Message: "this router was paused and has not heard from the fleet since",
		Remedy:  "send the request to another router",
	}
}

// pullMissedDecisions asks a few routers and the object API for the decisions made during a pause,
// and waits for the first answer. It closes done when it ends.
func (s *sharedState) pullMissedDecisions(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	begin := time.Now()
	s.waitForAnswer(ctx, false)
	// Without another live router, there is none whose decision this router can have missed.
	if ctx.Err() == nil || len(s.randomPeers(1)) == 0 {
		s.pauses.MarkFresh(begin)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pullDone = nil
	close(done)
}

// waitForAnswer asks the object API and other routers, with retries, until one of them has answered
// or ctx ends. If requireRestored is set, it ignores the answers of routers that have not yet
// restored the state from before their own start.
func (s *sharedState) waitForAnswer(ctx context.Context, requireRestored bool) {
	answered := make(chan struct{}, concurrentPulls+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	try := func(ask func() bool) {
		for ctx.Err() == nil {
			if ask() {
				answered <- struct{}{}
				return
			}
			_ = sleep.For(ctx, minRetryDelay)
		}
	}
	for range concurrentPulls {
		go try(func() bool {
			for _, router := range s.randomPeers(1) {
				restored, err := s.node.PullDecisions(ctx, router)
				return err == nil && (restored || !requireRestored)
			}
			return false
		})
	}
	go try(func() bool { return s.load(ctx) == nil })
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// randomPeers returns up to limit other live routers, chosen at random.
func (s *sharedState) randomPeers(limit int) []string {
	var out []string
	for _, m := range s.node.Members().Members {
		if m.ID != s.node.ID && m.Status.Live() {
			out = append(out, m.ID)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), limit)]
}

// gatedDispatcher admits requests only if this router cannot have missed shared decisions; see
// ensureCurrent. It implements caller.Dispatcher.
type gatedDispatcher struct {
	*control.Loop
	sharedState *sharedState
}

// Admit implements caller.Dispatcher.
func (g gatedDispatcher) Admit(ctx context.Context, request caller.SlotRequest) (caller.Grant, error) {
	if err := g.sharedState.ensureCurrent(ctx); err != nil {
		return caller.Grant{}, err
	}
	return g.Loop.Admit(ctx, request)
}

var (
	_ peer.DecisionSet  = (*sharedState)(nil)
	_ peer.Notices      = (*sharedState)(nil)
	_ caller.Dispatcher = gatedDispatcher{}
)
