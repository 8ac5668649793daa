package balance

import (
	"math"
	"time"
)

// defaultDecayTime is the default of rate.decayTime. A shorter time would mistake a few requests
// that arrive together for a surge, and a much longer one would miss a surge.
const defaultDecayTime = time.Second

// rate is an event rate in which the weight of an event decays exponentially with its age. The zero
// value has counted no events.
type rate struct {
	// weight is the sum of the weights of all events at updatedAt.
	weight    float64
	updatedAt time.Time
	// decayTime is the time in which the weight of an event falls to 1/e; 0 means defaultDecayTime.
	decayTime time.Duration
}

func (r rate) effectiveDecayTime() time.Duration {
	if r.decayTime > 0 {
		return r.decayTime
	}
	return defaultDecayTime
}

// perSecond returns the rate at the given time.
func (r rate) perSecond(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-float64(now.Sub(r.updatedAt))/float64(r.effectiveDecayTime())) / r.effectiveDecayTime().Seconds()
}

func (r *rate) count(now time.Time) {
	r.weight = r.perSecond(now)*r.effectiveDecayTime().Seconds() + 1
	r.updatedAt = now
}
