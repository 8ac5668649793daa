package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
)

// Guards against a call of Send that blocks the control loop while a large message is being sent,
// and against large messages of which some parts are never sent.
func TestSendLargeMessages(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan presence.Message, 1000)
	node := func(received chan presence.Message) *Node {
		n := &Node{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Log: zap.NewNop(), OnMessage: func(m presence.Message, _ string) { received <- m }}
		c.Assert(n.Start(), qt.IsNil)
		go n.Run(ctx)
		return n
	}
	from, to := node(received), node(received)
	// Without Run, the queue is not emptied.
	notRunning := &Node{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"}
	c.Assert(notRunning.Start(), qt.IsNil)
	for range outgoingQueueSize + 3 {
		notRunning.Send(presence.OutgoingMessage{To: []string{"127.0.0.1:1"}})
	}
	c.Assert(notRunning.Dropped.Load(), qt.Equals, int64(3), qt.Commentf("Send drops messages instead of blocking when the queue is full"))
	m := presence.Message{Kind: presence.HubUpdate, From: "a"}
	for i := range 300 {
		m.Records = append(m.Records, presence.AgedRecord{Record: presence.Record{ID: fmt.Sprint("r", i), Boot: 1, Sequence: 2}})
	}
	// The sender pauses after burstBytes, and the message must exceed them. If the receiver got all
	// these bytes, the kernel could drop datagrams that the receiver doesn't read in time.
	// Therefore 20 of the 21 addresses have no receiver.
	addresses := []string{to.udp.LocalAddr().String()}
	for range 20 {
		addresses = append(addresses, "127.0.0.1:9")
	}
	for range 4 {
		from.Send(presence.OutgoingMessage{To: addresses, Message: m})
		seen := map[string]int{}
		for len(seen) < len(m.Records) {
			select {
			case part := <-received:
				for _, r := range part.Records {
					seen[r.ID]++
				}
			case <-time.After(30 * time.Second):
				c.Fatalf("%d of %d records arrived", len(seen), len(m.Records))
			}
		}
	}
}
