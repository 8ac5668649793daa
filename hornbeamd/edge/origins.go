package edge

import (
	"time"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/hornbeamd/mesh"
	"hornbeamstep.example/routing/origin"
)

// originTransport implements gateway.OriginTransport with heartbeat messages.
type originTransport struct {
	self string
	node *mesh.Node
}

// SendOrigin implements gateway.OriginTransport.
func (t originTransport) SendOrigin(to []string, stream origin.Stream, build origin.Build) {
	t.send(to, presence.OriginRecord, presence.StreamOrigin{Stream: uint64(stream), Recorded: uint64(build)})
}

// AskOrigin implements gateway.OriginTransport.
func (t originTransport) AskOrigin(to []string, q origin.Question) {
	t.send(to, presence.OriginQuestion, presence.StreamOrigin{
		Number: q.Number, Stream: uint64(q.Stream), Service: uint32(q.Service), Within: q.Within.Milliseconds(),
	})
}

func (t originTransport) send(to []string, kind presence.Kind, o presence.StreamOrigin) {
	t.node.SendNow(presence.OutgoingMessage{To: to, Message: presence.Message{Kind: kind, From: t.self, Origin: &o}})
}

// handleOrigin handles the message of another router on the origin of a stream. It returns false
// for any other message.
func (c *controlLoop) handleOrigin(now time.Time, m presence.Message, source string) bool {
	switch {
	case m.Kind != presence.OriginRecord && m.Kind != presence.OriginQuestion && m.Kind != presence.OriginAnswer:
		return false
	case m.Origin == nil:
	case m.Kind == presence.OriginRecord:
		c.gateway.Origins.Merge(now, origin.Stream(m.Origin.Stream), origin.Build(m.Origin.Recorded))
	case m.Kind == presence.OriginAnswer:
		answer := origin.Answer{Recorded: origin.Build(m.Origin.Recorded), Sole: origin.Build(m.Origin.Sole), Several: m.Origin.Several}
		c.gateway.Origins.HandleAnswer(m.Origin.Number, answer)
	default:
		answer := c.gateway.Origins.AnswerQuestion(now, origin.Question{
			Stream: origin.Stream(m.Origin.Stream), Service: origin.Service(m.Origin.Service), Within: time.Duration(m.Origin.Within) * time.Millisecond,
		})
		c.send(presence.OutgoingMessage{To: []string{source}, Message: presence.Message{Kind: presence.OriginAnswer, From: c.self.ID, Origin: &presence.StreamOrigin{
			Number: m.Origin.Number, Stream: m.Origin.Stream, Recorded: uint64(answer.Recorded), Sole: uint64(answer.Sole), Several: answer.Several,
		}}})
	}
	return true
}

// originRouters returns the other live routers as possible holders of the origins of streams.
func originRouters(peers []presence.Peer) []origin.Router {
	out := make([]origin.Router, len(peers))
	for i, p := range peers {
		out[i] = origin.Router{ID: p.ID, Zone: p.Zone, Address: p.Address}
	}
	return out
}

// archivist returns the router that writes the origins of streams to the store.
func (c *controlLoop) archivist(now time.Time) gateway.Archivist {
	id, address, found := c.presence.Archivist(now, !c.storeFailedAt.IsZero())
	if !found {
		return gateway.Archivist{}
	}
	return gateway.Archivist{Address: address, IsSelf: id == c.self.ID}
}
