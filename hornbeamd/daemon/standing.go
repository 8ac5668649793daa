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

	"hornbeamstep.example/coord/agreed"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

const (
	// storeLimit is how long an operator's order waits until the object API holds it; writing goes on afterwards.
	storeLimit = 2 * time.Second
	// confirmLimit is how long requests wait after a pause of the process until another router or the object API has told what was
	// decided meanwhile, and confirmPeers the number of routers asked for it at once.
	confirmLimit = 2 * time.Second
	confirmPeers = 3
	// beatEvery is the time between two signs of life of the process.
	beatEvery = 100 * time.Millisecond
)

// standing is what operators and routers agreed on: drained backend servers and requests that crash engines. It is kept in the object
// API and by all routers, and outlives each of them. It implements peer.Agreed and peer.Notices.
type standing struct {
	log  *agreed.RecordStore
	zap  *zap.Logger
	gate agreed.PauseDetector
	// node and loop are set before use.
	node *peer.Node
	loop *control.Loop

	// applying keeps the order of changes on their way to the control loop.
	applying sync.Mutex

	mu  sync.Mutex
	set *agreed.Set
	// restored is true once the object API, or a router that has read it, told what was agreed on before this process started.
	restored bool
	// saved holds the version of each kind's object that the set contains, and unsaved the kinds with records that it may lack.
	saved   map[agreed.Kind]int64
	unsaved map[agreed.Kind]bool
	// kick wakes the writer; idle is closed and replaced when nothing is unsaved.
	kick chan struct{}
	idle chan struct{}
	// confirming is closed when the running exchange after a pause has ended; nil if none runs.
	confirming chan struct{}
}

func newStanding(store objectapi.Store, log *zap.Logger) *standing {
	return &standing{
		log: &agreed.RecordStore{Store: store}, zap: log, gate: agreed.PauseDetector{Gap: member.DefaultPauseThreshold}, set: agreed.NewSet(),
		saved: map[agreed.Kind]int64{}, unsaved: map[agreed.Kind]bool{}, kick: make(chan struct{}, 1), idle: make(chan struct{}),
	}
}

// Digest implements peer.Agreed.
func (s *standing) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest()
}

// Digests implements peer.Agreed.
func (s *standing) Digests() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.set.Digests()
	return d[:]
}

// Differing implements peer.Agreed.
func (s *standing) Differing(digests []uint32) ([]agreed.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Prune(time.Now())
	return s.set.Differing(digests), s.restored
}

// Merge implements peer.Agreed.
func (s *standing) Merge(records []agreed.Record) { s.merge(records) }

func (s *standing) merge(records []agreed.Record) []agreed.Change {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	changed := s.set.Merge(time.Now(), records)
	s.mu.Unlock()
	s.apply(changed)
	return changed
}

// Notice implements peer.Notices. Crashes keep this router's time if the sender's clock is off; orders of operators keep theirs,
// because two orders about one name are compared by it.
func (s *standing) Notice(n peer.Notice) {
	switch n.Kind {
	case "drain", "undrain", "release":
	default:
		n.At = quarantine.CorrectClockSkew(time.Now(), n.At)
	}
	s.Merge([]agreed.Record{toRecord(n)})
}

// took records a crash that this router's control loop knows already, and has it written.
func (s *standing) took(r agreed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Merge(time.Now(), []agreed.Record{r})
	s.save(r.Kind)
}

// decide carries out an operator's order on this router, tells the others, and waits a while until the object API holds it.
func (s *standing) decide(ctx context.Context, kind agreed.Kind, name string, on bool, reason string) {
	s.applying.Lock()
	s.mu.Lock()
	r := s.set.Decide(time.Now(), kind, name, on, reason)
	s.save(kind)
	idle := s.idle
	s.mu.Unlock()
	s.apply([]agreed.Change{{Record: r}})
	s.applying.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryLimit)
		defer cancel()
		s.node.Tell(ctx, toNotice(r))
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	case <-time.After(storeLimit):
		s.zap.Warn("order of an operator is in force but not yet in the object api; writing it goes on",
			zap.String("kind", string(kind)), zap.String("name", name))
	}
}

