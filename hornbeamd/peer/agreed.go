package peer

import (
	"context"
	"encoding/binary"
	"time"

	"hornbeamstep.example/coord/decision"
)

// DecisionSet is this router's copy of the agreed decisions, such as drained backend servers and
// quarantined requests. They must outlive every router process. Pings carry the digest of the set,
// so that a router that missed a notice can pull the decision from any other router. Digest must
// not block.
type DecisionSet interface {
	// Digest returns the digest of the whole set, 0 if it is empty.
	Digest() uint64
	// Digests returns one digest per bucket. Another router passes them to its Differing method.
	Digests() []uint32
	// Differing returns the records of the buckets whose digests differ from the given ones.
	// complete reports whether this router has already read the decisions from before its start.
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

func (n *Node) handleDecisions(w wireDigests) (wireRecords, error) {
	var digests []uint32
	for i := 0; i+4 <= len(w.Digests); i += 4 {
		digests = append(digests, binary.BigEndian.Uint32(w.Digests[i:]))
	}
	records, complete := n.Decisions.Differing(digests)
	return wireRecords{records, complete}, nil
}

// PullDecisions fetches the agreed decisions that differ from another router and merges them.
// complete reports whether that router had already read the decisions from before its own start.
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

// decisionsDigest returns the digest of the agreed decisions, which pings carry.
func (n *Node) decisionsDigest() digest64 {
	if n.Decisions == nil {
		return 0
	}
	return digest64(n.Decisions.Digest())
}

// decisionSync is the control loop's state for pulling agreed decisions from other routers.
type decisionSync struct {
	running bool
	// ownDigest and otherDigest are the digests of this and the other router before the last pull
	// that returned nothing new. While neither changes, another pull returns nothing new either,
	// because only the other router lacks decisions.
	ownDigest, otherDigest digest64
}

// syncDecisions pulls the agreed decisions from a router if its digest differs. Only one pull runs
// at a time.
func (l *loop) syncDecisions(router string, other digest64) {
	own := l.n.decisionsDigest()
	if l.n.Decisions == nil || own == other || l.decisionSync.running || (l.decisionSync.ownDigest == own && l.decisionSync.otherDigest == other) {
		return
	}
	l.decisionSync.running = true
	go func() {
		ctx, cancel := context.WithTimeout(l.n.conns.ctx, callTimeout)
		defer cancel()
		_, err := l.n.PullDecisions(ctx, router)
		l.n.post(func(time.Time) {
			l.decisionSync.running = false
			if err == nil && l.n.decisionsDigest() == own {
				l.decisionSync.ownDigest, l.decisionSync.otherDigest = own, other
			}
		})
	}()
}

// BroadcastInZone broadcasts a notice like Broadcast and also sends it directly to every router in
// this availability zone. It does not wait for the answers.
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

// zoneAttempts is the number of attempts of BroadcastInZone to send the notice to a router.
const zoneAttempts = 3
