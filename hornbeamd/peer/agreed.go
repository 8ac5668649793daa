package peer

import (
	"context"
	"encoding/binary"
	"time"

	"hornbeamstep.example/coord/agreed"
)

// Agreed is what this router knows of the decisions that outlive routers. Pings carry its digest, so that a router which missed a
// message learns of the decision from any other. Digest must not block.
type Agreed interface {
	// Digest is 0 for an empty set.
	Digest() uint64
	// Digests are those of the buckets that Differing compares.
	Digests() []uint32
	// Differing returns the records of the buckets with other digests. complete is false while the router has not yet read what the
	// others agreed on before it started.
	Differing(digests []uint32) (records []agreed.Record, complete bool)
	// Merge takes the records of another router.
	Merge(records []agreed.Record)
}

type wireDigests struct {
	// Digests holds four bytes per bucket.
	Digests []byte `json:"digests"`
}

type wireRecords struct {
	Records  []agreed.Record `json:"records,omitempty"`
	Complete bool            `json:"complete,omitempty"`
}

func (n *Node) handleAgreed(w wireDigests) (wireRecords, error) {
	var digests []uint32
	for i := 0; i+4 <= len(w.Digests); i += 4 {
		digests = append(digests, binary.BigEndian.Uint32(w.Digests[i:]))
	}
	records, complete := n.Agreed.Differing(digests)
	return wireRecords{records, complete}, nil
}

// PullAgreed takes over what another router knows of the decisions that outlive routers. complete is true if that router has read
// what was agreed on before it started.
func (n *Node) PullAgreed(ctx context.Context, router string) (complete bool, err error) {
	var w wireDigests
	for _, d := range n.Agreed.Digests() {
		w.Digests = binary.BigEndian.AppendUint32(w.Digests, d)
	}
	var reply wireRecords
	if err := n.send(ctx, router, "agreed", w, &reply); err != nil {
		return false, err
	}
	n.Agreed.Merge(reply.Records[:min(len(reply.Records), len(agreed.Kinds)*agreed.MaxRecords)])
	return reply.Complete, nil
}

// agreedDigest is the digest that pings carry.
func (n *Node) agreedDigest() digest64 {
	if n.Agreed == nil {
		return 0
	}
	return digest64(n.Agreed.Digest())
}

// pulls is the control state of the exchange with routers that know something else.
type pulls struct {
	busy bool
	// own and other are the digests before the last pull that brought nothing new: the other router is behind.
	own, other digest64
}

// differs pulls from a router whose digest differs, one router at a time.
func (l *loop) differs(router string, other digest64) {
	own := l.n.agreedDigest()
	if l.n.Agreed == nil || own == other || l.pulls.busy || (l.pulls.own == own && l.pulls.other == other) {
		return
	}
	l.pulls.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(l.n.links.ctx, exchangeLimit)
		defer cancel()
		_, err := l.n.PullAgreed(ctx, router)
		l.n.post(func(time.Time) {
			l.pulls.busy = false
			if err == nil && l.n.agreedDigest() == own {
				l.pulls.own, l.pulls.other = own, other
			}
		})
	}()
}

// TellZone tells the routers of this availability zone of a notice, and repeats it where it is not answered.
func (n *Node) TellZone(ctx context.Context, s Notice) {
	n.Spread(s)
	s.At = s.At.Round(0)
	for _, m := range n.Members().Members {
		if m.ID == n.ID || m.Zone != n.Zone {
			continue
		}
		go func() {
			for range zoneTries {
				call, cancel := context.WithTimeout(ctx, directLimit)
				err := n.send(call, m.ID, "crash", wireNotice(s), nil)
				cancel()
				if err == nil || ctx.Err() != nil {
					return
				}
			}
		}()
	}
}

// zoneTries bounds the calls to each router by TellZone.
const zoneTries = 3
