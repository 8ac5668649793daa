package modelengine_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

func startEngine(c *qt.C, config modelengine.Config) (*modelengine.Engine, *engine.HTTPClient) {
	config.StepInterval = time.Millisecond
	e, err := modelengine.Start(config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.Close)
	return e, engine.New("e", e.Address(), engine.Options{})
}

// countChunks sends a streaming request, reads the whole stream and returns the number of chunks.
func countChunks(c *qt.C, client engine.Client, attemptID, chat, content string) int {
	stream, err := client.Start(context.Background(), engine.Attempt{
		ID: attemptID, Chat: chat,
		Body: []byte(`{"stream":true,"max_tokens":5,"messages":[{"role":"user","content":"` + content + `"}]}`),
	})
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	for n := 0; ; n++ {
		if _, err = stream.Next(); err != nil {
			c.Assert(err, qt.Equals, engine.ErrStreamComplete)
			return n
		}
	}
}

// Guards against an engine that applies an order after the order has expired or after the lease of
// its sender has passed to another router (outdated fencing token), and against a client that
// decodes the result incorrectly.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for _, fence := range []bool{true, false} {
		_, client := startEngine(c, modelengine.Config{CheckFencingTokens: fence, Models: []string{"a"}})
		order := func(token int64, kind, state string, expires time.Time) bool {
			result, err := client.Order(ctx, engine.Order{Fence: token, Kind: kind, State: state, Expires: expires})
			c.Assert(err, qt.IsNil)
			return result.Applied
		}
		inOneHour := time.Now().Add(time.Hour)
		c.Assert(order(7, "load", "b", inOneHour), qt.IsTrue)
		c.Assert(order(6, "unload", "b", inOneHour), qt.Equals, !fence)
		c.Assert(order(8, "unload", "a", time.Now().Add(-time.Hour)), qt.IsFalse)
		c.Assert(order(8, "load", "b", inOneHour), qt.IsTrue)
		state, err := client.State(ctx)
		c.Assert(err, qt.IsNil)
		slices.Sort(state.Models)
		c.Assert(state.Models, qt.DeepEquals, []string{"a", "b"})
		c.Assert(order(9, "drain", "on", inOneHour), qt.IsTrue)
		_, err = client.Start(ctx, engine.Attempt{ID: "x", Body: []byte(`{"messages":[{"role":"user"}]}`)})
		var failure *exchange.Error
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Assert(failure.Kind, qt.Equals, exchange.Refused)
	}
}

// Guards against a prefix cache that exceeds its capacity, evictions without an event, and KV
// caches that are lost between export and import.
func TestCache(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, source := startEngine(c, modelengine.Config{Name: "one", CacheTokens: 12})
	_, target := startEngine(c, modelengine.Config{Name: "two", CacheTokens: 12})
	countChunks(c, source, "a-1", "chat-1", "first chat of three words")
	kv, err := source.Export(ctx, "chat-1")
	c.Assert(err, qt.IsNil)
	c.Assert(target.Import(ctx, kv), qt.IsNil)
	countChunks(c, source, "a-2", "chat-2", "second chat of three words")
	events, err := source.Events(ctx, 0)
	c.Assert(err, qt.IsNil)
	kinds := map[string]int{}
	for _, event := range events.Events {
		kinds[event.Kind]++
	}
	c.Assert(kinds, qt.DeepEquals, map[string]int{"stored": 4, "evicted": 2})
	_, err = source.Export(ctx, "chat-1")
	c.Assert(err, qt.IsNotNil, qt.Commentf("evicted"))
	imported, err := target.Export(ctx, "chat-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(imported), qt.Equals, string(kv))
	report, err := target.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Boot, qt.Equals, "two-1")
	c.Assert(report.Load, qt.Equals, 0.0)
}

// Guards against a resumed stream that repeats or omits tokens, and against a cancelled request
// that keeps running.
func TestResumeAndCancel(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e, client := startEngine(c, modelengine.Config{})
	c.Assert(countChunks(c, client, "a-1", "", "x"), qt.Equals, 6, qt.Commentf("5 tokens and the finish reason"))
	stream, err := client.Resume(ctx, "a-1", 3)
	c.Assert(err, qt.IsNil)
	chunk, err := stream.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(chunk.Seq, qt.Equals, 4)
	stream.Close()
	e.SetFault(modelengine.Fault{Kind: modelengine.Hang})
	go client.Start(ctx, engine.Attempt{ID: "a-2", Body: []byte(`{"stream":true,"max_tokens":100000,"messages":[{"role":"user"}]}`)})
	e.SetFault(modelengine.Fault{})
	for e.ActiveCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(client.Cancel(ctx, "a-2"), qt.IsNil)
	c.Assert(e.ActiveCount(), qt.Equals, 0)
}
