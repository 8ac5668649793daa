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

// recorded is a message of a newer or older build, with what the answer must have.
type recorded struct {
	Method string           `json:"method"`
	Params *json.RawMessage `json:"params"`
	// Has are the fields of the answer, Member a router that must be known afterwards, and Code the code of a typed error.
	Has    []string `json:"has"`
	Member string   `json:"member"`
	Code   int64    `json:"code"`
}

type grantAll struct{ Slots }

func (grantAll) Take(_ context.Context, _ string, a SlotAsk) (SlotGrant, error) {
	return SlotGrant{Slot: a.Request, Lease: time.Second}, nil
}
func (grantAll) Renew(context.Context, string, []string) ([]string, error) { return nil, nil }

// Guards against a build that refuses or misreads what routers of a newer or older build send: fields that it does not know, optional
// fields that are missing, and methods that it does not serve.
func TestMessagesOfOtherBuilds(t *testing.T) {
	c := quicktest.New(t)
	content, err := os.ReadFile("testdata/versions.json")
	c.Assert(err, quicktest.IsNil)
	var messages map[string]recorded
	c.Assert(json.Unmarshal(content, &messages), quicktest.IsNil)
	n := offline(c)
	n.Slots = grantAll{}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			answer, err := n.handle(context.Background(), &link{}, &jsonrpc2.Request{Method: m.Method, Params: m.Params})
			if m.Code != 0 {
				var typed *jsonrpc2.Error
				c.Assert(errors.As(err, &typed), quicktest.IsTrue)
				c.Assert(typed.Code, quicktest.Equals, m.Code)
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
				view, err := ask(context.Background(), n, func(now time.Time) *member.View { return n.loop.members.View(now) })
				c.Assert(err, quicktest.IsNil)
				found, ok := view.Find(m.Member)
				c.Check(ok && found.Status == member.Alive, quicktest.IsTrue)
			}
		})
	}
}

// otherMember and otherAck are the wire form of another build, whose acks have fields that this one does not know and lack the optional
// ones.
type otherMember struct {
	ID      string   `json:"id"`
	Boot    uint64   `json:"boot"`
	Address string   `json:"at"`
	Colour  []string `json:"colour"`
}

type otherAck struct {
	From   otherMember    `json:"from"`
	Digest string         `json:"digest"`
	Future map[string]int `json:"future"`
}

// otherPing is what the other build reads of a ping.
type otherPing struct {
	Digest string `json:"digest"`
}

// Guards against a router that takes one of another build for lost, or does not trust its own view beside it.
func TestRouterOfAnotherBuildIsAMember(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	self := otherMember{ID: "b", Boot: 1, Address: listener.Addr().String(), Colour: []string{"green"}}
	var pings atomic.Int64
	serve := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case "ping":
			pings.Add(1)
			p, err := params[otherPing](r)
			return otherAck{From: self, Digest: p.Digest, Future: map[string]int{"x": 1}}, err
		case "hello", "echo":
			return nil, nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served by this build"}
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
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	<-n.Ready()
	defer func() {
		cancel()
		c.Check(<-ended, quicktest.IsNil)
	}()
	known := func() bool {
		m, ok := n.Members().Find("b")
		return ok && m.Status == member.Alive && n.Members().Trusted
	}
	// The test's time limit bounds the wait.
	for !known() {
		time.Sleep(20 * time.Millisecond)
	}
	for from := pings.Load(); pings.Load() < from+3; {
		time.Sleep(20 * time.Millisecond)
		c.Assert(known(), quicktest.IsTrue)
	}
}
