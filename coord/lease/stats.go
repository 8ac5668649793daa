package lease

import "sync/atomic"

// Counters count what the holders that share them did. Their zero value is ready for use.
type Counters struct {
	// Writes of the record succeeded, Conflicts lost to another write, of Ambiguous ones the reply was lost, and Retries are writes
	// that were sent again after either.
	Writes, Conflicts, Ambiguous, Retries atomic.Int64
	// Expired, Paused and Lost are the checks of the lease that failed, by reason.
	Expired, Paused, Lost atomic.Int64
}
