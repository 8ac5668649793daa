package retry

// OutlierSettings configures the detection of slow and failing servers in a pool.
type OutlierSettings struct {
	// SlowFactor is the multiple of the median above which a response is slow.
	SlowFactor float64
	// MinResponses is the number of responses before any is reported as slow.
	MinResponses int
	// InitialStepFactor is the factor by which each of the first MinResponses responses moves the
	// estimated median up or down, and StepFactor the factor for later responses.
	InitialStepFactor, StepFactor float64
	// PoolFailureShare is the share of failed attempts in a pool at which failures start to be
	// attributed to the pool instead of the server.
	PoolFailureShare float64
}

// DefaultOutlierSettings returns the default settings. Bounded-load balancing keeps the batch sizes
// of a pool's engines similar, so that a response at a third of the pool's usual speed points to a
// fault of its engine.
func DefaultOutlierSettings() OutlierSettings {
	return OutlierSettings{SlowFactor: 3, MinResponses: 20, InitialStepFactor: 1.1, StepFactor: 1.02, PoolFailureShare: 0.4}
}

// OutlierDetector detects slow responses and failures that point to a fault of a single server of a
// pool. It compares them with the estimated median time between tokens and with the share of failed
// attempts in the pool. A few slow servers hardly change the median. It is not safe for concurrent
// use.
type OutlierDetector struct {
	settings OutlierSettings
	// median is the estimated median time between tokens.
	median    float64
	responses int
	// failureShare is the moving average of the share of attempts that failed.
	failureShare float64
}

// NewOutlierDetector returns a detector without responses.
func NewOutlierDetector(s OutlierSettings) *OutlierDetector { return &OutlierDetector{settings: s} }

// RecordTokenGap records the mean time between the tokens of a response, in any unit, and reports
// whether it is above SlowFactor times the median. It reports false for the first MinResponses
// responses.
func (p *OutlierDetector) RecordTokenGap(gap float64) bool {
	if p.responses == 0 {
		p.median = gap
	}
	enough := p.responses >= p.settings.MinResponses
	slow := enough && gap > p.settings.SlowFactor*p.median
	step := p.settings.InitialStepFactor
	if enough {
		step = p.settings.StepFactor
	}
	p.responses++
	switch {
	case gap > p.median:
		p.median *= step
	case gap < p.median:
		p.median /= step
	}
	return slow
}

// RecordAttempt records the outcome of an attempt, and reports whether it failed while the share of
// failed attempts in the pool is below PoolFailureShare. During an overload, attempts fail on all
// servers, and ejecting some of them would take capacity from the pool.
func (p *OutlierDetector) RecordAttempt(failed bool) bool {
	// weight is the weight of the latest attempt in the moving average.
	const weight = 1.0 / 32
	sample := 0.0
	if failed {
		sample = 1
	}
	p.failureShare += weight * (sample - p.failureShare)
	return failed && p.failureShare < p.settings.PoolFailureShare
}
