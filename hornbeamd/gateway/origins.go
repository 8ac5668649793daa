package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/routing/origin"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

const (
	// originTimeout limits the wait for the answers of other routers that are asked for the origin of a
	// stream.
	originTimeout = 50 * time.Millisecond
	// archiveTimeout limits the wait for the origins in the store, and archiveReadInterval is the least
	// time between two calls that read them.
	archiveTimeout      = 400 * time.Millisecond
	archiveReadInterval = time.Second
	// historyTimeout limits the time of a call that reads the history of versions, and
	// minHistoryReadInterval is the least time between two of these calls.
	historyTimeout         = 400 * time.Millisecond
	minHistoryReadInterval = 50 * time.Millisecond
	// historyReadShare is the share of the store's rate limit that all routers together use for these
	// calls.
	historyReadShare = 0.25
	// defaultStreamTimeout is how long a stream may last if its route has no timeout.
	defaultStreamTimeout = 30 * time.Second
)

// OriginTransport sends messages to routers with the given heartbeat addresses. It must not block.
type OriginTransport interface {
	// SendOrigin tells routers which build began a stream. It returns once the message is sent, so
	// that the message arrives even if this router is killed after that.
	SendOrigin(to []string, stream origin.Stream, build origin.Build)
	// AskOrigin asks routers for the build that began a stream.
	AskOrigin(to []string, q origin.Question)
}

// OriginArchive is what the store holds on the origins of streams, where it lasts if all routers are
// killed.
type OriginArchive interface {
	// Add queues the origin of a stream for writing. It must not block.
	Add(stream origin.Stream, build origin.Build)
	// Read returns the origins in the store.
	Read(ctx context.Context) ([]origin.Batch, error)
	// History returns the history of the versions of backend servers in the store, as it is during the
	// call. found is false if there is none of the store's present era.
	History(ctx context.Context) (h roster.History, found bool, err error)
}

// Origins knows at which build each stream began, together with the other routers. It is safe for
// concurrent use. Transport must be set before first use; without one there are no other routers.
// Archive and Log are optional. Without an archive, only records tell the origin of a stream.
type Origins struct {
	Transport OriginTransport
	Archive   OriginArchive
	Log       *zap.Logger
	// StoreReadsPerSecond is the rate at which all routers together may read from the store; 0 if there
	// is no limit.
	StoreReadsPerSecond float64

	mu      sync.Mutex
	ledger  *origin.Ledger
	routers []origin.Router
	// archivist is the router that writes origins to the store.
	archivist Archivist
	// archiveRead is closed once the latest call that reads the archive has ended; nil before the
	// first one. archiveReadAt is when it began.
	archiveRead   chan struct{}
	archiveReadAt time.Time
	// historyRead is the call that reads the history, until the next one may begin; nil if there is none.
	// nextHistoryRead is the one after it, for the requests that have arrived meanwhile.
	historyRead, nextHistoryRead *historyRead
	// pending holds the answers to the questions that are open, by their number.
	pending    map[uint32]chan origin.Answer
	lastNumber uint32
}

// Archivist is the router that writes the origins of streams to the store.
type Archivist struct {
	// Address is the address for messages, as ip:port; empty if there is no such router.
	Address string
	// IsSelf is true for this router.
	IsSelf bool
}

// NewOrigins returns an Origins that knows no streams and no other routers.
func NewOrigins() *Origins {
	return &Origins{ledger: origin.NewLedger(), pending: map[uint32]chan origin.Answer{}}
}

// SetServers replaces the list of backend servers and the history of their versions by those that
// have just arrived. history is nil if it is not known.
func (o *Origins) SetServers(now time.Time, servers []roster.Server, history *roster.History) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.SetServers(now, servers, history)
}

// SetArchivist replaces the router that writes origins to the store.
func (o *Origins) SetArchivist(a Archivist) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.archivist = a
}

