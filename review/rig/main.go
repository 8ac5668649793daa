// Command rig plays the cases of the review that are scripts: it starts routers of the project as
// processes, with stand-ins of the platform's store, of backend servers and of clients in this
// process, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the router's program, as the deploy file builds it.
var program = "target/hornbeamd"

var (
	recordMu   sync.Mutex
	record     *os.File
	begin      = time.Now()
	tempFolder string
)

// note writes a line to the record.
func note(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, arguments...))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func finish(code int) {
	endAll()
	_ = os.RemoveAll(tempFolder)
	os.Exit(code)
}

func cannotRun(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	fmt.Println("the case couldn't run:", text)
	note("the case couldn't run: %s", text)
	finish(exitNotRun)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	if program, err = filepath.Abs(program); err == nil {
		_, err = os.Stat(program)
	}
	if err == nil {
		tempFolder, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		cannotRun("ended by a signal")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(bool) bool{"memory": memoryCase, "timeout": timeoutCase, "stray": strayCase}
	play, known := cases[os.Args[1]]
	if !known {
		cannotRun("unknown case %q", os.Args[1])
	}
	// No case lasts longer.
	time.AfterFunc(110*time.Second, func() { cannotRun("it took too long") })
	broken := play(trouble)
	for _, s := range requests.all() {
		note("sent %s %s to %s at %.3f, kept channel %t: status %d, %s", s.kind, s.attempt, s.router, s.at.Sub(begin).Seconds(), s.kept, s.status, s.how)
	}
	for _, list := range runs.of() {
		for _, r := range list {
			note("run %s at worker %s at %.3f, body %d bytes, Deadline-Ms %q: %s", r.attempt, r.worker, r.at.Sub(begin).Seconds(), r.bytes, r.budget, r.ended)
		}
	}
	if broken {
		finish(exitBroken)
	}
	finish(exitHeld)
}

// report prints a line and writes it to the record.
func report(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	note(format, arguments...)
}
