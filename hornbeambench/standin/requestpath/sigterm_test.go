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

// childVariable makes the test binary act as a router that drains on SIGTERM. Its value is the address of an engine to use;
// "own" starts one whose answers take longer than the library lets a process live after SIGTERM.
const childVariable = "REQUESTPATH_ROUTER"

func TestMain(m *testing.M) {
	if engine := os.Getenv(childVariable); engine != "" {
		runRouter(engine)
		return
	}
	os.Exit(m.Run())
}

func runRouter(engine string) {
	shutdown.SetDrainTimeout(time.Minute)
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	// The process ends without cleaning up, so a benchmark that never runs serves as the testing.TB.
	f := start(&testing.B{}, func(_ *caller.Options, e *modelengine.Config) { e.StepInterval = 400 * time.Millisecond })
	if engine != "own" {
		f.dispatcher.engines = []caller.Grant{{Backend: "other", Address: engine}}
	}
	fmt.Println(f.url)
	<-terminated
	// A second SIGTERM ends the process, as in the daemon. The library's kill is one.
	signal.Stop(terminated)
	fmt.Println(f.router.Drain(context.Background()))
}

// child starts a router in a process of its own.
func child(c *qt.C, engine string) (*exec.Cmd, *fleet, *bufio.Scanner) {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), childVariable+"="+engine)
	process.Stderr = os.Stderr
	out, err := process.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() { process.Process.Kill() })
	lines := bufio.NewScanner(out)
	c.Assert(lines.Scan(), qt.IsTrue)
	return process, &fleet{url: lines.Text()}, lines
}

// Guards against the library's own handling of SIGTERM, which kills the process after 5.5 s and would cut off a drain.
func TestDrainOutlastsLibrary(t *testing.T) {
	c := qt.New(t)
	process, f, lines := child(c, "own")
	answer := make(chan received)
	begin := time.Now()
	go func() { answer <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	eventually(func() bool {
		return strings.Contains(send(f.request("GET", "/metrics", "")).body, "hornbeam_caller_streams 1\n")
	})
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	got := <-answer
	c.Assert(got.done, qt.IsTrue)
	c.Assert(got.text, qt.Equals, wanted)
	c.Assert(time.Since(begin) > 5500*time.Millisecond, qt.IsTrue, qt.Commentf("the answer was too short to show anything"))
	c.Assert(lines.Scan(), qt.IsTrue)
	c.Assert(lines.Text(), qt.Equals, "<nil>")
	c.Assert(process.Wait(), qt.IsNil)
}
