package fleet

import (
	"bufio"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against checks that pass although an active revision decreased, a race did not have
// exactly one winner, a conflict error named no remedy, or the partition had no effect.
func TestJudgeRacesAndPartitions(t *testing.T) {
	// samples returns one sample per second, alternating between the routers r1 and r2. The third
	// and the fourth sample show one member less, as during a partition.
	samples := func(values ...int64) []RevisionSample {
		var list []RevisionSample
		for i, v := range values {
			router, members := "r1", 2
			if i%2 == 1 {
				router = "r2"
			}
			if i == 2 || i == 3 {
				members = 1
			}
			list = append(list, RevisionSample{At: time.Unix(int64(i), 0), Router: router, Revision: v, Members: members})
		}
		return list
	}
	conflict := "revision 2 replaced revision 1; show the difference and push with base 2"
	oneWinner := []PushResult{{"1", "a", 0, ""}, {"1", "b", 4, conflict}}
	converging := samples(1, 1, 2, 1, 0, 2, 2, 2)
	for name, test := range map[string]struct {
		evidence Evidence
		// failedVerdict is the index of the only verdict that must fail, or -1.
		failedVerdict int
	}{
		"good":                     {Evidence{Revisions: converging, Pushes: oneWinner}, -1},
		"revision decreases":       {Evidence{Revisions: samples(2, 1, 2, 1, 1, 2, 2, 2), Pushes: oneWinner}, 0},
		"disagree":                 {Evidence{Revisions: samples(1, 1, 1, 1, 2, 1), Pushes: oneWinner}, 1},
		"partition without effect": {Evidence{Revisions: samples(1, 1), Pushes: oneWinner}, 2},
		// Both routers know one member at the start, but never lose one afterwards.
		"starting":        {Evidence{Revisions: samples(1, 1, 1, 1, 1, 1)[2:], Pushes: oneWinner}, 2},
		"two winners":     {Evidence{Revisions: converging, Pushes: []PushResult{{"1", "a", 0, ""}, {"1", "b", 0, ""}}}, 3},
		"no winner":       {Evidence{Revisions: converging, Pushes: []PushResult{{"1", "a", 4, conflict}, {"1", "b", 4, conflict}}}, 3},
		"unknown outcome": {Evidence{Revisions: converging, Pushes: append(oneWinner, PushResult{"1", "c", 5, "unknown"})}, 4},
		"no remedy":       {Evidence{Revisions: converging, Pushes: []PushResult{{"1", "a", 0, ""}, {"1", "b", 4, "lost"}}}, 4},
		"never rejoins":   {Evidence{Revisions: samples(1, 1, 2, 2), Pushes: oneWinner}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := test.evidence
			verdicts := append([]Verdict{e.checkNoRollback(), e.checkConvergence(), e.checkPartition([]string{"r1"})}, e.checkRaces()...)
			for i, v := range verdicts {
				qt.Check(t, v.Passed, qt.Equals, i != test.failedVerdict, qt.Commentf("%s: %s", v.Outcome, v.Observed))
			}
		})
	}
}

// Guards against a relay that forwards bytes across a partition, or that does not close a
// connection with dropped bytes when the partition ends.
func TestRelayPartition(t *testing.T) {
	c := qt.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer server.Close()
	received := make(chan string, 10)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					received <- lines.Text()
				}
			}()
		}
	}()
	relayListener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer relayListener.Close()
	r := &relayServer{}
	go r.serve(relayListener, "r2", server.Addr().String())
	setFault := func(body string) {
		w := httptest.NewRecorder()
		r.handleFault(w, httptest.NewRequest("POST", "/fault", strings.NewReader(body)))
		c.Assert(w.Code, qt.Equals, 200)
	}
	dial := func(from string) net.Conn {
		conn, err := net.Dial("tcp", relayListener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte(`{"id":"` + from + "\"}\n"))
		c.Assert(err, qt.IsNil)
		return conn
	}
	partitioned := dial("r1")
	c.Assert(<-received, qt.Equals, `{"id":"r1"}`)
	setFault(`{"apart":["r1"]}`)
	_, err = partitioned.Write([]byte("lost\n"))
	c.Assert(err, qt.IsNil)
	// A connection within one side of the partition still works.
	dial("r3")
	c.Assert(<-received, qt.Equals, `{"id":"r3"}`)
	// The relay must have read and dropped the bytes before the partition ends.
	for lossy := false; !lossy; {
		r.mu.Lock()
		lossy = r.connections[0].lossy
		r.mu.Unlock()
	}
	setFault(`{}`)
	_, err = partitioned.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	dial("r1")
	c.Assert(<-received, qt.Equals, `{"id":"r1"}`)
}
