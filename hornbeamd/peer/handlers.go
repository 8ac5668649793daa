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

// SlotAsk asks the owner of an engine for a slot.
type SlotAsk struct {
	Request, Engine, Account string
	// Class is the priority class, lower first.
	Class int
	// Cost is in the engine's own unit of load.
	Cost float64
	// Weight is the account's share in fair queueing.
	Weight float64
	// Wait is how long the request may be queued.
	Wait time.Duration
	// Fingerprint identifies the request. Suspect is set if the request was in flight on an engine that crashed.
	Fingerprint string
	Suspect     *Crash
	// Chat is the hash of what decides the chat's home (placement.Key). If Home is the engine, the owner answers with the
	// engine that holds the context in place of a slot when that is another one.
	Chat uint64
	Home bool
	// Share asks a router that does not own the engine to stand in for its owner.
	Share bool
	// Over is set while the client account surges, and Age is the time since the request first asked an engine.
	Over bool
	Age  time.Duration
}

// Crash names one life of an engine that ended in a crash.
type Crash struct {
	Engine string `json:"engine"`
	Boot   string `json:"boot"`
}

// SlotGrant is permission to run one request.
type SlotGrant struct {
	// Slot names the permission for Free and Renew.
	Slot string
	// Lease is how long it lasts unless it is renewed, by the owner's clock.
	Lease time.Duration
	// Boot is the engine's present life; empty while the owner has no report.
	Boot string
	// Held is set in place of a slot: the engine that holds the chat's context.
	Held string
	// Warm is true if the engine had the chat's context before.
	Warm bool
}

// Notice is something that every router should know soon.
type Notice struct {
	// Kind is "suspect", "quarantine", "release", "drain" or "undrain".
	Kind        string
	Fingerprint string
	// Account is that of the request, and Reason the operator's for a drain.
	Account, Reason string
	// Engine is the one that crashed and Boot its life, for suspects and quarantine.
	Engine, Boot string
	At           time.Time
}

// Query selects events of the time line.
type Query struct {
	// Empty fields select everything.
	Request, Chat string
	Since         time.Time
	// Limit bounds the number of events, newest first to be kept.
	Limit int
}

type wireAsk struct {
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
	Over        bool   `json:"over,omitempty"`
	// Age is in milliseconds.
	Age int64 `json:"age,omitempty"`
}

type wireGrant struct {
	Slot string `json:"slot"`
	// Lease is in milliseconds.
	Lease int64  `json:"lease"`
	Boot  string `json:"boot,omitempty"`
	Held  string `json:"held,omitempty"`
	Warm  bool   `json:"warm,omitempty"`
}

type wireSlots struct {
	From  string   `json:"from"`
	Slots []string `json:"slots"`
	// Verdict is only sent with freed slots.
	Verdict string `json:"verdict,omitempty"`
}

