package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/revision"
)

// newOfflineNode returns a node that runs its control loop but cannot connect to other routers.
func newOfflineNode(tb testing.TB) *Node {
	n := &Node{ID: "a", Zone: "z", Region: "g", Listen: "127.0.0.1:1", Rand: rand.New(rand.NewPCG(1, 2))}
	// Within a minute of its start, a router that sees its own ID with a higher boot ID raises its
	// own boot ID above it instead of stopping.
	start := time.Now()
	n.Clock = func() time.Time { return start }
	n.init()
	n.address = n.Listen
	closedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	n.conns = &connPool{
		meter: n.meter, logger: zap.NewNop(), maxConns: 1, handler: n.handle, localID: func() string { return "a" }, ctx: closedCtx,
		conns: map[*peerConn]bool{}, byAddr: map[string]*peerConn{}, byID: map[string]*peerConn{}, dials: map[string]*pendingDial{},
	}
	n.loop.start(n)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.loop.run(ctx)
		close(done)
	}()
	tb.Cleanup(func() {
		stop()
		<-done
		close(n.done)
	})
	return n
}

// Guards against messages that crash a router, block its control loop or make it consider itself
// dead.
func FuzzMessages(f *testing.F) {
	seeds := map[string]any{
		"ping":     wirePing{From: wireMember{ID: "b", Boot: 1, Address: "127.0.0.1:2"}, News: []wireMember{{ID: "a", Boot: 1, Status: 2}}},
		"sync":     fromSync(member.Sync{From: member.Member{ID: "b", Boot: 1}, Digests: make([]uint32, 32)}),
		"probe":    wireProbe{wireMember{ID: "b", Boot: 1, Address: "127.0.0.1:2"}},
		"fetch":    wireFetch{Revision: 1, Base: 1, Digests: []string{"x"}},
		"announce": wireAnnounce{"b", 9, "x"},
		"load":     wireLoad{From: "b", Items: []wireLoadItem{{Pool: "p", Load: 1, Count: 1}}},
		"usage":    wireUsage{From: "b", Demands: []wireAccountUsage{{Account: "x", Requests: 1}}},
		"suspect":  wireNotice{Kind: "suspect", Fingerprint: "f"},
		"slot":     wireSlotRequest{Engine: "e"},
		"hello":    wireHello{ID: "b"},
	}
	for name, v := range seeds {
		data, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(name, data)
	}
	node := newOfflineNode(f)
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		raw := json.RawMessage(data)
		r := &jsonrpc2.Request{Method: name, Params: &raw}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = node.handle(ctx, &peerConn{}, r)
		view, err := runOnLoop(ctx, node, func(now time.Time) *member.View { return node.loop.members.View(now) })
		if err != nil {
			t.Fatalf("control loop is blocked after message %s %s: %v", name, data, err)
		}
		if self, ok := view.Find("a"); !ok || self.Status != member.Alive {
			t.Fatalf("router sees itself as %v after message %s %s", self, name, data)
		}
	})
}

// Guards against frames that crash a router or make it allocate as much memory as a forged length
// field claims.
func FuzzFrames(f *testing.F) {
	f.Add(append(binary.AppendUvarint(nil, 40), `{"jsonrpc":"2.0","id":1,"method":"echo"}`...))
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := &codec{meter: newMeter(nil), conn: &peerConn{}, pendingMethods: map[jsonrpc2.ID]string{}}
		var message json.RawMessage
		_ = c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &message)
	})
}

// Guards against file contents that change when they are compressed and decompressed, and against a
// crash on truncated or invalid compressed data.
func FuzzContents(f *testing.F) {
	f.Add([]byte("accounts: []"), 5)
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		w, err := fromReply(revision.Reply{Contents: [][]byte{content, content}})
		if err != nil {
			t.Fatal(err)
		}
		r, err := w.reply()
		if err != nil || len(r.Contents) != 2 || !bytes.Equal(r.Contents[1], content) {
			t.Fatalf("%q became %q: %v", content, r.Contents, err)
		}
		w.Contents = w.Contents[:max(0, min(cut, len(w.Contents)))]
		_, _ = w.reply()
		_, _ = unpackContents(content)
	})
}
