// Command rig3 runs the cases of the review that are scripts. It starts the project's routers as separate
// processes, and stand-ins of the platform's store, the workers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// errBroken is returned by a case in which a rule was broken.
var errBroken = errors.New("the rule was broken")

// bed is what a case runs with.
type bed struct {
	// dir is the folder of the case, and temp a temporary one.
	dir, temp string
	// binary is the router that the deploy file builds.
	binary string
	// trouble is false if the case runs without the disruption.
	trouble bool
	log     *record
}

var cases = map[string]func(*bed) error{"deadly": runDeadly, "leave": runLeave, "torn": runTorn, "slow": runSlow}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER ROUTER")
		return couldNot
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer log.close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temp)
	} else {
		fmt.Println("logs in", temp)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		killStarted()
		os.RemoveAll(temp)
		os.Exit(couldNot)
	}()
	binary, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	b := &bed{dir: os.Args[2], temp: temp, binary: binary, trouble: os.Getenv("TROUBLE") != "0", log: log}
	log.say("case %s, trouble %t", os.Args[1], b.trouble)
	switch err := cases[os.Args[1]](b); {
	case err == nil:
		log.say("the rule held")
		return held
	case errors.Is(err, errBroken):
		log.say("%v", err)
		return broken
	default:
		log.say("the case could not run: %v", err)
		return couldNot
	}
}
