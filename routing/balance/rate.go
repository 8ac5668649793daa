package balance

import (
	"math"
	"time"
)

// memory is the default of rate.memory, the time in which the weight of a request in a rate falls to 1/e. Less would take a few requests that arrive together
// for a surge, and much more would miss one.
const memory = time.Second

// rate is a rate of events with weights that fall with their age. The zero value has seen none.
type rate struct {
	weight  float64
	counted time.Time
	// memory is the time in which the weight of an event falls to 1/e. Default 1 s.
	memory time.Duration
}

func (r rate) over() time.Duration {
	if r.memory > 0 {
		return r.memory
	}
	return memory
}

// perSecond returns the rate now.
func (r rate) perSecond(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-float64(now.Sub(r.counted))/float64(r.over())) / r.over().Seconds()
}

func (r *rate) count(now time.Time) {
	r.weight = r.perSecond(now)*r.over().Seconds() + 1
	r.counted = now
}
