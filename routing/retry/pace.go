package retry

// OutlierSettings configures the detection of slow and failing servers in a pool.
type OutlierSettings struct {
	// SlowFactor is the multiple of the median above which a response is slow.
	SlowFactor float64
	// MinResponses is the number of responses before any is reported as slow.
	MinResponses int
	// InitialStepFactor and StepFactor are the factors by which a response moves the estimated median: InitialStepFactor during
	// the first MinResponses responses, and StepFactor after them.
	InitialStepFactor, StepFactor float64
	// PoolFailureShare is the share of failed attempts in a pool from which on a failure is
	// attributed to the pool instead of the server.
	PoolFailureShare float64
}

// DefaultOutlierSettings returns the default settings. The load bound keeps the batch sizes of a pool's
// engines alike, so that a response at a third of the pool's usual speed points to a fault of its
// engine.
func DefaultOutlierSettings() OutlierSettings {
	return OutlierSettings{SlowFactor: 3, MinResponses: 20, InitialStepFactor: 1.1, StepFactor: 1.02, PoolFailureShare: 0.4}
}

// OutlierDetector estimates the median time between tokens of a pool's responses, which a few slow servers
// hardly change, and the share of attempts that fail. It is not safe for concurrent use.
type OutlierDetector struct {
	settings  OutlierSettings
	median    float64
	responses int
	// failureShare is the moving average of the share of attempts that failed.
	failureShare float64
}

// NewOutlierDetector returns an estimate without responses.
func NewOutlierDetector(s OutlierSettings) *OutlierDetector { return &OutlierDetector{settings: s} }

// RecordTokenGap records the mean time between the tokens of a response, in any unit, and reports
// whether it is far above the median.
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

// RecordAttempt records the outcome of an attempt, and reports whether it failed while most
// attempts in the pool do not. During an overload, attempts fail on all servers, and ejecting some
// of them would take capacity from the pool.
func (p *OutlierDetector) RecordAttempt(failed bool) bool {
	const weight = 1.0 / 32
	sample := 0.0
	if failed {
		sample = 1
	}
	p.failureShare += weight * (sample - p.failureShare)
	return failed && p.failureShare < p.settings.PoolFailureShare
}
