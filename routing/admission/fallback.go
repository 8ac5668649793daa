package admission

import (
	"time"

	"hornbeamstep.example/routing/outcome"
)

// FallbackGate replaces an engine's gate at a router that cannot reach the engine's owner. It allows at most one request in
// flight and has no queue. The owner learns of that request from the engine's load report.
type FallbackGate struct {
	lease   time.Duration
	request string
	slot    Slot
}

// NewFallbackGate returns a Share without a slot in use. A slot expires after Settings.Lease without renewal.
func NewFallbackGate(s Settings) *FallbackGate { return &FallbackGate{lease: s.Lease} }

// Offer asks for the slot. The answer is Granted or Refused.
func (s *FallbackGate) Offer(now time.Time, ask SlotRequest) Action {
	ask = normalize(ask)
	if s.request != "" && now.Before(s.slot.Expires) {
		if s.request == ask.RequestID {
			return Action{Kind: Granted, Request: ask, Slot: s.slot}
		}
		return Action{Kind: Refused, Request: ask, Code: outcome.Overloaded, RetryAfter: time.Second}
	}
	s.request = ask.RequestID
	s.slot = Slot{ID: s.slot.ID + 1, Expires: now.Add(s.lease)}
	return Action{Kind: Granted, Request: ask, Slot: s.slot}
}

// Renew extends the slot. It returns false if the slot is no longer held.
func (s *FallbackGate) Renew(now time.Time, id uint64) bool {
	if s.request == "" || s.slot.ID != id || !now.Before(s.slot.Expires) {
		return false
	}
	s.slot.Expires = now.Add(s.lease)
	return true
}

// Abandon frees the slot if the request holds it, and reports whether it did.
func (s *FallbackGate) Abandon(request string) bool {
	held := request != "" && s.request == request
	if held {
		s.request = ""
	}
	return held
}

// Release frees the slot.
func (s *FallbackGate) Release(id uint64) {
	if s.slot.ID == id {
		s.request = ""
	}
}
