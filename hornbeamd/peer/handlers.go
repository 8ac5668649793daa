package peer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/timeline"
)

// SlotRequest is a request to the owner of an engine for a slot.
type SlotRequest struct {
	// Request is the ID of the client request.
	Request, Engine, Account string
	// Class is the priority class. Lower values are served first.
	Class int
	// Cost is the load that the request adds, in the engine's own unit.
	Cost float64
	// Weight is the client account's weight in fair queueing.
	Weight float64
	// Wait is the longest time that the request may be queued.
	Wait time.Duration
	// Fingerprint identifies the content of the request. If an engine process crashed while it ran
	// the request, Suspect identifies that process.
	Fingerprint string
	Suspect     *Crash
	// Chat is the placement key of the chat (placement.Key). It determines the home engine of the
	// chat. Home is set if Engine is that home engine. In this case the owner does not grant a slot
	// if another engine holds the chat's context, but returns SlotGrant.ContextHolder.
	Chat uint64
	Home bool
	// Share asks a router that does not own the engine to grant a slot on behalf of the owner; see
	// admission.FallbackGate.
	Share bool
	// Surging is set while the client account sends far more than usual (see package limit). Age is
	// the time since the request first asked for a slot on any engine.
	Surging bool
	Age     time.Duration
}

// Crash identifies the engine process that crashed, by its boot ID.
type Crash struct {
	Engine string `json:"engine"`
	Boot   string `json:"boot"`
}

// SlotGrant is the permission to run one request on an engine.
type SlotGrant struct {
	// Slot is the ID of the slot for Free and Renew.
	Slot string
	// Lease is the time until the slot expires, measured by the owner's clock. Renew extends it.
	Lease time.Duration
	// Boot is the boot ID of the current engine process, empty until the engine has reported it to
	// the owner.
	Boot string
	// ContextHolder is the engine that holds the chat's context, if it is not the requested engine.
	// It is set instead of Slot.
	ContextHolder string
	// Warm is true if the engine already holds the chat's context.
	Warm bool
}

// Notice is an event that is distributed to every router.
type Notice struct {
	// Kind is "suspect", "quarantine", "release", "drain" or "undrain".
	Kind        string
	Fingerprint string
	// Account is the client account of the request. Reason is the operator's reason for a drain.
	Account, Reason string
	// Engine and Boot identify the crashed engine process, for kinds "suspect" and "quarantine".
	Engine, Boot string
	At           time.Time
}

// Query selects events of the event timeline.
type Query struct {
	// Zero fields match every event.
	Request, Chat string
	Since         time.Time
	// Limit is the maximum number of events; the newest are returned. 0 returns all.
	Limit int
}

type wireSlotRequest struct {
	From    string  `json:"from"`
	Request string  `json:"request"`
	Engine  string  `json:"engine"`
	Account string  `json:"account,omitempty"`
	Class   int     `json:"class,omitempty"`
	Cost    float64 `json:"cost,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	// Wait is in milliseconds.
	Wait        int64  `json:"wait,omitempty"`
	Fingerprint string `json:"print,omitempty"`
	Suspect     *Crash `json:"suspect,omitempty"`
	Chat        uint64 `json:"chat,omitempty"`
	Home        bool   `json:"home,omitempty"`
	Share       bool   `json:"share,omitempty"`
	Surging     bool   `json:"over,omitempty"`
	// Age is in milliseconds.
	Age int64 `json:"age,omitempty"`
}

type wireSlotGrant struct {
	Slot string `json:"slot"`
	// Lease is in milliseconds.
	Lease         int64  `json:"lease"`
	Boot          string `json:"boot,omitempty"`
	ContextHolder string `json:"held,omitempty"`
	Warm          bool   `json:"warm,omitempty"`
}

type wireSlotIDs struct {
	From string `json:"from"`
	// Slots holds slot IDs, or pending requests as engine/request for method "abandon".
	Slots []string `json:"slots"`
	// Verdict is set for method "free" only.
	Verdict string `json:"verdict,omitempty"`
}

type wireRenewReply struct {
	Lost []string `json:"lost,omitempty"`
}

type wireNotice struct {
	Kind        string    `json:"kind"`
	Fingerprint string    `json:"print"`
	Account     string    `json:"account,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Engine      string    `json:"engine,omitempty"`
	Boot        string    `json:"boot,omitempty"`
	At          time.Time `json:"time"`
}

type wireQuery struct {
	Request string    `json:"request,omitempty"`
	Chat    string    `json:"chat,omitempty"`
	Since   time.Time `json:"since"`
	Limit   int       `json:"limit,omitempty"`
}

type wireEvents struct {
	Events []timeline.Event `json:"events"`
}

type wireStatus struct {
	Document json.RawMessage `json:"status"`
}

// maxNotices limits the size of seenNotices.
const maxNotices = 4096

