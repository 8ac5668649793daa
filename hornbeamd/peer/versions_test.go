package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/member"
)

// recordedMessage is a message from a newer or older build, with the expected result.
type recordedMessage struct {
	Method string           `json:"method"`
	Params *json.RawMessage `json:"params"`
	// Has lists fields that the answer must contain. Member is a router that must be an alive
	// member afterwards. Code is the expected JSON-RPC error code, 0 for success.
	Has    []string `json:"has"`
	Member string   `json:"member"`
	Code   int64    `json:"code"`
}

type grantingSlots struct{ Slots }

func (grantingSlots) Take(_ context.Context, _ string, a SlotRequest) (SlotGrant, error) {
	return SlotGrant{Slot: a.Request, Lease: time.Second}, nil
}
func (grantingSlots) Renew(context.Context, string, []string) ([]string, error) { return nil, nil }

// Guards against a build that rejects or misreads messages of a newer or older build, which may
// contain unknown fields, lack optional fields or use unsupported methods.
func TestMessagesOfOtherBuilds(t *testing.T) {
	c := quicktest.New(t)
	content, err := os.ReadFile("testdata/versions.json")
	c.Assert(err, quicktest.IsNil)
	var messages map[string]recordedMessage
	c.Assert(json.Unmarshal(content, &messages), quicktest.IsNil)
	n := newOfflineNode(c)
	n.Slots = grantingSlots{}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			answer, err := n.handle(context.Background(), &peerConn{}, &jsonrpc2.Request{Method: m.Method, Params: m.Params})
			if m.Code != 0 {
				var rpcErr *jsonrpc2.Error
				c.Assert(errors.As(err, &rpcErr), quicktest.IsTrue)
				c.Assert(rpcErr.Code, quicktest.Equals, m.Code)
				return
			}
			c.Assert(err, quicktest.IsNil)
			encoded, err := json.Marshal(answer)
			c.Assert(err, quicktest.IsNil)
			var fields map[string]json.RawMessage
			c.Assert(json.Unmarshal(encoded, &fields), quicktest.IsNil)
			for _, field := range m.Has {
				c.Check(fields[field], quicktest.IsNotNil, quicktest.Commentf("%s lacks %s", encoded, field))
			}
			if m.Member != "" {
				view, err := runOnLoop(context.Background(), n, func(now time.Time) *member.View { return n.loop.members.View(now) })
				c.Assert(err, quicktest.IsNil)
				found, ok := view.Find(m.Member)
				c.Check(ok && found.Status == member.Alive, quicktest.IsTrue)
			}
		})
	}
}

// otherBuildMember and otherBuildAck are the messages of another build: they contain unknown fields
// and lack the optional ones.
type otherBuildMember struct {
	ID      string   `json:"id"`
	Boot    uint64   `json:"boot"`
	Address string   `json:"at"`
	Colour  []string `json:"colour"`
}

type otherBuildAck struct {
	From   otherBuildMember `json:"from"`
	Digest string           `json:"digest"`
	Future map[string]int   `json:"future"`
}

// otherBuildPing contains the fields of a ping that the other build reads.
type otherBuildPing struct {
	Digest string `json:"digest"`
}

// Guards against a router that considers a router of another build dead, or that does not trust its
// own membership view because of it.
func TestRouterOfOtherBuildIsMember(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	self := otherBuildMember{ID: "b", Boot: 1, Address: listener.Addr().String(), Colour: []string{"green"}}
	var pings atomic.Int64
	serve := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case "ping":
			pings.Add(1)
			ping, err := decodeParams[otherBuildPing](r)
			return otherBuildAck{From: self, Digest: ping.Digest, Future: map[string]int{"x": 1}}, err
		case "hello", "echo":
			return nil, nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method is not supported by this build"}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), serve)
		}
	}()
	n := &Node{ID: "a", Zone: "z", Region: "g", Listen: "127.0.0.1:0", Seeds: []string{self.Address}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	<-n.Ready()
	defer func() {
		cancel()
		c.Check(<-done, quicktest.IsNil)
	}()
	trusted := func() bool {
		m, ok := n.Members().Find("b")
		return ok && m.Status == member.Alive && n.Members().Trusted
	}
	// The time limit of the test run bounds this loop.
	for !trusted() {
		time.Sleep(20 * time.Millisecond)
	}
	for from := pings.Load(); pings.Load() < from+3; {
		time.Sleep(20 * time.Millisecond)
		c.Assert(trusted(), quicktest.IsTrue)
	}
}
