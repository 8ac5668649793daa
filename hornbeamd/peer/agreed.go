package peer

import (
	"context"
	"encoding/binary"
	"time"

	"hornbeamstep.example/coord/decision"
)

// DecisionSet is this router's set of decisions that must outlive every router, such as drained backend
// servers and quarantined requests. Pings carry its digest, so that a router which missed a message
// can fetch the decision from any other router. Digest must not block.
type DecisionSet interface {
	// Digest returns the digest of the whole set, 0 if it is empty.
	Digest() uint64
	// Digests returns one digest per bucket, for another router's Differing.
	Digests() []uint32
	// Differing returns the records of the buckets whose digests differ from the given ones.
	// complete is false until the router has read the decisions that were made before it started.
	Differing(digests []uint32) (records []decision.Record, complete bool)
	// Merge adds the records of another router to the set.
	Merge(records []decision.Record)
}

type wireDigests struct {
	// Digests holds four bytes per bucket.
	Digests []byte `json:"digests"`
}

type wireRecords struct {
	Records  []decision.Record `json:"records,omitempty"`
	Complete bool              `json:"complete,omitempty"`
}

func (n *Node) handleAgreed(w wireDigests) (wireRecords, error) {
	var digests []uint32
	for i := 0; i+4 <= len(w.Digests); i += 4 {
		digests = append(digests, binary.BigEndian.Uint32(w.Digests[i:]))
	}
	records, complete := n.Decisions.Differing(digests)
	return wireRecords{records, complete}, nil
}

// PullDecisions fetches from another router the agreed decisions that differ and merges them. complete
// is true if that router has read the decisions that were made before it started.
func (n *Node) PullDecisions(ctx context.Context, router string) (complete bool, err error) {
	var request wireDigests
	for _, d := range n.Decisions.Digests() {
		request.Digests = binary.BigEndian.AppendUint32(request.Digests, d)
	}
	var reply wireRecords
	if err := n.send(ctx, router, "agreed", request, &reply); err != nil {
		return false, err
	}
	n.Decisions.Merge(reply.Records[:min(len(reply.Records), len(decision.Kinds)*decision.MaxRecords)])
	return reply.Complete, nil
}

// agreedDigest returns the digest of the agreed decisions, which pings carry.
func (n *Node) agreedDigest() digest64 {
	if n.Decisions == nil {
		return 0
	}
	return digest64(n.Decisions.Digest())
}

// agreedSync is the control loop's state for pulling agreed decisions from other routers.
type agreedSync struct {
	running bool
	// ownDigest and otherDigest are the digests before the last pull that returned nothing new.
	// While neither changes, the other router is behind this one, and another pull is useless.
	ownDigest, otherDigest digest64
}

// syncAgreed pulls agreed decisions from a router whose digest differs. Only one pull runs at a
// time.
func (l *loop) syncAgreed(router string, other digest64) {
	own := l.n.agreedDigest()
	if l.n.Decisions == nil || own == other || l.agreedSync.running || (l.agreedSync.ownDigest == own && l.agreedSync.otherDigest == other) {
		return
	}
	l.agreedSync.running = true
	go func() {
		ctx, cancel := context.WithTimeout(l.n.conns.ctx, callTimeout)
		defer cancel()
		_, err := l.n.PullDecisions(ctx, router)
		l.n.post(func(time.Time) {
			l.agreedSync.running = false
			if err == nil && l.n.agreedDigest() == own {
				l.agreedSync.ownDigest, l.agreedSync.otherDigest = own, other
			}
		})
	}()
}

// BroadcastInZone sends a notice directly to every router in this availability zone, with a few
// attempts each, and forwards it to the rest of the fleet like Broadcast. It does not wait for the
// answers.
func (n *Node) BroadcastInZone(ctx context.Context, notice Notice) {
	n.Broadcast(notice)
	notice.At = notice.At.Round(0)
	for _, m := range n.Members().Members {
		if m.ID == n.ID || m.Zone != n.Zone {
			continue
		}
		go func() {
			for range zoneAttempts {
				callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
				err := n.send(callCtx, m.ID, "crash", wireNotice(notice), nil)
				cancel()
				if err == nil || ctx.Err() != nil {
					return
				}
			}
		}()
	}
}

// zoneAttempts is how often BroadcastInZone tries to reach each router.
const zoneAttempts = 3
