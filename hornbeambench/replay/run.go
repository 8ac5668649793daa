package replay

import (
	"time"

	"hornbeamstep.example/hornbeambench/trace"
)

// Run replays a trace with one placer. The result depends only on the arguments.
func Run(config FleetConfig, placer string, requests []trace.Request, faults []trace.Fault, seed uint64, surge Surge) Figures {
	f := newFleet(config, placer, seed)
	lastArrival := 0.0
	for _, req := range requests {
		lastArrival = max(lastArrival, req.At)
		if req.Turn > 1 {
			f.remainingTurns[req.Chat] = append(f.remainingTurns[req.Chat], req)
			continue
		}
		f.after(seconds(req.At), func() { f.startTurn(req, 0, 0) })
	}
	f.scheduleFaults(faults)
	// One hour after the last arrival, every call has ended by its send limit and timeouts, and
	// every chat has reached its last turn.
	deadline := seconds(lastArrival) + time.Hour
	f.runUntil(deadline)
	f.stats.sampleLoads()
	return f.stats.figures(surge)
}
