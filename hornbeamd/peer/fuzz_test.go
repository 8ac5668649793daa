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

// offline returns a node whose control loop runs and whose connections all fail.
func offline(f testing.TB) *Node {
	n := &Node{ID: "a", Zone: "z", Region: "g", Listen: "127.0.0.1:1", Rand: rand.New(rand.NewPCG(1, 2))}
	// Within a minute of its start, a router outbids a higher boot id instead of giving way.
	start := time.Now()
	n.Clock = func() time.Time { return start }
	n.init()
	n.address = n.Listen
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	n.links = &links{
		meter: n.meter, logger: zap.NewNop(), limit: 1, handler: n.handle, greet: func() string { return "a" }, ctx: closed,
		all: map[*link]bool{}, byAddr: map[string]*link{}, byID: map[string]*link{}, dials: map[string]*dial{},
	}
	n.loop.start(n)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = n.loop.run(ctx)
		close(ended)
	}()
	f.Cleanup(func() {
		stop()
		<-ended
		close(n.done)
	})
	return n
}

// Guards against a peer that crashes a router, blocks its control loop or talks it out of the fleet by any message.
func FuzzMessages(f *testing.F) {
	seeds := map[string]any{
		"ping":     wirePing{From: wireMember{ID: "b", Boot: 1, Address: "127.0.0.1:2"}, News: []wireMember{{ID: "a", Boot: 1, Status: 2}}},
		"sync":     fromSync(member.Sync{From: member.Member{ID: "b", Boot: 1}, Digests: make([]uint32, 32)}),
		"probe":    wireProbe{wireMember{ID: "b", Boot: 1, Address: "127.0.0.1:2"}},
		"fetch":    wireFetch{Revision: 1, Base: 1, Digests: []string{"x"}},
		"announce": wireAnnounce{"b", 9, "x"},
		"load":     wireLoad{From: "b", Items: []wireItem{{Pool: "p", Load: 1, Count: 1}}},
		"usage":    wireUsage{From: "b", Demands: []wireDemand{{Account: "x", Requests: 1}}},
		"suspect":  wireNotice{Kind: "suspect", Fingerprint: "f"},
		"slot":     wireAsk{Engine: "e"},
		"hello":    wireHello{ID: "b"},
	}
	for name, v := range seeds {
		data, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(name, data)
	}
	n := offline(f)
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		raw := json.RawMessage(data)
		r := &jsonrpc2.Request{Method: name, Params: &raw}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = n.handle(ctx, &link{}, r)
		view, err := ask(ctx, n, func(now time.Time) *member.View { return n.loop.members.View(now) })
		if err != nil {
			t.Fatalf("control loop does not turn after %s %s: %v", name, data, err)
		}
		if self, ok := view.Find("a"); !ok || self.Status != member.Alive {
			t.Fatalf("router holds itself for %v after %s %s", self, name, data)
		}
	})
}

// Guards against frames that crash a router or make it allocate what the length field says.
func FuzzFrames(f *testing.F) {
	f.Add(append(binary.AppendUvarint(nil, 40), `{"jsonrpc":"2.0","id":1,"method":"echo"}`...))
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := &codec{meter: newMeter(nil), link: &link{}, asked: map[jsonrpc2.ID]string{}}
		var message json.RawMessage
		_ = c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &message)
	})
}

// Guards against contents that do not survive the compressed form, and against truncated ones that crash.
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
		_, _ = unpack(content)
	})
}
