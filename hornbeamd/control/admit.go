package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/timeline"
)

const (
	// maxEnginesTried is the number of engines that a request tries before it queues at one of
	// them.
	maxEnginesTried = 9
	// minQueueTimeout limits the first wait of a request in the queue of one engine. The request
	// then tries the other engines again. The limit doubles for each further wait, at most
	// maxQueueTimeoutDoublings times, so that long waits do not flood the network with slot
	// requests.
	minQueueTimeout          = 30 * time.Millisecond
	maxQueueTimeoutDoublings = 5
	// ownerChangeTimeout is how long a request waits for a new owner of an engine. A router that
	// failed is suspect for 5 s (member.DefaultSuspicionTimeout) before it loses its engines.
	ownerChangeTimeout = 5 * time.Second
	// outageTimeout is the age up to which an attempt waits while no engine accepts requests. It is
	// longer than localSuspicionTTL, so that the attempt sees local suspicions end.
	outageTimeout = 3 * time.Second
	// retryAfterRefusal is the Retry-After time of refusals.
	retryAfterRefusal = 2 * time.Second
)

// slotRetryBackoff is the delay before a request asks for a slot again, because no engine was in
// service or had free capacity, the router that was asked did not own the engine, or another crash
// suspect was running there. Its jitter spreads out requests that were refused at the same time.
var slotRetryBackoff = retry.Backoff{Base: 80 * time.Millisecond, Max: 400 * time.Millisecond}

// Admit implements caller.Dispatcher.
func (l *Loop) Admit(ctx context.Context, request caller.SlotRequest) (caller.Grant, error) {
	if refusal := l.checkAdmissible(request); refusal != nil {
		return caller.Grant{}, refusal
	}
	l.retries.countRequest(request)
	l.demand.countRequest(l.Now(), request)
	admit := l.admitEngine
	if request.Service != "" {
		admit = l.admitService
	}
	g, err := admit(ctx, request)
	if err != nil {
		l.limits.cancel(l.Now(), request.RequestID)
	}
	return g, err
}

// admitEngine asks for a slot on each engine in the order of the placement search until one is
// granted.
func (l *Loop) admitEngine(ctx context.Context, request caller.SlotRequest) (caller.Grant, error) {
	s := l.newSlotSearch(request)
	for {
		// The request may have waited while other routers reported crashes.
		if err := l.partError(request); err != nil {
			return caller.Grant{}, err
		}
		step := s.candidates.Next(l.Now())
		if step.Engine == "" {
			if !l.waitForEngine(ctx, s) {
				return caller.Grant{}, noEngineError(request)
			}
			continue
		}
		if l.lookUpContext(ctx, s, step) {
			continue
		}
		answer := l.requestSlot(ctx, s, step)
		switch {
		case answer.Kind == admission.Granted:
			grant := l.recordGrant(s, step, answer)
			l.fetchContext(ctx, s, step, answer)
			return grant, nil
		case ctx.Err() != nil || answer.Code == callerGone:
			return caller.Grant{}, gaveUpError(ctx)
		case l.mayRetryQueue(s, step, answer):
			s.queueTimeouts++
			s.candidates.Reset()
			// A request that did not wait in a queue is delayed here instead. A suspect never
			// queues, and neither does a request to a router that stands in for a silent owner.
			if answer.Waited < minQueueTimeout/2 && !l.waitToRetry(ctx, s, answer.Code) {
				return caller.Grant{}, gaveUpError(ctx)
			}
		case answer.Code == suspectBusy || answer.Code == notOwner:
			if !l.waitToRetry(ctx, s, answer.Code) {
				return caller.Grant{}, gaveUpError(ctx)
			}
		case !s.recordRefusal(l.Now(), step, answer):
			return caller.Grant{}, l.refusalError(request, answer)
		}
	}
}

// mayRetryQueue reports whether a request that was willing to queue and was refused for lack of
// capacity has time left to try again.
func (l *Loop) mayRetryQueue(s *slotSearch, step placement.Step, a Answer) bool {
	if a.Code != outcome.Overloaded || !step.Queue {
		return false
	}
	limit := s.snapshot.policy.Pools[s.snapshot.policy.Backends[step.Engine].Pool].Wait
	if limit <= 0 {
		limit = policy.DefaultWait
	}
	return l.Now().Sub(s.startedAt) < limit
}

// slotSearch is the search for a slot by one attempt of a request.
type slotSearch struct {
	slotRequest caller.SlotRequest
	// id is unique for each attempt of a request.
	id               string
	startedAt        time.Time
	placementRequest placement.Request
	chatKey          uint64
	// surging is true if the client account sends far more requests than usual.
	surging    bool
	snapshot   *snapshot
	candidates *placement.SlotSearch
	// lookedUp is true once the owner of the chat's home engine was asked which engine holds the
	// context.
	lookedUp bool
	// contextEngine is the engine that holds the chat's context according to the owner of the home;
	// empty if it named none.
	contextEngine string
	// retries counts the calls of waitToRetry, and queueTimeouts the refusals by engines at which
	// the request was willing to queue.
	retries, queueTimeouts int
	// notOwnerSince is when a router first refused because it does not own the engine; zero if none
	// did.
	notOwnerSince time.Time
}

