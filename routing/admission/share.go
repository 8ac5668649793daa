package admission

import (
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Share is what a router uses in place of an engine's gate while the engine's owner cannot be reached: at most one
// request in flight, and no queue. The engine's report tells the owner of it.
type Share struct {
	lease   time.Duration
	request string
	slot    Slot
}

// NewShare returns an unused share. Its slot lasts for Settings.Lease without renewal.
func NewShare(s Settings) *Share { return &Share{lease: s.Lease} }

// Offer asks for the slot. The answer is Granted or Refused.
func (s *Share) Offer(now time.Time, ask Ask) Action {
	ask = normal(ask)
	if s.request != "" && now.Before(s.slot.Expires) {
		if s.request == ask.Request {
			return Action{Kind: Granted, Ask: ask, Slot: s.slot}
		}
		return Action{Kind: Refused, Ask: ask, Code: outcome.Overloaded, Retry: time.Second}
	}
	s.request = ask.Request
	s.slot = Slot{ID: s.slot.ID + 1, Expires: now.Add(s.lease)}
	return Action{Kind: Granted, Ask: ask, Slot: s.slot}
}

// Renew extends the slot; it is false if the slot is no longer held.
func (s *Share) Renew(now time.Time, id uint64) bool {
	if s.request == "" || s.slot.ID != id || !now.Before(s.slot.Expires) {
		return false
	}
	s.slot.Expires = now.Add(s.lease)
	return true
}

// Abandon frees the slot if a request holds it, and reports whether it did.
func (s *Share) Abandon(request string) bool {
	held := request != "" && s.request == request
	if held {
		s.request = ""
	}
	return held
}

// Release frees the slot.
func (s *Share) Release(id uint64) {
	if s.slot.ID == id {
		s.request = ""
	}
}
