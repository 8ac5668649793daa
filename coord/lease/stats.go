package lease

import "sync/atomic"

// Counters counts the operations of the holders that share it. The zero value is ready to use.
type Counters struct {
	// Writes counts the record writes that the object API confirmed, Conflicts those that it
	// rejected because the version had changed, and Ambiguous those whose reply was lost. Retries
	// counts the writes that were sent again after a conflict or a lost reply. A write that is found
	// to have taken effect after its reply was lost is not counted in Writes.
	Writes, Conflicts, Ambiguous, Retries atomic.Int64
	// Expired, Paused and Lost count the failed calls of Holder.Valid by reason.
	Expired, Paused, Lost atomic.Int64
}