func (l *Loop) newSlotSearch(request caller.SlotRequest) *slotSearch {
	s := &slotSearch{slotRequest: request, id: request.RequestID + "/" + strconv.Itoa(request.Attempt), startedAt: l.Now()}
	s.placementRequest, s.surging = l.chats.placementRequest(s.startedAt, request)
	s.chatKey = placement.Key(request.Model, request.Adapter, request.Chat)
	l.restartSearch(s)
	return s
}

// restartSearch starts the search over the current snapshot, and treats the engines on which the
// request failed before as suspect.
func (l *Loop) restartSearch(s *slotSearch) {
	s.snapshot = l.snapshot.Load()
	view := s.snapshot.view
	for _, name := range s.slotRequest.ExcludedBackends {
		view = view.WithState(name, placement.Suspect)
	}
	s.candidates = s.snapshot.rule.Search(l.Now(), s.placementRequest, view, maxEnginesTried)
}

// lookUpContext asks the owner of the chat's home engine which engine holds the context, at most
// once per search. If the next engine of the search is the home itself, it does not ask, because
// the reply to the slot request names the holder. It reports whether the search has changed.
func (l *Loop) lookUpContext(ctx context.Context, s *slotSearch, step placement.Step) bool {
	if s.lookedUp || s.placementRequest.ContextTokens == 0 || step.Engine == step.Home || step.Home == "" {
		return false
	}
	s.lookedUp = true
	owner := l.Peers.Owners().EngineOwner(step.Home)
	// A silent owner is not asked: the lookup saves a cache miss at most, but would wait until its
	// timeout.
	if slices.Contains(l.silent.list(l.Now()), owner) {
		return false
	}
	engine, err := l.Peers.ContextHolder(ctx, owner, s.chatKey)
	if err != nil && ctx.Err() == nil && owner != l.Settings.ID {
		l.silent.add(l.Now(), owner)
	}
	if err != nil || engine == "" {
		return false
	}
	s.contextEngine = engine
	s.candidates.SetHolder(l.Now(), engine)
	return true
}

// recordRefusal updates the search after a refusal. It returns false if the refusal is final.
func (s *slotSearch) recordRefusal(now time.Time, step placement.Step, a Answer) bool {
	switch {
	case a.ContextHolder != "":
		s.lookedUp = true
		s.contextEngine = a.ContextHolder
		s.candidates.SetHolder(now, a.ContextHolder)
	case a.Code == outcome.Overloaded && !step.Queue:
		s.candidates.RecordRefusal(step.Engine, max(a.Wait, time.Millisecond))
	case a.Code == outcome.NoBackend:
		s.candidates.Exclude(now, step.Engine)
	default:
		return false
	}
	return true
}

