package retry

import "time"

// windowParts is the number of parts in which a Window counts; the oldest part leaves it as a whole.
const windowParts = 20

// Window allows retries as a share of the requests within a sliding time, plus a fixed number. Each router uses its part of a
// limit that holds for all. It is not safe for concurrent use.
type Window struct {
	// Length is the time over which requests and retries are counted.
	Length time.Duration
	// Share is the number of retries per request, and Extra the number allowed without any.
	Share, Extra float64

	parts [windowParts]windowPart
	// current is the number of the latest part since the zero time.
	current int64
}

type windowPart struct{ requests, retries int }

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.part(now).requests++ }

// Retry is true if a further attempt is allowed, and counts it.
func (w *Window) Retry(now time.Time) bool {
	p := w.part(now)
	requests, retries := 0, 0
	for _, part := range w.parts {
		requests += part.requests
		retries += part.retries
	}
	if float64(retries+1) > w.Share*float64(requests)+w.Extra {
		return false
	}
	p.retries++
	return true
}

// part returns the part of the present time after those that ended have been emptied.
func (w *Window) part(now time.Time) *windowPart {
	number := now.UnixNano() / int64(w.Length/windowParts)
	if number-w.current >= windowParts {
		w.parts = [windowParts]windowPart{}
		w.current = number
	}
	for ; w.current < number; w.current++ {
		w.parts[(w.current+1)%windowParts] = windowPart{}
	}
	return &w.parts[number%windowParts]
}