// save has the writer write a kind. The caller holds mu.
func (s *standing) save(kind agreed.Kind) {
	s.unsaved[kind] = true
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// apply hands changes to the control loop. The caller holds applying.
func (s *standing) apply(changed []agreed.Change) {
	for _, c := range changed {
		if c.Kind == agreed.Drain {
			s.loop.SetDrained(c.Name, c.InForce())
			continue
		}
		s.loop.MergeSuspects(toEntries(c))
	}
}

// toEntries returns a change as the quarantine knows it. Of a mere suspect only the latest crash counts, since an earlier one may have
// been cleared by an answer.
func toEntries(c agreed.Change) []quarantine.Entry {
	var entries []quarantine.Entry
	if c.RevokedAt > 0 {
		off := time.Unix(0, c.RevokedAt)
		entries = append(entries, quarantine.Entry{Fingerprint: c.Name, Released: off, At: off})
	}
	e := quarantine.Entry{Fingerprint: c.Name, Quarantined: c.InForce(), At: time.Unix(0, c.LastUpdate())}
	marks := c.NewCrashes
	if e.Quarantined {
		marks = slices.Sorted(maps.Keys(c.Crashes))
	}
	for _, mark := range marks {
		if !e.Quarantined && c.Crashes[mark] < c.LastUpdate() {
			continue
		}
		engine, boot, _ := strings.Cut(mark, " ")
		e.Crashes = append(e.Crashes, quarantine.Crash{Engine: engine, Boot: boot})
	}
	if e.Quarantined || len(e.Crashes) > 0 {
		entries = append(entries, e)
	}
	return entries
}

func toRecord(n peer.Notice) agreed.Record {
	at := n.At.UnixNano()
	r := agreed.Record{Kind: agreed.Quarantine, Name: n.Fingerprint, Account: n.Account, Reason: n.Reason}
	switch n.Kind {
	case "drain":
		r.Kind, r.Name, r.SetAt = agreed.Drain, n.Engine, at
	case "undrain":
		r.Kind, r.Name, r.RevokedAt = agreed.Drain, n.Engine, at
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

// toNotice is the notice of a decision.
func toNotice(r agreed.Record) peer.Notice {
	n := peer.Notice{Kind: "release", Fingerprint: r.Name, Account: r.Account, Reason: r.Reason, At: time.Unix(0, r.LastUpdate()).UTC()}
	if r.Kind == agreed.Drain {
		n.Kind, n.Fingerprint, n.Engine = "undrain", "", r.Name
		if r.InForce() {
			n.Kind = "drain"
		}
		return n
	}
	if r.InForce() {
		n.Kind, n.At = "quarantine", time.Unix(0, r.SetAt).UTC()
		for mark := range r.Crashes {
			n.Engine, n.Boot, _ = strings.Cut(mark, " ")
		}
	}
	return n
}

func (s *standing) drains(backend string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.set.Get(agreed.Drain, backend)
	return r.InForce()
}

// withAccounts adds the client accounts to quarantined requests.
func (s *standing) withAccounts(list []operator.Quarantined) []operator.Quarantined {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		r, _ := s.set.Get(agreed.Quarantine, list[i].Fingerprint)
		list[i].Account = r.Account
	}
	return list
}

// confirm returns nil if this router knows what is agreed on. After a pause of its process it asks others first, and returns a
// refusal if none of them answers.
func (s *standing) confirm(ctx context.Context) error {
	if s.gate.Fresh(time.Now()) {
		return nil
	}
	s.mu.Lock()
	if s.confirming == nil {
		s.confirming = make(chan struct{})
		go s.ask(s.confirming)
	}
	asked := s.confirming
	s.mu.Unlock()
	select {
	case <-asked:
	case <-ctx.Done():
	}
	if s.gate.Fresh(time.Now()) {
		return nil
	}
	return &outcome.Error{
		Code: outcome.Isolated, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: confirmLimit,
		Message: "this router was paused and has not heard from the fleet since",
		Remedy:  "send the request to another router",
	}
}

// ask learns from a few routers and from the object API what was decided during a pause; the first answer counts.
func (s *standing) ask(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmLimit)
	defer cancel()
	begun := time.Now()
	s.first(ctx, false)
	// A router that knows no other one has nobody whose decision it could have missed.
	if ctx.Err() == nil || len(s.others(1)) == 0 {
		s.gate.MarkFresh(begun)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirming = nil
	close(done)
}

// first waits until the object API or another router has answered, or ctx ends. It asks again until then. If complete is set, only
// a router counts that has read what was agreed on before it started.
func (s *standing) first(ctx context.Context, complete bool) {
	answered := make(chan struct{}, confirmPeers+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	try := func(ask func() bool) {
		for ctx.Err() == nil {
			if ask() {
				answered <- struct{}{}
				return
			}
			_ = pause.For(ctx, retryLeast)
		}
	}
	for range confirmPeers {
		go try(func() bool {
			for _, router := range s.others(1) {
				whole, err := s.node.PullAgreed(ctx, router)
				return err == nil && (whole || !complete)
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

// others returns a few other routers, at random.
func (s *standing) others(most int) []string {
	var out []string
	for _, m := range s.node.Members().Members {
		if m.ID != s.node.ID && m.Status.Live() {
			out = append(out, m.ID)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), most)]
}

// guard keeps requests waiting while this router may not know what is agreed on. It implements caller.Dispatcher.
type guard struct {
	*control.Loop
	standing *standing
}

// Admit implements caller.Dispatcher.
func (g guard) Admit(ctx context.Context, a caller.SlotRequest) (caller.Grant, error) {
	if err := g.standing.confirm(ctx); err != nil {
		return caller.Grant{}, err
	}
	return g.Loop.Admit(ctx, a)
}

var (
	_ peer.Agreed       = (*standing)(nil)
	_ peer.Notices      = (*standing)(nil)
	_ caller.Dispatcher = guard{}
)
