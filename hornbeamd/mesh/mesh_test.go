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

// Guards against Send blocking the control loop while a large message is sent, and against large
// messages of which some parts are never sent.
func TestSendLargeMessages(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan presence.Message, 1000)
	node := func(received chan presence.Message) *Node {
		n := &Node{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Log: zap.NewNop(), OnMessage: func(m presence.Message) { received <- m }}
		c.Assert(n.Start(), qt.IsNil)
		go n.Run(ctx)
		return n
	}
	from, to := node(received), node(received)
	stopped := &Node{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"}
	c.Assert(stopped.Start(), qt.IsNil)
	for range outgoingQueueSize + 3 {
		stopped.Send(presence.OutgoingMessage{To: []string{"127.0.0.1:1"}})
	}
	c.Assert(stopped.Dropped.Load(), qt.Equals, int64(3), qt.Commentf("Send drops messages instead of blocking when the queue is full"))
	m := presence.Message{Kind: presence.Digest, From: "a"}
	for i := range 300 {
		m.Records = append(m.Records, presence.AgedRecord{Record: presence.Record{ID: fmt.Sprint("r", i), Boot: 1, Sequence: 2}})
	}
	// Most datagrams go to addresses without a receiver, so that the sender pauses although the
	// receiver gets few datagrams: the kernel drops the datagrams that a receiver doesn't read in
	// time.
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
