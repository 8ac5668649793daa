package edge

import (
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
)

// serverIDsByKey returns the IDs of servers by the keys that messages carry.
func serverIDsByKey(servers []roster.Server) map[presence.ServerKey]string {
	ids := make(map[presence.ServerKey]string, len(servers))
	for _, s := range servers {
		ids[presence.ServerKeyOf(s.ID)] = s.ID
	}
	return ids
}

// serverLimits converts limits to the form that messages carry.
func serverLimits(now time.Time, reports []permit.Report) []presence.ServerLimit {
	var out []presence.ServerLimit
	for _, r := range reports {
		out = append(out, serverLimit(now, r.Server, r.Limit))
	}
	return out
}

func serverLimit(now time.Time, server string, l permit.Limit) presence.ServerLimit {
	return presence.ServerLimit{
		Server: presence.ServerKeyOf(server), PerSecond: l.PerSecond, Ended: l.Ended, Age: max(0, now.Sub(l.At).Milliseconds()),
	}
}

// limitReports converts limits of a message. Those of unknown servers are left out.
func (c *controlLoop) limitReports(now time.Time, limits []presence.ServerLimit) []permit.Report {
	var out []permit.Report
	for _, l := range limits {
		if id, known := c.serverIDs[l.Server]; known {
			at := now.Add(-time.Duration(l.Age) * time.Millisecond)
			out = append(out, permit.Report{Server: id, Limit: permit.Limit{PerSecond: l.PerSecond, Ended: l.Ended, At: at}})
		}
	}
	return out
}

// mergeLimits records the limits in a message of another router, and logs those that have changed.
func (c *controlLoop) mergeLimits(now time.Time, from string, limits []presence.ServerLimit) {
	var limited, ended []string
	for _, r := range c.gateway.Permits.Merge(now, c.limitReports(now, limits)) {
		if r.Ended {
			ended = append(ended, r.Server)
		} else {
			limited = append(limited, r.Server)
		}
	}
	if len(limited)+len(ended) > 0 {
		c.log.Info("other routers report rate limits of backend servers", zap.String("from", from), zap.Strings("limited", limited), zap.Strings("ended", ended))
	}
}

// permitRequest returns the message with a question for a permit.
func permitRequest(now time.Time, from, address string, q gateway.PermitQuestion) presence.OutgoingMessage {
	return presence.OutgoingMessage{To: []string{address}, Message: presence.Message{Kind: presence.PermitRequest, From: from, Permit: &presence.Permit{
		Number: q.Number, Priority: max(0, q.Priority), MaxDelay: q.MaxDelay.Milliseconds(), Limit: serverLimit(now, q.Server, q.Limit), Cold: q.IsCold, PerSecond: q.PerSecond, Releases: q.Releases, Ending: uint8(q.Ending),
		NeedsSlot: q.Slot != nil, MaxHold: maxHold(q.Slot),
	}}}
}

// maxHold returns how long a request may hold its slot, in milliseconds.
func maxHold(slot *permit.SlotAsk) int64 {
	if slot == nil {
		return 0
	}
	return slot.MaxHold.Milliseconds()
}

// permitAnswer returns the message with the answer to a question for a permit.
func permitAnswer(from, address, server string, number uint32, answer permit.Answer) presence.OutgoingMessage {
	// Rounding down could make the other router ask again at once.
	wait := (answer.Wait + time.Millisecond - 1).Milliseconds()
	return presence.OutgoingMessage{To: []string{address}, Message: presence.Message{Kind: presence.PermitAnswer, From: from, Permit: &presence.Permit{
		Number: number, Limit: presence.ServerLimit{Server: presence.ServerKeyOf(server)}, Granted: answer.Granted, Wait: wait,
	}}}
}