// SetRouters replaces the other routers.
func (o *Origins) SetRouters(routers []origin.Router) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routers = routers
}

// Merge records the origin of a stream that another router has told.
func (o *Origins) Merge(now time.Time, stream origin.Stream, build origin.Build) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Record(now, stream, build)
	if o.archivist.IsSelf && o.Archive != nil && o.ledger.IsArchived(now, build) {
		o.Archive.Add(stream, build)
	}
}

// AnswerQuestion answers the question of another router.
func (o *Origins) AnswerQuestion(now time.Time, q origin.Question) origin.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Answer(now, q)
}

// HandleAnswer passes the answer of a router to the request that waits for it. An answer that
// arrives too late is dropped.
func (o *Origins) HandleAnswer(number uint32, answer origin.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.pending[number] <- answer:
	default:
	}
}

// record remembers the build that began a stream and tells the holders.
func (o *Origins) record(now time.Time, stream origin.Stream, build origin.Build) {
	o.mu.Lock()
	o.ledger.Record(now, stream, build)
	to := addressesOf(origin.HoldersOf(stream, o.routers))
	isArchived := o.ledger.IsArchived(now, build)
	archivist := o.archivist
	o.mu.Unlock()
	switch {
	case !isArchived:
	case archivist.IsSelf && o.Archive != nil:
		o.Archive.Add(stream, build)
	case archivist.Address != "" && !slices.Contains(to, archivist.Address):
		to = append(to, archivist.Address)
	}
	if len(to) > 0 {
		o.Transport.SendOrigin(to, stream, build)
	}
}

