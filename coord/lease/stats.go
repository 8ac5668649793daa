package lease

import "sync/atomic"

// Counters counts the operations of the holders that share it. The zero value is ready to use.
type Counters struct {
	// Writes counts record writes that succeeded, Conflicts those rejected because of another
	// write, Ambiguous those whose reply was lost, and Retries the writes sent again after a
	// conflict or a lost reply.
	Writes, Conflicts, Ambiguous, Retries atomic.Int64
	// Expired, Paused and Lost count the failed calls of Holder.Valid by reason.
	Expired, Paused, Lost atomic.Int64
}
