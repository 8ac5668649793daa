package peer

import (
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/routing/quarantine"
)

// MaxParts is the largest number of reports on prompt parts in one message.
const MaxParts = 16

// Parts receives the reports of other routers on prompt parts that may crash engines.
type Parts interface {
	MergeParts(reports []quarantine.PartReport)
}

// wireParts is the JSON form of reports on prompt parts.
type wireParts struct {
	Parts []quarantine.PartReport `json:"parts"`
}

// handleParts handles the method parts.
func (n *Node) handleParts(w wireParts) (any, error) {
	invalid := func(r quarantine.PartReport) bool { return !r.Valid() }
	if len(w.Parts) > MaxParts || slices.ContainsFunc(w.Parts, invalid) {
		return nil, &jsonrpc2.Error{Code: codeParams, Message: "parts: the reports are too many or invalid"}
	}
	n.Parts.MergeParts(w.Parts)
	return nil, nil
}

// SendParts sends at most MaxParts reports on prompt parts to some of the other routers and does
// not wait for delivery. If each router forwards what it learns, the reports reach all of them.
func (n *Node) SendParts(reports []quarantine.PartReport) {
	n.init()
	w := wireParts{reports[:min(len(reports), MaxParts)]}
	n.post(func(time.Time) {
		for _, id := range n.loop.members.PingTargets() {
			n.loop.notify(id, "parts", w)
		}
	})
}
