package presence

import "time"

// ServerLimit is the rate limit that a backend server has stated in a response.
type ServerLimit struct {
	Server ServerKey
	// PerSecond is the number of requests per second that the server takes from all routers
	// together. Messages carry it in thousandths.
	PerSecond float64
	// Ended is true if the response stated no limit.
	Ended bool
	// Age is the time since a router received the response, in milliseconds.
	Age int64
}

// Permit asks the issuer of a backend server for a permit to send one request to it, or answers
// that; see package permit.
type Permit struct {
	// Number identifies the question among those of its sender. The answer has the same number.
	Number uint32
	// Priority is that of the request, and MaxDelay how long it may wait for the permit, in
	// milliseconds. Both are 0 in an answer.
	Priority int
	MaxDelay int64
	// Limit is the limit that the sender knows.
	Limit ServerLimit
	// PerSecond is what the sender estimates that the server has room for while its service is
	// overloaded, in requests per second; 0 otherwise. It is set in a question only, and carried in
	// thousandths.
	PerSecond float64
	// Cold is true if the sender takes the server for cold. It is set in a question only.
	Cold bool
	// NeedsSlot is true if the request needs a slot of the server, and MaxHold how long it may hold it at
	// most, in milliseconds; 0 if unknown. Both are set in a question only.
	NeedsSlot bool
	MaxHold   int64
	// Releases is the number of the question for the slot that a request no longer holds, and Ending how
	// the request has ended, as permit.Ending. The question asks for nothing then. 0 otherwise.
	Releases uint32
	Ending   uint8
	// Granted and Wait, which is in milliseconds, are those of permit.Answer.
	Granted bool
	Wait    int64
}

// Formats returns the number of live routers by the newest format that they understand, this one
// included.
func (s *State) Formats(now time.Time) map[int]int {
	counts := map[int]int{s.self.Format: 1}
	for _, m := range s.members {
		if s.live(now, m) {
			counts[m.Format]++
		}
	}
	return counts
}

// WithoutSlots returns the live routers that hand out no slots, because their release has none.
func (s *State) WithoutSlots(now time.Time) map[string]bool {
	var out map[string]bool
	for _, m := range s.members {
		if m.Format < SlotsFormat && s.live(now, m) {
			if out == nil {
				out = map[string]bool{}
			}
			out[m.ID] = true
		}
	}
	return out
}

// PermitIssuers returns the IDs and heartbeat addresses of the routers that may issue permits:
// those that take callers, or else all that are live. selfReady says whether this router takes
// callers. lost is the number of routers that took callers when they were last heard of.
func (s *State) PermitIssuers(now time.Time, selfReady bool) (peers map[string]string, lost int) {
	ready, live := map[string]string{}, map[string]string{s.self.ID: s.self.Peer}
	if selfReady {
		ready[s.self.ID] = s.self.Peer
	}
	for _, m := range s.members {
		switch {
		case !s.live(now, m):
			if m.Ready {
				lost++
			}
			continue
		case m.Ready:
			ready[m.ID] = m.Peer
		}
		live[m.ID] = m.Peer
	}
	if len(ready) == 0 {
		return live, lost
	}
	return ready, lost
}
