package edge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against closing the connection of a request that arrives after the last check for requests
// in progress, and against waiting for a request beyond the time at which it must be aborted.
func TestCloseServers(t *testing.T) {
	for name, test := range map[string]struct {
		timeLeft time.Duration
		complete bool
	}{
		"ends in time": {10 * time.Second, true},
		"endless":      {100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, release := make(chan struct{}), make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				<-release
				io.WriteString(w, "ok")
			})}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go server.Serve(listener)
			body := make(chan string, 1)
			go func() {
				response, err := http.Get("http://" + listener.Addr().String())
				if err != nil {
					body <- ""
					return
				}
				defer response.Body.Close()
				text, _ := io.ReadAll(response.Body)
				body <- string(text)
			}()
			<-arrived
			closed := make(chan struct{})
			go func() {
				closeServers([]*http.Server{server}, time.Now().Add(test.timeLeft))
				close(closed)
			}()
			if !test.complete {
				<-closed
				c.Assert(<-body, qt.Equals, "")
				close(release)
				return
			}
			time.Sleep(50 * time.Millisecond)
			close(release)
			c.Assert(<-body, qt.Equals, "ok")
			<-closed
		})
	}
}

// Guards against a request that is sent three seconds after SIGTERM and accepted, although it may last
// longer than the grace period, because the router noticed the signal late.
func TestDrainPlanOfLateSignal(t *testing.T) {
	c := qt.New(t)
	signaled := time.Unix(1000, 0)
	plan := newDrainPlan(signaled.Add(50*time.Millisecond), 8*time.Second)
	c.Assert(plan.LeftAt.Before(signaled.Add(3*time.Second)), qt.IsTrue)
}