// find returns what is known of the build at which a stream may go on, and the number of routers that
// were asked. Unless this router has a record, it asks other routers, and then the store. isNamed is
// false if the client does not say which stream it resumes, so that no router can have a record.
func (o *Origins) find(ctx context.Context, q origin.Question, isNamed bool) (inquiry origin.Inquiry, asked int) {
	o.mu.Lock()
	inquiry = o.ledger.Inquire(time.Now(), q)
	to := addressesOf(origin.CandidatesOf(q.Stream, o.routers))
	o.mu.Unlock()
	if len(to) > 0 && !inquiry.HasRecord() {
		asked = len(to)
		inquiry = o.ask(ctx, inquiry, to)
	}
	if o.Archive != nil && !inquiry.HasRecord() {
		if h, found := o.readHistory(ctx); found {
			inquiry = inquiry.WithHistory(h)
		}
	}
	if !isNamed || inquiry.HasResult() {
		return inquiry, asked
	}
	if len(to) > 0 {
		// Datagrams may be lost.
		inquiry = o.ask(ctx, inquiry, to)
	}
	if o.Archive != nil && !inquiry.HasResult() {
		o.readArchive(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		inquiry = inquiry.WithArchived(o.ledger.Get(q.Stream))
	}
	return inquiry, asked
}

// historyRead is a call that reads the history of versions from the store for all requests that arrive
// before it begins. The other fields are set when done is closed.
type historyRead struct {
	done    chan struct{}
	history roster.History
	found   bool
}

// readHistory returns the history of versions that the store holds, which it reads after the call of
// readHistory. found is false if the store does not answer in time.
func (o *Origins) readHistory(ctx context.Context) (h roster.History, found bool) {
	o.mu.Lock()
	read := o.nextHistoryRead
	if read == nil {
		read = &historyRead{done: make(chan struct{})}
		if o.historyRead == nil {
			o.historyRead = read
			go o.runHistoryReads(context.WithoutCancel(ctx), read)
		} else {
			o.nextHistoryRead = read
		}
	}
	interval := o.historyReadInterval()
	o.mu.Unlock()
	// A call that another request has begun ends first.
	timeout := time.NewTimer(interval + historyTimeout)
	defer timeout.Stop()
	select {
	case <-read.done:
		return read.history, read.found
	case <-timeout.C:
	case <-ctx.Done():
	}
	return roster.History{}, false
}

// historyReadInterval returns the time between two calls that read the history. o.mu must be held.
func (o *Origins) historyReadInterval() time.Duration {
	if o.StoreReadsPerSecond <= 0 {
		return minHistoryReadInterval
	}
	perRouter := historyReadShare * o.StoreReadsPerSecond / float64(len(o.routers)+1)
	return max(minHistoryReadInterval, time.Duration(float64(time.Second)/perRouter))
}

// runHistoryReads makes the given call and those that are requested meanwhile.
func (o *Origins) runHistoryReads(ctx context.Context, read *historyRead) {
	for read != nil {
		began := time.Now()
		o.fetchHistory(ctx, read)
		o.mu.Lock()
		interval := o.historyReadInterval()
		o.mu.Unlock()
		time.Sleep(interval - time.Since(began))
		o.mu.Lock()
		read = o.nextHistoryRead
		o.historyRead, o.nextHistoryRead = read, nil
		o.mu.Unlock()
	}
}

func (o *Origins) fetchHistory(ctx context.Context, read *historyRead) {
	defer close(read.done)
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var err error
	if read.history, read.found, err = o.Archive.History(ctx); err != nil && o.Log != nil {
		o.Log.Info("reading the history of versions failed; streams without a record are rejected", zap.Error(err))
	}
}

// readArchive records the origins that the store has, unless they were read a short time ago. It
// returns once they are recorded, and after archiveTimeout at the latest.
func (o *Origins) readArchive(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	if o.archiveRead == nil || now.Sub(o.archiveReadAt) >= archiveReadInterval {
		done := make(chan struct{})
		o.archiveRead, o.archiveReadAt = done, now
		// The call serves the other requests that wait for it, too.
		go o.mergeArchive(context.WithoutCancel(ctx), done)
	}
	done := o.archiveRead
	o.mu.Unlock()
	timeout := time.NewTimer(archiveTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func (o *Origins) mergeArchive(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(ctx, archiveReadInterval)
	defer cancel()
	began := time.Now()
	batches, err := o.Archive.Read(ctx)
	streams := 0
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, batch := range batches {
		streams += batch.Size()
		for build, list := range batch.Streams {
			for _, stream := range list {
				o.ledger.Record(began, stream, build)
			}
		}
	}
	if o.Log != nil {
		o.Log.Info("read the origins of streams from the metadata store", zap.Int("streams", streams), zap.Duration("took", time.Since(began)), zap.Error(err))
	}
}

// ask sends the question of an inquiry, and returns the inquiry with the answers.
func (o *Origins) ask(ctx context.Context, inquiry origin.Inquiry, to []string) origin.Inquiry {
	answers := make(chan origin.Answer, len(to))
	o.mu.Lock()
	o.lastNumber++
	inquiry.Number = o.lastNumber
	o.pending[inquiry.Number] = answers
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending, inquiry.Number)
	}()
	o.Transport.AskOrigin(to, inquiry.Question)
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for range to {
		select {
		case a := <-answers:
			inquiry = inquiry.WithAnswer(a)
		case <-timeout.C:
			return inquiry
		case <-ctx.Done():
			return inquiry
		}
		if inquiry.HasRecord() {
			break
		}
	}
	return inquiry
}

// version returns the service and the version of a build that a listed server has.
func (o *Origins) version(build origin.Build) (service, version string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Version(build)
}

func addressesOf(routers []origin.Router) []string {
	out := make([]string, len(routers))
	for i, r := range routers {
		out[i] = r.Address
	}
	return out
}

// Outcomes of requests that resume a stream which can't go on.
const (
	// unknownOrigin means that no router that could be reached knows which version began the
	// stream.
	unknownOrigin = "unknown_version"
	// versionGone means that no server of the version that began the stream is listed.
	versionGone = "version_gone"
)

// isResumed reports whether the client resumes a stream of an earlier request.
func (c *clientRequest) isResumed() bool {
	return c.route.Kind == routes.Streaming && (c.metadata.LastEventID != "" || c.metadata.Resumes != "")
}

// stream identifies the stream that the request begins or resumes.
func (c *clientRequest) stream() origin.Stream {
	if c.metadata.Resumes != "" {
		return origin.StreamOf(c.metadata.Resumes)
	}
	return origin.StreamOf(c.metadata.Attempt)
}

// resolveOrigin restricts a request that resumes a stream to the version that began it. It returns
// a rejection if the stream can't go on.
func (c *clientRequest) resolveOrigin() *rejection {
	if !c.isResumed() || c.hasVersion {
		return nil
	}
	life := c.route.Timeout
	if life <= 0 {
		life = defaultStreamTimeout
	}
	origins := c.server.Origins
	inquiry, asked := origins.find(c.ctx, origin.Question{Stream: c.stream(), Service: origin.ServiceOf(c.service.Name), Within: life}, c.metadata.Resumes != "")
	build, source := inquiry.Result()
	service, version, listed := origins.version(build)
	listed = listed && c.hasService(service)
	c.server.Log.Info("client resumes a stream", zap.String("id", c.metadata.Attempt), zap.String("resumes", c.metadata.Resumes),
		zap.String("last_event", c.metadata.LastEventID), zap.String("origin", string(source)), zap.String("service", service),
		zap.String("version", version), zap.Bool("listed", listed), zap.Int("asked", asked), zap.Int("answers", inquiry.Answers()), zap.Duration("took", time.Since(c.receivedAt)))
	c.server.Metrics.countResumed(string(source), inquiry.Answers() > 0)
	switch {
	case source == origin.Unknown:
		// A router that did not answer may be reached by the next attempt.
		return &rejection{http.StatusServiceUnavailable, unknownOrigin, noServerRetryAfter}
	case !listed:
		return &rejection{http.StatusServiceUnavailable, versionGone, 0}
	}
	c.service = c.table.Service(service)
	c.version, c.hasVersion = version, true
	return nil
}

// hasService reports whether the route of the request leads to a service.
func (c *clientRequest) hasService(name string) bool {
	return slices.ContainsFunc(c.route.Shares, func(s routes.WeightedService) bool { return s.Service == name })
}

// claimStream must be called before events of an attempt are sent to the client. It returns false
// if they must not be sent, because another version began the stream, or because a standby has
// replaced the attempt before it sent any. The first call that returns true determines the version
// of the stream, and records it if a client may resume the stream.
func (c *clientRequest) claimStream(a *attempt) bool {
	if a.claimed {
		return true
	}
	if !c.lockVersion(a) {
		return false
	}
	a.claimed = true
	// The event of a peer may not arrive at the router that relays the request, which then begins the
	// stream elsewhere.
	if c.route.Resumable && !c.responseStarted && !c.relayed.recordsOrigin {
		c.server.Origins.record(time.Now(), c.stream(), origin.BuildOf(c.service.Name, a.version()))
	}
	return true
}

// lockVersion sets the version of the stream to that of an attempt, unless the stream has begun,
// and reports whether it is that version. It returns false if a standby has replaced the attempt.
func (c *clientRequest) lockVersion(a *attempt) bool {
	c.standby.mu.Lock()
	defer c.standby.mu.Unlock()
	if standby := c.standby.attempt; standby != nil && standby.ready {
		return false
	}
	c.mu.Lock()
	if !c.hasVersion {
		c.version, c.hasVersion = a.version(), true
	}
	c.mu.Unlock()
	return a.continuesStream()
}

// continuesStream reports whether the stream has not begun yet, or at the version of the attempt's
// server.
func (a *attempt) continuesStream() bool {
	c := a.request
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasVersion || c.version == a.version()
}

// version returns the software version of the server that responds to the attempt.
func (a *attempt) version() string {
	if a.viaPeer {
		return a.versionAtPeer
	}
	return a.choice.Server.Version
}
