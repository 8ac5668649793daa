package retry

import "time"

// windowBuckets is the number of time buckets of a WindowBudget. A bucket leaves the window as a
// whole.
const windowBuckets = 20

// WindowBudget limits retries to a share of the requests within a sliding time window, plus a fixed
// number. It knows only the requests of its own router: to limit the retries of all routers
// together, the caller divides Extra among them. It is not safe for concurrent use.
type WindowBudget struct {
	// Length is the length of the window.
	Length time.Duration
	// Share is the number of retries allowed per request in the window, and Extra the number
	// allowed in addition.
	Share, Extra float64

	buckets [windowBuckets]bucketCounts
	// current is the number of the latest bucket, counted from the Unix epoch.
	current int64
}

// bucketCounts holds the counts of one time bucket.
type bucketCounts struct{ requests, retries int }

// CountRequest counts the first attempt of a request.
func (w *WindowBudget) CountRequest(now time.Time) { w.bucket(now).requests++ }

// AllowRetry reports whether a retry is allowed and, if so, counts it.
func (w *WindowBudget) AllowRetry(now time.Time) bool {
	if !w.HasRoom(now) {
		return false
	}
	w.bucket(now).retries++
	return true
}

// HasRoom reports whether a retry is allowed, without counting it.
func (w *WindowBudget) HasRoom(now time.Time) bool {
	w.bucket(now)
	requests, retries := 0, 0
	for _, counts := range w.buckets {
		requests += counts.requests
		retries += counts.retries
	}
	return float64(retries+1) <= w.Share*float64(requests)+w.Extra
}

// bucket clears the buckets that have left the window and returns the bucket for the given time.
func (w *WindowBudget) bucket(now time.Time) *bucketCounts {
	number := now.UnixNano() / int64(w.Length/windowBuckets)
	if number-w.current >= windowBuckets {
		w.buckets = [windowBuckets]bucketCounts{}
		w.current = number
	}
	for ; w.current < number; w.current++ {
		w.buckets[(w.current+1)%windowBuckets] = bucketCounts{}
	}
	return &w.buckets[number%windowBuckets]
}
