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

// Guards against a judge that passes revisions which went back, races without exactly one winner, conflicts without a remedy, and a
// partition that did not take place.
func TestJudgeRacesAndPartitions(t *testing.T) {
	readings := func(values ...int64) []InForce {
		var all []InForce
		for i, v := range values {
			router, members := "r1", 2
			if i%2 == 1 {
				router = "r2"
			}
			if i == 2 || i == 3 {
				members = 1
			}
			all = append(all, InForce{At: time.Unix(int64(i), 0), Router: router, Revision: v, Members: members})
		}
		return all
	}
	conflict := "revision 2 replaced revision 1; show the difference and push with base 2"
	fair := []Push{{"1", "a", 0, ""}, {"1", "b", 4, conflict}}
	whole := readings(1, 1, 2, 1, 0, 2, 2, 2)
	for name, test := range map[string]struct {
		evidence Evidence
		short    int
	}{
		"good":          {Evidence{Revisions: whole, Pushes: fair}, -1},
		"went back":     {Evidence{Revisions: readings(2, 1, 2, 1, 1, 2, 2, 2), Pushes: fair}, 0},
		"disagree":      {Evidence{Revisions: readings(1, 1, 1, 1, 2, 1), Pushes: fair}, 1},
		"not parted":    {Evidence{Revisions: readings(1, 1), Pushes: fair}, 2},
		"starting":      {Evidence{Revisions: readings(1, 1, 1, 1, 1, 1)[2:], Pushes: fair}, 2},
		"two winners":   {Evidence{Revisions: whole, Pushes: []Push{{"1", "a", 0, ""}, {"1", "b", 0, ""}}}, 3},
		"no winner":     {Evidence{Revisions: whole, Pushes: []Push{{"1", "a", 4, conflict}, {"1", "b", 4, conflict}}}, 3},
		"not settled":   {Evidence{Revisions: whole, Pushes: append(fair, Push{"1", "c", 5, "unknown"})}, 4},
		"no remedy":     {Evidence{Revisions: whole, Pushes: []Push{{"1", "a", 0, ""}, {"1", "b", 4, "lost"}}}, 4},
		"never rejoins": {Evidence{Revisions: readings(1, 1, 2, 2), Pushes: fair}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := test.evidence
			verdicts := append([]Verdict{e.reverted(), e.agreed(), e.parted([]string{"r1"})}, e.races()...)
			for i, v := range verdicts {
				qt.Check(t, v.Held, qt.Equals, i != test.short, qt.Commentf("%s: %s", v.Outcome, v.Seen))
			}
		})
	}
}

// Guards against a relay that lets bytes through while its two sides are apart, or keeps a connection that lost bytes afterwards.
func TestRelayPartsTwoSides(t *testing.T) {
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
	front, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer front.Close()
	r := &relays{}
	go r.serve(front, "r2", server.Addr().String())
	fault := func(body string) {
		w := httptest.NewRecorder()
		r.fault(w, httptest.NewRequest("POST", "/fault", strings.NewReader(body)))
		c.Assert(w.Code, qt.Equals, 200)
	}
	dial := func(from string) net.Conn {
		conn, err := net.Dial("tcp", front.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte(`{"id":"` + from + "\"}\n"))
		c.Assert(err, qt.IsNil)
		return conn
	}
	old := dial("r1")
	c.Assert(<-received, qt.Equals, `{"id":"r1"}`)
	fault(`{"apart":["r1"]}`)
	_, err = old.Write([]byte("lost\n"))
	c.Assert(err, qt.IsNil)
	// A daemon of the same side passes, and shows that the relay still works.
	dial("r3")
	c.Assert(<-received, qt.Equals, `{"id":"r3"}`)
	// The relay has to have read the lost bytes before the sides are joined.
	for torn := false; !torn; {
		r.mu.Lock()
		torn = r.links[0].torn
		r.mu.Unlock()
	}
	fault(`{}`)
	_, err = old.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	dial("r1")
	c.Assert(<-received, qt.Equals, `{"id":"r1"}`)
}
