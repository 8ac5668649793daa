package trace_test

import (
	"os"

	"hornbeamstep.example/hornbeambench/trace"
)

func ExampleWrite() {
	_ = trace.Write(os.Stdout, []trace.Fault{{At: 60, Kind: trace.Crash, Target: "e3", DurationSeconds: 20}})
	// Output: {"at":60,"kind":"crash","target":"e3","for":20}
}
