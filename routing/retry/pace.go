package retry

// PaceSettings govern the judgement of answers by their pace.
type PaceSettings struct {
	// Slow is how many times the median makes an answer slow.
	Slow float64
	// Known is the number of answers before any is judged.
	Known int
	// First and Later are the factors by which an answer moves the median, for the first Known answers and after them.
	First, Later float64
	// Failing is the share of a pool's attempts that fail above which a failure tells of the pool and not of its server.
	Failing float64
}

// DefaultPace returns the default settings. The load bound keeps the batches of a pool alike, so that an answer at a third of the
// pool's pace tells of its engine.
func DefaultPace() PaceSettings {
	return PaceSettings{Slow: 3, Known: 20, First: 1.1, Later: 1.02, Failing: 0.4}
}

// Pace estimates the median time between tokens of a pool's answers, which a few slow servers do not move. It is not safe for
// concurrent use.
type Pace struct {
	settings PaceSettings
	median   float64
	answers  int
	// failing is the share of the latest attempts that failed.
	failing float64
}

// NewPace returns an estimate without answers.
func NewPace(s PaceSettings) *Pace { return &Pace{settings: s} }

// Slow takes the mean time between the tokens of an answer, in any unit, and is true if it is far above the median.
func (p *Pace) Slow(gap float64) bool {
	if p.answers == 0 {
		p.median = gap
	}
	known := p.answers >= p.settings.Known
	slow := known && gap > p.settings.Slow*p.median
	step := p.settings.First
	if known {
		step = p.settings.Later
	}
	p.answers++
	switch {
	case gap > p.median:
		p.median *= step
	case gap < p.median:
		p.median /= step
	}
	return slow
}

// Outlier takes the end of an attempt, and is true if it failed while most of the pool's attempts do not. An overload makes the
// attempts of all servers fail; to eject servers then takes capacity from the others.
func (p *Pace) Outlier(failed bool) bool {
	const weight = 1.0 / 32
	now := 0.0
	if failed {
		now = 1
	}
	p.failing += weight * (now - p.failing)
	return failed && p.failing < p.settings.Failing
}