// seenNotices is a bounded set of the notices that were already forwarded, so that each is
// forwarded only once. Notices are compared by ==, including the representation of their time.
// order lists them from oldest to newest.
type seenNotices struct {
	seen  map[wireNotice]bool
	order []wireNotice
}

// markSeen adds a notice and returns false if it was seen before.
func (s *seenNotices) markSeen(w wireNotice) bool {
	if s.seen[w] {
		return false
	}
	if s.seen == nil {
		s.seen = map[wireNotice]bool{}
	}
	s.seen[w] = true
	s.order = append(s.order, w)
	if len(s.order) > maxNotices {
		delete(s.seen, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
	return true
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// decodeParams decodes the parameters of a request.
func decodeParams[T any](r *jsonrpc2.Request) (T, error) {
	var v T
	if r.Params == nil {
		return v, &jsonrpc2.Error{Code: codeParams, Message: r.Method + " needs parameters"}
	}
	if err := json.Unmarshal(*r.Params, &v); err != nil {
		return v, &jsonrpc2.Error{Code: codeParams, Message: r.Method + ": " + err.Error()}
	}
	return v, nil
}

// handleWith decodes the parameters of a request and passes them to handle.
func handleWith[T, R any](r *jsonrpc2.Request, handle func(T) (R, error)) (any, error) {
	v, err := decodeParams[T](r)
	if err != nil {
		return nil, err
	}
	return handle(v)
}

// handle dispatches a request from another router by its method.
func (n *Node) handle(ctx context.Context, pc *peerConn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case "hello":
		return handleWith(r, func(w wireHello) (any, error) {
			n.conns.identify(pc, w.ID)
			return nil, nil
		})
	case "echo":
		return nil, nil
	case "ping":
		return handleWith(r, func(w wirePing) (wireAck, error) { return n.handlePing(ctx, w) })
	case "probe":
		return handleWith(r, func(w wireProbe) (wireProbeReply, error) { return n.handleProbe(ctx, w) })
	case "sync":
		return handleWith(r, func(w wireSync) (wireSyncReply, error) { return n.handleSync(ctx, w) })
	case "announce":
		return handleWith(r, func(w wireAnnounce) (any, error) {
			n.post(func(now time.Time) {
				n.loop.runRevisionActions(now, n.loop.revisions.HandlePeerRevision(now, w.From, w.Revision))
			})
			return nil, nil
		})
	case "fetch":
		return handleWith(r, func(w wireFetch) (wireFetchReply, error) { return n.handleFetch(ctx, w) })
	case "load":
		return handleWith(r, func(w wireLoad) (wireLoad, error) { return n.handleLoad(ctx, w) })
	// Both of the following methods carry notices of any kind. "suspect" is sent from peer to peer
	// without an answer. "crash" is sent directly by the origin of the notice and is answered after
	// the handler has processed the notice. forwardNotice may pass it to the handler a second time,
	// so the handler must tolerate duplicates.
	case "suspect":
		return handleWith(r, func(w wireNotice) (any, error) {
			n.post(func(time.Time) { n.loop.forwardNotice(w) })
			return nil, nil
		})
	case "crash":
		return handleWith(r, func(w wireNotice) (any, error) {
			if n.Notices != nil {
				n.Notices.Notice(Notice(w))
			}
			n.post(func(time.Time) { n.loop.forwardNotice(w) })
			return nil, nil
		})
	default:
		return n.dispatchToHandler(ctx, r)
	}
}

// dispatchToHandler passes a request to the handler in the Node field for its method. It does not
// use the control loop.
func (n *Node) dispatchToHandler(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch {
	case r.Method == "slot" && n.Slots != nil:
		return handleWith(r, func(w wireSlotRequest) (wireSlotGrant, error) {
			grant, err := n.Slots.Take(ctx, w.From, w.slotRequest())
			return wireSlotGrant{grant.Slot, grant.Lease.Milliseconds(), grant.Boot, grant.ContextHolder, grant.Warm}, err
		})
	case r.Method == "free" && n.Slots != nil:
		return handleWith(r, func(w wireSlotIDs) (any, error) { return nil, n.Slots.Free(ctx, w.From, w.Slots, w.Verdict) })
	case r.Method == "abandon" && n.Slots != nil:
		return handleWith(r, func(w wireSlotIDs) (any, error) { return nil, n.Slots.Abandon(ctx, w.From, w.Slots) })
	case r.Method == "renew" && n.Slots != nil:
		return handleWith(r, func(w wireSlotIDs) (wireRenewReply, error) {
			lost, err := n.Slots.Renew(ctx, w.From, w.Slots)
			return wireRenewReply{lost}, err
		})
	case r.Method == "events" && n.Timeline != nil:
		return handleWith(r, func(w wireQuery) (wireEvents, error) {
			events, err := n.Timeline.Query(ctx, Query(w))
			return wireEvents{events}, err
		})
	case r.Method == "status" && n.Operator != nil:
		document, err := n.Operator.Status(ctx)
		return wireStatus{document}, err
	case r.Method == "claim" && n.Claims != nil:
		return handleWith(r, func(w wireClaim) (wireClaimReply, error) { return n.handleClaim(ctx, w) })
	case r.Method == "finish" && n.Claims != nil:
		return handleWith(r, func(w wireFinish) (any, error) { return n.handleFinish(ctx, w) })
	case r.Method == "held" && n.Contexts != nil:
		return handleWith(r, n.handleContextHolder)
	case r.Method == "note" && n.Contexts != nil:
		return handleWith(r, n.handleSetContextHolder)
	case r.Method == "agreed" && n.Decisions != nil:
		return handleWith(r, n.handleDecisions)
	case r.Method == "inventory" && n.Inventories != nil:
		return n.Inventories.Inventory(), nil
	case r.Method == "parts" && n.Parts != nil:
		return handleWith(r, n.handleParts)
	case r.Method == "usage" && n.Usages != nil:
		return handleWith(r, n.handleUsage)
	default:
		return nil, &jsonrpc2.Error{Code: codeMethod, Message: "router " + n.ID + " does not serve " + knownMethod(r.Method)}
	}
}

func (w wireSlotRequest) slotRequest() SlotRequest {
	return SlotRequest{
		Request: w.Request, Engine: w.Engine, Account: w.Account, Class: w.Class, Cost: w.Cost, Weight: w.Weight,
		Wait: time.Duration(w.Wait) * time.Millisecond, Fingerprint: w.Fingerprint, Suspect: w.Suspect,
		Chat: w.Chat, Home: w.Home, Share: w.Share, Surging: w.Surging, Age: time.Duration(w.Age) * time.Millisecond,
	}
}

func (n *Node) handlePing(ctx context.Context, w wirePing) (wireAck, error) {
	return runOnLoop(ctx, n, func(now time.Time) wireAck {
		ack, actions := n.loop.members.HandlePing(now, w.ping())
		n.loop.runMemberActions(now, actions)
		n.loop.runRevisionActions(now, n.loop.revisions.HandlePeerRevision(now, w.From.ID, w.Revision))
		n.loop.syncDecisions(w.From.ID, w.Agreed)
		return fromAck(ack, n.loop.revisions.Revision(), n.decisionsDigest())
	})
}

// handleProbe pings a member on behalf of another router. It pings known members only, so that a
// peer cannot make this router connect to arbitrary addresses.
func (n *Node) handleProbe(ctx context.Context, w wireProbe) (wireProbeReply, error) {
	target, ok := n.Members().Find(w.Target.ID)
	if !ok || target.Boot != w.Target.Boot {
		return wireProbeReply{}, nil
	}
	ping, err := runOnLoop(ctx, n, func(now time.Time) wirePing {
		return fromPing(n.loop.members.ProbePing(now, target), n.loop.revisions.Revision(), n.decisionsDigest())
	})
	if err != nil {
		return wireProbeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var ack wireAck
	err = n.conns.call(ctx, target.ID, target.Address, "ping", ping, &ack)
	return wireProbeReply{err == nil && ack.From.ID == target.ID && ack.From.Boot == target.Boot}, nil
}

func (n *Node) handleSync(ctx context.Context, w wireSync) (wireSyncReply, error) {
	return runOnLoop(ctx, n, func(now time.Time) wireSyncReply {
		r, actions := n.loop.members.HandleSync(now, w.sync())
		n.loop.runMemberActions(now, actions)
		return wireSyncReply{r.Busy, fromMembers(r.Updates), r.WantBuckets}
	})
}

func (n *Node) handleFetch(ctx context.Context, w wireFetch) (wireFetchReply, error) {
	reply, err := runOnLoop(ctx, n, func(now time.Time) revision.Reply {
		return n.loop.revisions.HandleFetch(now, revision.Fetch{Revision: w.Revision, Base: w.Base, BaseDigest: w.Known, Digests: w.Digests})
	})
	if err != nil {
		return wireFetchReply{}, err
	}
	return fromReply(reply)
}

func (n *Node) handleLoad(ctx context.Context, w wireLoad) (wireLoad, error) {
	reply, err := runOnLoop(ctx, n, func(now time.Time) loadsum.Reply {
		return n.loop.loads.HandleReport(now, loadsum.Report{From: w.From, Zone: w.Zone, Items: toItems(w.Items)})
	})
	return wireLoad{Items: fromItems(reply.Items)}, err
}

// forwardNotice passes a notice to the handler of this router and to its peers, unless the notice
// was forwarded before.
func (l *loop) forwardNotice(w wireNotice) {
	if !l.seenNotices.markSeen(w) {
		return
	}
	for _, id := range l.members.PingTargets() {
		l.notify(id, "suspect", w)
	}
	if l.n.Notices != nil {
		go l.n.Notices.Notice(Notice(w))
	}
}
