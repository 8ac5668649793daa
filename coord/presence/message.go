package presence

import (
	"slices"
	"time"
)

// Kind says which routers receive a message and whose records it holds.
type Kind uint8

// Routers send a Heartbeat in each interval and an Introduction when a router joins. In fleets with
// hubs, the hubs send a HubUpdate instead of a Heartbeat; see maxMeshSize.
const (
	// Heartbeat messages hold the record of their sender.
	Heartbeat Kind = iota
	// Introduction messages hold complete records, for a router that has just joined, does not know
	// the hubs or has asked for them.
	Introduction
	// HubUpdate messages are sent by the hubs of an availability zone. They state which routers are
	// live, and hold the records that changed recently and the loads that a hub has collected.
	HubUpdate
	// Request messages ask a hub for the records of processes that the sender does not know.
	Request
	// PermitRequest messages ask the issuer of a backend server for a permit, and PermitAnswer
	// messages answer that. They hold no records and are not passed to State.
	PermitRequest
	PermitAnswer
	// OriginRecord messages tell which build began a stream. OriginQuestion messages ask for that,
	// and OriginAnswer messages answer. They are not passed to State either.
	OriginRecord
	OriginQuestion
	OriginAnswer
)

// LastKind is the kind with the highest number.
const LastKind = OriginAnswer

// Message is a message from one router to others.
type Message struct {
	Kind Kind
	// From is the ID of the sender.
	From string
	// Format is the format in which the message has arrived; 0 in messages to be sent.
	Format int
	// Records holds the sender's record and, in introductions and hub updates, the records of other
	// routers.
	Records []AgedRecord
	// ZoneLoads holds the loads of whole availability zones. It is set only in fleets with hubs,
	// where the hubs sum the loads before relaying them.
	ZoneLoads []ZoneLoad
	// Liveness states which routers are live; nil if the message does not say.
	Liveness *Liveness
	// Wanted holds the processes whose records the sender asks for.
	Wanted []MemberKey
	// Permit is set in PermitRequest and PermitAnswer messages only.
	Permit *Permit
	// Origin is set in OriginRecord, OriginQuestion and OriginAnswer messages only.
	Origin *StreamOrigin
}

// AgedRecord is a record in a message, with its age.
type AgedRecord struct {
	Record
	// Age is the time since the described router sent the record, in milliseconds.
	Age int64
	// WithoutIdentity is true if the encoded record omits the availability zone, the region, the
	// addresses and the capacity. The receiver knows them from an earlier record of the same
	// process.
	WithoutIdentity bool
}

// OutgoingMessage is a message with the addresses to send it to.
type OutgoingMessage struct {
	To      []string
	Message Message
}

// Receive merges the records, the loads and the liveness of a message. joined holds the IDs of the
// routers that were lost or unknown before or have restarted. introduce holds the IDs of the
// routers for which the caller should call Introduce and send the message.
func (s *State) Receive(now time.Time, m Message) (joined, introduce []string) {
	for _, r := range m.Records {
		if s.mergeRecord(now.Add(-time.Duration(r.Age)*time.Millisecond), now, r) {
			joined = append(joined, r.ID)
		}
	}
	if m.Liveness != nil {
		joined = append(joined, s.mergeLiveness(now, m.From, m.Liveness)...)
	}
	if len(joined) > 0 {
		s.maxFleet = max(s.maxFleet, s.LiveCount(now)+1)
	}
	for _, z := range m.ZoneLoads {
		at := now.Add(-time.Duration(z.Age) * time.Millisecond)
		if old, known := s.zoneLoads[z.Zone]; !known || at.After(old.at) {
			s.zoneLoads[z.Zone] = timedZoneLoad{ZoneLoad: z, at: at}
		}
	}
	if s.needsIntroduction(now, m, slices.Contains(joined, m.From)) {
		introduce = []string{m.From}
	}
	return joined, introduce
}

// IsAuthentic reports whether a message was sent from the heartbeat address of the router that it
// names as its sender, which is that of the sender's own record in the message, or else the known
// one. source is the address that the message came from, as ip:port.
func (s *State) IsAuthentic(m Message, source string) bool {
	for _, r := range m.Records {
		if r.ID == m.From && !r.WithoutIdentity {
			return r.Peer == source
		}
	}
	sender := s.members[m.From]
	return sender != nil && sender.Peer == source
}

// Knows reports whether the heartbeat address of a message's sender is known, so that the message
// can be told from one that another program sent. A router that has just started does not know
// routers whose first messages to it leave out their identity.
func (s *State) Knows(m Message) bool {
	hasIdentity := slices.ContainsFunc(m.Records, func(r AgedRecord) bool { return r.ID == m.From && !r.WithoutIdentity })
	return hasIdentity || s.members[m.From] != nil
}

// mergeRecord merges a record. sent is when the described router sent it. mergeRecord reports
// whether that router was lost or unknown before, or has restarted.
func (s *State) mergeRecord(sent, now time.Time, a AgedRecord) bool {
	r := a.Record
	if r.ID == "" || r.ID == s.self.ID || now.Sub(sent) > s.lostAfter() {
		return false
	}
	old, known := s.members[r.ID]
	if !known {
		old = &Member{}
	}
	// If the machine's clock was set back before the process restarted, the new process has the
	// lower boot time. It replaces the earlier process once that process counts as lost.
	successor := r.Boot != old.Boot && !s.live(now, old) && sent.After(old.SentAt)
	if known && !r.newer(old.Record) && !successor {
		return false
	}
	if a.WithoutIdentity {
		if !known || old.Boot != r.Boot {
			return false
		}
		format := r.Format
		r = r.withIdentity(old.Record)
		r.Format = max(format, r.Format)
	}
	if known && old.Boot == r.Boot {
		// Routers of earlier releases relay records without the format.
		r.Format = max(r.Format, old.Format)
	}
	// Records of other routers are relayed without their loads; see newsOf.
	if r.Loads == nil && known && r.Boot == old.Boot {
		r.Loads, r.Down, r.Leaving = old.Loads, old.Down, old.Leaving
	}
	joined := !known || r.Boot != old.Boot || !s.live(now, old)
	next := &Member{Record: r, SentAt: sent, joinedAt: old.joinedAt, changedAt: old.changedAt, key: keyOf(r), rank: rank(r.ID)}
	if r.StoreContactAge >= 0 {
		next.storeContactAt = sent.Add(-time.Duration(r.StoreContactAge) * time.Millisecond)
	}
	if old.SentAt.After(sent) && !joined {
		// A hub has reported a later state of the member; see mergeLiveness.
		next.SentAt, next.Ready, next.StoreLost = old.SentAt, old.Ready, old.StoreLost
		next.Config = max(next.Config, old.Config)
		if old.Servers.After(next.Servers) {
			next.Servers = old.Servers
		}
	}
	if joined {
		next.joinedAt = now
	}
	s.recordReadiness(now, old, next)
	if joined || !sameCrashes(r.Crashes, old.Crashes) || !slices.Equal(r.Unreached, old.Unreached) {
		next.changedAt = now
	}
	delete(s.byKey, old.key)
	s.members[r.ID], s.byKey[next.key] = next, next
	delete(s.missing, next.key)
	return joined
}

func sameCrashes(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(x, y Crash) bool { return x.Fingerprint == y.Fingerprint && slices.Equal(x.Servers, y.Servers) })
}

// IsPeerLive reports whether the router with the given heartbeat address is known and not lost.
func (s *State) IsPeerLive(now time.Time, peer string) bool {
	for _, m := range s.members {
		if m.Peer == peer {
			return s.live(now, m)
		}
	}
	return false
}