type wireLost struct {
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

// noticesLimit bounds the notices that are remembered so that each is passed on once.
const noticesLimit = 4096

// notices remembers which were seen, oldest first.
type notices struct {
	seen  map[wireNotice]bool
	order []wireNotice
}

// add is false for a notice that was seen.
func (s *notices) add(w wireNotice) bool {
	if s.seen[w] {
		return false
	}
	if s.seen == nil {
		s.seen = map[wireNotice]bool{}
	}
	s.seen[w] = true
	s.order = append(s.order, w)
	if len(s.order) > noticesLimit {
		delete(s.seen, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
	return true
}

// decode reads a value from JSON.
func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// params decodes the parameters of a request.
func params[T any](r *jsonrpc2.Request) (T, error) {
	var v T
	if r.Params == nil {
		return v, &jsonrpc2.Error{Code: codeParams, Message: r.Method + " needs parameters"}
	}
	if err := json.Unmarshal(*r.Params, &v); err != nil {
		return v, &jsonrpc2.Error{Code: codeParams, Message: r.Method + ": " + err.Error()}
	}
	return v, nil
}

// with decodes the parameters and handles them.
func with[T, R any](r *jsonrpc2.Request, handle func(T) (R, error)) (any, error) {
	v, err := params[T](r)
	if err != nil {
		return nil, err
	}
	return handle(v)
}

// handle answers a request of a peer.
func (n *Node) handle(ctx context.Context, l *link, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case "hello":
		return with(r, func(w wireHello) (any, error) {
			n.links.named(l, w.ID)
			return nil, nil
		})
	case "echo":
		return nil, nil
	case "ping":
		return with(r, func(w wirePing) (wireAck, error) { return n.handlePing(ctx, w) })
	case "probe":
		return with(r, func(w wireProbe) (wireProbed, error) { return n.handleProbe(ctx, w) })
	case "sync":
		return with(r, func(w wireSync) (wireSyncReply, error) { return n.handleSync(ctx, w) })
	case "announce":
		return with(r, func(w wireAnnounce) (any, error) {
			n.post(func(now time.Time) { n.loop.spread(now, n.loop.revisions.HandlePeerRevision(now, w.From, w.Revision)) })
			return nil, nil
		})
	case "fetch":
		return with(r, func(w wireFetch) (wireReply, error) { return n.handleFetch(ctx, w) })
	case "load":
		return with(r, func(w wireLoad) (wireLoad, error) { return n.handleLoad(ctx, w) })
	case "suspect":
		return with(r, func(w wireNotice) (any, error) {
			n.post(func(time.Time) { n.loop.notice(w) })
			return nil, nil
		})
	case "crash":
		return with(r, func(w wireNotice) (any, error) {
			if n.Notices != nil {
				n.Notices.Notice(Notice(w))
			}
			n.post(func(time.Time) { n.loop.notice(w) })
			return nil, nil
		})
	default:
		return n.handleTraffic(ctx, r)
	}
}

// handleTraffic answers requests that do not touch the control state.
func (n *Node) handleTraffic(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch {
	case r.Method == "slot" && n.Slots != nil:
		return with(r, func(w wireAsk) (wireGrant, error) {
			g, err := n.Slots.Take(ctx, w.From, w.ask())
			return wireGrant{g.Slot, g.Lease.Milliseconds(), g.Boot, g.Held, g.Warm}, err
		})
	case r.Method == "free" && n.Slots != nil:
		return with(r, func(w wireSlots) (any, error) { return nil, n.Slots.Free(ctx, w.From, w.Slots, w.Verdict) })
	case r.Method == "abandon" && n.Slots != nil:
		return with(r, func(w wireSlots) (any, error) { return nil, n.Slots.Abandon(ctx, w.From, w.Slots) })
	case r.Method == "renew" && n.Slots != nil:
		return with(r, func(w wireSlots) (wireLost, error) {
			lost, err := n.Slots.Renew(ctx, w.From, w.Slots)
			return wireLost{lost}, err
		})
	case r.Method == "events" && n.Timeline != nil:
		return with(r, func(w wireQuery) (wireEvents, error) {
			events, err := n.Timeline.Query(ctx, Query(w))
			return wireEvents{events}, err
		})
	case r.Method == "status" && n.Operator != nil:
		document, err := n.Operator.Status(ctx)
		return wireStatus{document}, err
	case r.Method == "claim" && n.Claims != nil:
		return with(r, func(w wireClaim) (wireClaimed, error) { return n.handleClaim(ctx, w) })
	case r.Method == "finish" && n.Claims != nil:
		return with(r, func(w wireFinish) (any, error) { return n.handleFinish(ctx, w) })
	case r.Method == "held" && n.Contexts != nil:
		return with(r, n.handleHeld)
	case r.Method == "note" && n.Contexts != nil:
		return with(r, n.handleNote)
	case r.Method == "agreed" && n.Agreed != nil:
		return with(r, n.handleAgreed)
	case r.Method == "inventory" && n.Inventories != nil:
		return n.Inventories.Inventory(), nil
	case r.Method == "usage" && n.Usages != nil:
		return with(r, n.handleUsage)
	default:
		return nil, &jsonrpc2.Error{Code: codeMethod, Message: "router " + n.ID + " does not serve " + method(r.Method)}
	}
}

func (w wireAsk) ask() SlotAsk {
	return SlotAsk{
		Request: w.Request, Engine: w.Engine, Account: w.Account, Class: w.Class, Cost: w.Cost, Weight: w.Weight,
		Wait: time.Duration(w.Wait) * time.Millisecond, Fingerprint: w.Fingerprint, Suspect: w.Suspect,
		Chat: w.Chat, Home: w.Home, Share: w.Share, Over: w.Over, Age: time.Duration(w.Age) * time.Millisecond,
	}
}

func (n *Node) handlePing(ctx context.Context, w wirePing) (wireAck, error) {
	return ask(ctx, n, func(now time.Time) wireAck {
		ack, actions := n.loop.members.HandlePing(now, w.ping())
		n.loop.do(now, actions)
		n.loop.spread(now, n.loop.revisions.HandlePeerRevision(now, w.From.ID, w.Revision))
		n.loop.differs(w.From.ID, w.Agreed)
		return fromAck(ack, n.loop.revisions.Revision(), n.agreedDigest())
	})
}

// handleProbe pings a member for another router. Only members that this router knows are pinged, so that a peer cannot make
// it connect anywhere.
func (n *Node) handleProbe(ctx context.Context, w wireProbe) (wireProbed, error) {
	target, ok := n.Members().Find(w.Target.ID)
	if !ok || target.Boot != w.Target.Boot {
		return wireProbed{}, nil
	}
	ping, err := ask(ctx, n, func(now time.Time) wirePing {
		return fromPing(n.loop.members.ProbePing(now, target), n.loop.revisions.Revision(), n.agreedDigest())
	})
	if err != nil {
		return wireProbed{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, directLimit)
	defer cancel()
	var ack wireAck
	err = n.links.call(ctx, target.ID, target.Address, "ping", ping, &ack)
	return wireProbed{err == nil && ack.From.ID == target.ID && ack.From.Boot == target.Boot}, nil
}

func (n *Node) handleSync(ctx context.Context, w wireSync) (wireSyncReply, error) {
	return ask(ctx, n, func(now time.Time) wireSyncReply {
		r, actions := n.loop.members.HandleSync(now, w.sync())
		n.loop.do(now, actions)
		return wireSyncReply{r.Busy, fromMembers(r.Updates), r.WantBuckets}
	})
}

func (n *Node) handleFetch(ctx context.Context, w wireFetch) (wireReply, error) {
	reply, err := ask(ctx, n, func(now time.Time) revision.Reply {
		return n.loop.revisions.HandleFetch(now, revision.Fetch{Revision: w.Revision, Base: w.Base, BaseDigest: w.Known, Digests: w.Digests})
	})
	if err != nil {
		return wireReply{}, err
	}
	return fromReply(reply)
}

func (n *Node) handleLoad(ctx context.Context, w wireLoad) (wireLoad, error) {
	reply, err := ask(ctx, n, func(now time.Time) loadsum.Reply {
		return n.loop.loads.HandleReport(now, loadsum.Report{From: w.From, Zone: w.Zone, Items: toItems(w.Items)})
	})
	return wireLoad{Items: fromItems(reply.Items)}, err
}

// notice takes a notice and passes it on to the peers once.
func (l *loop) notice(w wireNotice) {
	if !l.notices.add(w) {
		return
	}
	for _, id := range l.members.Peers() {
		l.tell(id, "suspect", w)
	}
	if l.n.Notices != nil {
		go l.n.Notices.Notice(Notice(w))
	}
}
