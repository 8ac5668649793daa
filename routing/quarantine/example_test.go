package quarantine_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/quarantine"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tracker := quarantine.New(quarantine.Defaults())

	// Both requests were running when e1 crashed. As suspects they must not run on the same engine
	// at the same time.
	tracker.RecordCrash(now, quarantine.Crash{Engine: "e1", Boot: "7"}, []string{"f1", "f2"})
	fmt.Println(tracker.Start(now, "f1", "e2"), tracker.Start(now, "f2", "e2"))

	// A second crash with f1 running quarantines f1. f2 is still a suspect and may start on another
	// engine.
	tracker.RecordCrash(now, quarantine.Crash{Engine: "e2", Boot: "3"}, []string{"f1"})
	fmt.Println(tracker.State(now, "f1") == quarantine.Quarantined, tracker.Start(now, "f2", "e3"))
	// Output:
	// true false
	// true true
}
