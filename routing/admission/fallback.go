package admission

import (
	"time"

	"hornbeamstep.example/routing/outcome"
)

// FallbackGate replaces an engine's gate at a router that cannot reach the engine's owner. It
// allows at most one request in flight and has no queue. The owner learns of that request from the
// engine's load report.
type FallbackGate struct {
	lease time.Duration
	// requestID is the RequestID of the slot's holder; empty if the slot is free.
	requestID string
	slot      Slot
}

// NewFallbackGate returns a FallbackGate without a slot in use. A slot expires after Settings.Lease
// without renewal.
func NewFallbackGate(s Settings) *FallbackGate { return &FallbackGate{lease: s.Lease} }

// Offer asks for the slot. The answer is Granted or Refused. A repeated Offer of the request that
// holds the slot returns the same slot.
func (g *FallbackGate) Offer(now time.Time, req SlotRequest) Action {
	req = normalize(req)
	if g.requestID != "" && now.Before(g.slot.Expires) {
		if g.requestID == req.RequestID {
			return Action{Kind: Granted, Request: req, Slot: g.slot}
		}
		return Action{Kind: Refused, Request: req, Code: outcome.Overloaded, RetryAfter: time.Second}
	}
	g.requestID = req.RequestID
	g.slot = Slot{ID: g.slot.ID + 1, Expires: now.Add(g.lease)}
	return Action{Kind: Granted, Request: req, Slot: g.slot}
}

// Renew extends the slot. It returns false if the slot is no longer held.
func (g *FallbackGate) Renew(now time.Time, id uint64) bool {
	if g.requestID == "" || g.slot.ID != id || !now.Before(g.slot.Expires) {
		return false
	}
	g.slot.Expires = now.Add(g.lease)
	return true
}

// Abandon frees the slot if the given request holds it, and reports whether it held the slot.
func (g *FallbackGate) Abandon(requestID string) bool {
	held := requestID != "" && g.requestID == requestID
	if held {
		g.requestID = ""
	}
	return held
}

// Release frees the slot.
func (g *FallbackGate) Release(id uint64) {
	if g.slot.ID == id {
		g.requestID = ""
	}
}
