package requestpath

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/shutdown"
)

// engineVariable is the environment variable that makes the test binary run a router, which drains
// on SIGTERM, in place of the tests. Its value is the address of the engine to use. The value "own"
// starts an engine whose responses take longer than the 5.5 s after which go-zero by default kills
// a process that received SIGTERM.
const engineVariable = "REQUESTPATH_ROUTER"

func TestMain(m *testing.M) {
	if engine := os.Getenv(engineVariable); engine != "" {
		runRouterProcess(engine)
		return
	}
	os.Exit(m.Run())
}

func runRouterProcess(engine string) {
	shutdown.SetDrainTimeout(time.Minute)
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	// newFixture needs a testing.TB. The process exits without cleanup, so a benchmark that is
	// never run is sufficient.
	f := newFixture(&testing.B{}, func(_ *caller.Options, e *modelengine.Config) { e.StepInterval = 400 * time.Millisecond })
	if engine != "own" {
		f.fakeDispatcher.engines = []caller.Grant{{Backend: "other", Address: engine}}
	}
	fmt.Println(f.url)
	<-terminated
	// From here on another SIGTERM terminates the process, as in the daemon. go-zero sends one when
	// its own timeout after the first SIGTERM expires.
	signal.Stop(terminated)
	fmt.Println(f.router.Drain(context.Background()))
}

// startRouterProcess starts a router in a separate process. It returns the process, a fixture of
// which only the URL is set, and the further lines of the standard output.
func startRouterProcess(c *qt.C, engine string) (*exec.Cmd, *fixture, *bufio.Scanner) {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), engineVariable+"="+engine)
	process.Stderr = os.Stderr
	out, err := process.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() { process.Process.Kill() })
	lines := bufio.NewScanner(out)
	c.Assert(lines.Scan(), qt.IsTrue)
	return process, &fixture{url: lines.Text()}, lines
}

// Guards against go-zero's own handling of SIGTERM, which by default kills the process after 5.5 s
// and would interrupt a drain.
func TestDrainLongerThanGoZeroTimeout(t *testing.T) {
	c := qt.New(t)
	process, f, lines := startRouterProcess(c, "own")
	response := make(chan received)
	startTime := time.Now()
	go func() { response <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	waitUntil(func() bool {
		return strings.Contains(send(f.request("GET", "/metrics", "")).body, "hornbeam_caller_streams 1\n")
	})
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	got := <-response
	c.Assert(got.done, qt.IsTrue)
	c.Assert(got.text, qt.Equals, wantText)
	c.Assert(time.Since(startTime) > 5500*time.Millisecond, qt.IsTrue, qt.Commentf("the response ended before the timeout of go-zero, so the test proves nothing"))
	c.Assert(lines.Scan(), qt.IsTrue)
	c.Assert(lines.Text(), qt.Equals, "<nil>")
	c.Assert(process.Wait(), qt.IsNil)
}
