package balance

import (
	"math"
	"time"
)

// memory is the time in which the weight of a request in a rate falls to 1/e. Less would take a few requests that arrive together
// for a surge, and much more would miss one.
const memory = time.Second

// rate is a rate of events with weights that fall with their age. The zero value has seen none.
type rate struct {
	weight  float64
	counted time.Time
}

// perSecond returns the rate now.
func (r rate) perSecond(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-float64(now.Sub(r.counted))/float64(memory)) / memory.Seconds()
}

func (r *rate) count(now time.Time) {
	r.weight = r.perSecond(now)*memory.Seconds() + 1
	r.counted = now
}