// requestSlot asks the owner of an engine for a slot.
func (l *Loop) requestSlot(ctx context.Context, s *slotSearch, step placement.Step) Answer {
	engineRequest := EngineSlotRequest{
		SlotRequest: admission.SlotRequest{
			RequestID: s.id, Router: l.Settings.ID, Account: s.slotRequest.Account, Class: admission.Class(s.slotRequest.Class), Surging: s.surging,
			Weight: s.slotRequest.Weight, Cost: 1, Deadline: s.slotRequest.Deadline, NoQueue: !step.Queue, Since: s.startedAt,
		},
		Fingerprint: s.slotRequest.Fingerprint,
		Suspect:     l.suspectedCrash(s.slotRequest.Fingerprint),
		Chat:        s.chatKey,
		Home:        step.Engine == step.Home && !s.lookedUp && s.placementRequest.ContextTokens > 0,
	}
	if step.Queue {
		engineRequest.Deadline = earlier(engineRequest.Deadline, l.Now().Add(minQueueTimeout<<min(s.queueTimeouts, maxQueueTimeoutDoublings)))
	}
	if l.snapshot.Load().owned[step.Engine] {
		return l.takeOwned(ctx, step.Engine, engineRequest)
	}
	return l.takeRemote(ctx, step.Engine, engineRequest)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitToRetry waits until a request may ask for a slot again, and restarts its search. It returns
// false if the request has to give up, because ctx has ended or ownerChangeTimeout has passed since
// a router first refused as not the owner.
func (l *Loop) waitToRetry(ctx context.Context, s *slotSearch, code outcome.Code) bool {
	if code == notOwner {
		if s.notOwnerSince.IsZero() {
			s.notOwnerSince = l.Now()
		}
		if l.Now().Sub(s.notOwnerSince) > ownerChangeTimeout {
			return false
		}
	}
	s.retries++
	if sleep.For(ctx, slotRetryBackoff.Delay(s.retries, rand.Float64())) != nil {
		return false
	}
	l.restartSearch(s)
	return true
}

// waitForEngine waits for an engine to come back into service: after a crash several may be suspect
// until their next load report. It returns false if the request has to give up.
func (l *Loop) waitForEngine(ctx context.Context, s *slotSearch) bool {
	if l.Now().Sub(s.startedAt) > outageTimeout {
		return false
	}
	return l.waitToRetry(ctx, s, outcome.NoBackend)
}

// recordGrant records a granted slot and returns the caller's grant.
func (l *Loop) recordGrant(s *slotSearch, step placement.Step, a Answer) caller.Grant {
	l.bootIDs.put(s.id, a.Boot)
	b := s.snapshot.policy.Backends[step.Engine]
	l.sendContextHolder(s, step)
	l.record(timeline.Event{
		Kind: timeline.Placed, Request: s.slotRequest.RequestID, Chat: s.slotRequest.Chat, Backend: step.Engine,
		Text: fmt.Sprintf("%s, home %s", step.Reason, step.Home),
	})
	l.record(timeline.Event{
		Kind: timeline.Admitted, Request: s.slotRequest.RequestID, Chat: s.slotRequest.Chat, Backend: step.Engine,
		Text: fmt.Sprintf("slot %d after %s", a.Slot.ID, l.Now().Sub(s.startedAt).Round(time.Millisecond)),
	})
	return caller.Grant{Backend: step.Engine, Address: b.Address, Slot: s.id, Pool: b.Pool}
}

// sendContextHolder tells the owner of the chat's home engine which engine will hold the context.
// If the engine is the home itself, nothing is sent, because its owner granted the slot.
func (l *Loop) sendContextHolder(s *slotSearch, step placement.Step) {
	if step.Engine == step.Home || step.Home == "" {
		return
	}
	owner := l.Peers.Owners().EngineOwner(step.Home)
	go l.Peers.SetContextHolder(owner, s.chatKey, step.Engine)
}

// checkAdmissible returns an error for a request that is refused before placement: the router is
// isolated, the request or a part of it is quarantined, or its client account is above its limit.
// The limit applies only to the first attempt.
func (l *Loop) checkAdmissible(request caller.SlotRequest) *outcome.Error {
	if err := l.isolationError(); err != nil {
		return err
	}
	if err := l.quarantineError(request); err != nil {
		return err
	}
	if err := l.partError(request); err != nil {
		return err
	}
	if request.Attempt > 1 {
		return nil
	}
	return l.limits.admit(l.Now(), request)
}

// Release implements caller.Dispatcher.
func (l *Loop) Release(g caller.Grant, r caller.Result) {
	boot := l.bootIDs.take(g.Slot)
	switch {
	case r.Ending == caller.EndedOK, r.Answered:
		l.trackEnd(r.Fingerprint, g.Backend, true)
	case r.Ending == caller.EndedCrashed, r.Ending == caller.EndedFailed, r.Ending == caller.EndedMalformed:
		// An engine that crashes may still end its streams with an error, so EndedFailed and
		// EndedMalformed are checked as well.
		l.checkCrash(g, r, boot)
	case r.Ending == caller.EndedCancelled, r.Ending == caller.EndedTimedOut:
		l.watchServer(g, r, boot)
	}
	l.limits.finish(l.Now(), r.RequestID, int64(r.PromptTokens-r.CachedTokens+r.Tokens))
	if g.Pool == "" {
		l.finishCall(g, r)
		return
	}
	v := l.verdict(g.Pool, r)
	l.send(func(now time.Time) {
		l.releaseSlot(g.Slot, v, now)
		// A failed connection attempt means that the engine is probably down. Timeouts count only
		// in its health record.
		if r.Ending == caller.EndedUnreachable {
			l.handleRequestFailure(g.Backend, now)
		}
	})
}

func noEngineError(request caller.SlotRequest) *outcome.Error {
	return &outcome.Error{
		Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal,
		Message: fmt.Sprintf("no engine in service takes requests for model %s", request.Model),
		Remedy:  "send the request again after the time given; operators see the engines with hornbeamctl status",
	}
}

// refusalError returns the error that the caller gets for an owner's refusal.
func (l *Loop) refusalError(request caller.SlotRequest, answer Answer) error {
	if answer.Code == outcome.Quarantined {
		if err := l.quarantineError(request); err != nil {
			return err
		}
	}
	return answer.Err()
}

func gaveUpError(ctx context.Context) *outcome.Error {
	return &outcome.Error{
		Code: outcome.Deadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal,
		Message: "the request was given up while it waited for an engine",
		Remedy:  "send the request again after the time given",
		Cause:   context.Cause(ctx),
	}
}
