//go:build crowd

// These tests measure the memory of a process. CI runs them one at a time and apart from other load.

package endtoend

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/platform/standin"
	"hornbeamstep.example/ports/instancelist"
)

// routerArgsVariable names the environment variable that makes the test binary run as a router; its
// value holds the command-line arguments.
const routerArgsVariable = "CROWD_TEST_ROUTER"

// The limits that the settings of the router state.
const (
	crowdMemoryMB = 128
	crowdMaxFDs   = 600
	// crowdSettle is the time between the last byte of a crowd and the measurement.
	crowdSettle = time.Second
)

func TestMain(m *testing.M) {
	args := os.Getenv(routerArgsVariable)
	if args == "" {
		os.Exit(m.Run())
	}
	var s settings.Settings
	_, err := settings.Parse(&s, strings.Fields(args))
	if err == nil {
		err = (&daemon.Daemon{Settings: s}).Run(shutdown.Context())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// crowdRouter is a router in a process of its own, with the addresses that it listens on.
type crowdRouter struct {
	tb                      *testbed
	caller, peer, operators string
	process                 *exec.Cmd
	done                    chan error
	// sent is the number of ordinary requests.
	sent int
}

// startCrowdRouter starts a router that has little memory and few descriptors. It gets these limits by the
// environment, since routers ignore variables that they do not know.
func startCrowdRouter(t *testing.T) *crowdRouter {
	tb := newTestbed(t, 1, 0, modelengine.Config{Models: []string{model}})
	r := &crowdRouter{tb: tb, done: make(chan error, 1)}
	for _, address := range []*string{&r.caller, &r.peer, &r.operators} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		*address = l.Addr().String()
		l.Close()
	}
	tb.platform.SetInstances([]instancelist.Instance{{ID: "r1", Address: r.peer, Zone: "z", Role: "router", State: instancelist.Live}})
	r.process = exec.Command(os.Args[0])
	r.process.Env = append(os.Environ(),
		routerArgsVariable+"=--id=r1 --zone=z --caller-listen="+r.caller+" --peer-listen="+r.peer+" --operator-listen="+r.operators+
			" --platform-objects="+tb.platformURL+" --platform-instances="+tb.platformURL,
		fmt.Sprintf("HORNBEAM_LIMITS_MEMORY=%d", crowdMemoryMB), fmt.Sprintf("HORNBEAM_LIMITS_DESCRIPTORS=%d", crowdMaxFDs))
	r.process.Stderr = os.Stderr
	qt.Assert(t, r.process.Start(), qt.IsNil)
	go func() { r.done <- r.process.Wait() }()
	t.Cleanup(func() { r.process.Process.Signal(syscall.SIGKILL) })
	r.sendOrdinary()
	return r
}

// sendOrdinary sends an ordinary request until it is answered.
func (r *crowdRouter) sendOrdinary() {
	r.tb.t.Helper()
	body := strings.Repeat("x", 12_000)
	r.tb.waitFor("an ordinary request is answered", func() bool {
		r.sent++
		status, err := standin.SendRaw(r.caller, fmt.Sprintf("%sIdempotency-Key: ordinary-%d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", requestHead, r.sent, len(body), body))
		return err == nil && status == 200
	})
}

const (
	requestHead = "POST /v1/services/intake/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\n"
	crowdHead   = requestHead + "Idempotency-Key: crowd\r\n"
)

// checkLimits checks that the router lives within its limits and answers an ordinary request.
func (r *crowdRouter) checkLimits(when string) {
	t := r.tb.t
	t.Helper()
	r.sendOrdinary()
	time.Sleep(crowdSettle)
	r.sendOrdinary()
	select {
	case err := <-r.done:
		t.Fatalf("%s: the router has ended: %v", when, err)
	default:
	}
	usage, err := standin.UsageOf(r.process.Process.Pid)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%s: at most %d MB resident, %d descriptors", when, usage.PeakMB, usage.Descriptors)
	qt.Check(t, usage.PeakMB <= crowdMemoryMB, qt.IsTrue, qt.Commentf("%s: %d MB were resident", when, usage.PeakMB))
	qt.Check(t, usage.Descriptors <= crowdMaxFDs, qt.IsTrue, qt.Commentf("%s: %d descriptors are open", when, usage.Descriptors))
}

// Guards against clients that end a router, make it exceed its memory or its descriptors, or keep it from
// answering others.
func TestCrowd(t *testing.T) {
	const (
		mib    = 1 << 20
		almost = 2000
	)
	crowds := map[string]standin.Crowd{
		"uploads that stop short of their end": {Size: 60, Send: standin.SendUpload(crowdHead, 4*mib, almost)},
		"whole uploads":                        {Size: 60, Send: standin.SendUpload(crowdHead, 4*mib, 0)},
		"uploads in chunks of one byte":        {Size: 100, Send: standin.SendChunks(crowdHead, mib)},
		"heads over the limit":                 {Size: 500, Send: standin.SendText(crowdHead + strings.Repeat("a:\r\n", mib/4))},
		"empty lines":                          {Size: 500, Send: standin.SendText(strings.Repeat("\r\n", mib/2))},
		"nothing":                              {Size: 900, Send: standin.SendText("")},
	}
	for name, lines := range map[string]string{"short lines": standin.ShortLines(), "odd names": standin.OddNames()} {
		crowds[name+" that do not end"] = standin.Crowd{Size: 500, Send: standin.SendText(crowdHead + lines)}
		crowds[name+", and a body that stops short"] = standin.Crowd{Size: 500, Send: standin.SendUpload(crowdHead+lines, 10, 1)}
	}
	for name, crowd := range crowds {
		t.Run(name, func(t *testing.T) {
			r := startCrowdRouter(t)
			crowd.Address = r.caller
			closeAll := crowd.Run()
			r.checkLimits("with the crowd")
			closeAll()
			r.checkLimits("after the crowd")
		})
	}
}

// Guards against clients that end a router through a listener that is not for requests.
func TestCrowdAtOtherListeners(t *testing.T) {
	for name, address := range map[string]func(r *crowdRouter) string{
		"peers":     func(r *crowdRouter) string { return r.peer },
		"operators": func(r *crowdRouter) string { return r.operators },
	} {
		for kind, crowd := range map[string]standin.Crowd{
			"short lines": {Size: 500, Send: standin.SendText("GET /readyz HTTP/1.1\r\nHost: h\r\n" + standin.ShortLines())},
			"odd names":   {Size: 500, Send: standin.SendText("GET /readyz HTTP/1.1\r\nHost: h\r\n" + standin.OddNames())},
			"uploads":     {Size: 60, Send: standin.SendUpload("POST /v1/drains HTTP/1.1\r\nHost: h\r\n", 4<<20, 2000)},
			"nothing":     {Size: 900, Send: func(io.Writer) error { return nil }},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				r := startCrowdRouter(t)
				crowd.Address = address(r)
				closeAll := crowd.Run()
				r.checkLimits("with the crowd")
				closeAll()
				r.checkLimits("after the crowd")
			})
		}
	}
}