// handlePermit handles the question of another router for a permit, or its answer to a question. It
// returns false for any other message.
func (c *controlLoop) handlePermit(now time.Time, m presence.Message, source string) bool {
	switch {
	case m.Kind != presence.PermitRequest && m.Kind != presence.PermitAnswer:
		return false
	case m.Permit == nil:
	case m.Kind == presence.PermitAnswer:
		answer := permit.Answer{Granted: m.Permit.Granted, Wait: time.Duration(m.Permit.Wait) * time.Millisecond}
		c.gateway.Permits.HandleAnswer(m.From, m.Permit.Number, answer)
	default:
		c.answerPermit(now, m.From, *m.Permit, source)
	}
	return true
}

// answerPermit answers the question of another router for a permit.
func (c *controlLoop) answerPermit(now time.Time, from string, p presence.Permit, source string) {
	server, known := c.serverIDs[p.Limit.Server]
	if !known {
		return
	}
	if p.Releases > 0 {
		c.gateway.Permits.ReleaseSlot(now, server, permit.Holder{Router: from, Number: p.Releases}, permit.Ending(p.Ending))
		c.send(permitAnswer(c.self.ID, source, server, p.Number, permit.Answer{Granted: true}))
		return
	}
	c.mergeLimits(now, from, []presence.ServerLimit{p.Limit})
	ask := permit.Ask{Server: server, Priority: p.Priority, MaxDelay: time.Duration(p.MaxDelay) * time.Millisecond, IsCold: p.Cold, PerSecond: p.PerSecond}
	if p.NeedsSlot {
		ask.Slot = &permit.SlotAsk{
			Holder: permit.Holder{Router: from, Number: p.Number}, ReplyTo: source, MaxHold: time.Duration(p.MaxHold) * time.Millisecond,
		}
	}
	if answer, answered := c.gateway.Permits.AnswerQuestion(now, ask); answered {
		c.send(permitAnswer(c.self.ID, source, server, p.Number, answer))
	}
}

// brittleServices returns the message form of the services with brittle servers.
func brittleServices(services []permit.BrittleService) []presence.BrittleService {
	var out []presence.BrittleService
	for _, s := range services {
		out = append(out, presence.BrittleService{Service: presence.ServiceKeyOf(s.Service), MaxRejections: s.MaxRejections, Age: s.Age.Milliseconds()})
	}
	return out
}

// mergeBrittle records which services have brittle servers, as another router says.
func (c *controlLoop) mergeBrittle(now time.Time, from string, r presence.AgedRecord) {
	if len(r.Brittle) == 0 {
		return
	}
	names := c.serviceNames()
	for _, b := range r.Brittle {
		name, known := names[b.Service]
		s := permit.BrittleService{Service: name, MaxRejections: b.MaxRejections, Age: time.Duration(b.Age+r.Age) * time.Millisecond}
		if known && c.gateway.Permits.MergeBrittle(now, s) {
			c.log.Info("another router reports brittle backend servers", zap.String("service", name), zap.Int("max_rejections", b.MaxRejections), zap.String("from", from))
		}
	}
}

// serviceNames returns the names of the services that have servers, by the keys that messages carry.
func (c *controlLoop) serviceNames() map[presence.ServiceKey]string {
	names := map[presence.ServiceKey]string{}
	for _, s := range c.roster.Servers() {
		names[presence.ServiceKeyOf(s.Service)] = s.Service
	}
	return names
}

// overloads returns the message form of the services that are overloaded, and how long ago the last sign
// of that was.
func overloads(ages map[string]time.Duration) []presence.Overload {
	var out []presence.Overload
	for service, age := range ages {
		out = append(out, presence.Overload{Service: presence.ServiceKeyOf(service), Age: age.Milliseconds()})
	}
	return out
}

// mergeOverloads records which services another router takes for overloaded.
func (c *controlLoop) mergeOverloads(now time.Time, from string, r presence.AgedRecord) {
	if len(r.Overloads) == 0 {
		return
	}
	names := c.serviceNames()
	for _, o := range r.Overloads {
		name, known := names[o.Service]
		if known && c.gateway.Permits.MergeOverload(now, name, time.Duration(o.Age+r.Age)*time.Millisecond) {
			c.log.Info("another router reports an overloaded service", zap.String("service", name), zap.String("from", from))
		}
	}
}
