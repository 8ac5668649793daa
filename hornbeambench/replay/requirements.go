package replay

import (
	"fmt"
	"strings"
)

// Requirement is a requirement on the result of a scenario. The limits come from docs/design.md.
type Requirement struct {
	Name string
	// check returns whether the result meets the requirement, and the measured values as text.
	check func(Result) (passed bool, measured string)
}

// safetyRequirements returns the requirements that must hold in every scenario.
func safetyRequirements() []Requirement {
	return []Requirement{
		zeroCount("no request that may not be repeated runs twice", func(f Figures) int { return f.DuplicateRuns }),
		zeroCount("no answer reaches another request", func(f Figures) int { return f.MisdeliveredAnswers }),
		zeroCount("no request refused as not run has run", func(f Figures) int { return f.FalseNotRun }),
	}
}

// zeroCount returns the requirement that a count of the project's figures is 0.
func zeroCount(name string, counter func(Figures) int) Requirement {
	return Requirement{name, func(r Result) (bool, string) {
		count := counter(r.Project)
		return count == 0, fmt.Sprintf("%d of %d", count, r.Project.Calls)
	}}
}

func noCallLost() Requirement {
	return zeroCount("every caller gets a final answer", func(f Figures) int { return f.Lost })
}

func allAnswered() Requirement {
	return zeroCount("every request is answered", func(f Figures) int { return f.Calls - f.Answered })
}

func reuseNearOmniscient() Requirement {
	return Requirement{"reuse is at least 0.95 of the omniscient placer's", func(r Result) (bool, string) {
		return r.Project.ReuseRatio >= 0.95*r.Omniscient.ReuseRatio, fmt.Sprintf("%.4f against %.4f", r.Project.ReuseRatio, r.Omniscient.ReuseRatio)
	}}
}

// neverAboveBound requires that no engine is above the load bound (see Figures.AboveBoundSeconds).
func neverAboveBound() Requirement {
	return Requirement{"no time above the bound with its allowance of one request", func(r Result) (bool, string) {
		project, omniscient := r.Project, r.Omniscient
		return project.AboveBoundSeconds == 0, fmt.Sprintf("%.2f s, of which %.2f s since a start on an engine; omniscient %.2f s", project.AboveBoundSeconds, project.AboveBoundSinceRiseSeconds, omniscient.AboveBoundSeconds)
	}}
}

func betterThanBaselines() Requirement {
	return Requirement{"more reuse and less skew than every other baseline", func(r Result) (bool, string) {
		var worse []string
		for _, b := range r.Baselines {
			if r.Project.ReuseRatio <= b.ReuseRatio {
				worse = append(worse, fmt.Sprintf("reuse %.4f against %.4f of %s", r.Project.ReuseRatio, b.ReuseRatio, b.Placer))
			}
			if r.Project.LoadSkew >= b.LoadSkew {
				worse = append(worse, fmt.Sprintf("skew %.3f against %.3f of %s", r.Project.LoadSkew, b.LoadSkew, b.Placer))
			}
		}
		if len(worse) > 0 {
			return false, strings.Join(worse, "; ")
		}
		return true, fmt.Sprintf("reuse %.4f, skew %.3f", r.Project.ReuseRatio, r.Project.LoadSkew)
	}}
}

// otherAccountsUnaffected compares the requests of the accounts that do not surge with those of the
// control run, which has no surge.
func otherAccountsUnaffected() Requirement {
	return Requirement{"the surge moves the others' 95th percentile wait by at most 10%", func(r Result) (bool, string) {
		ttft, controlTTFT := r.Project.OthersTTFT.P95, r.Control.OthersTTFT.P95
		wait, controlWait := r.Project.OthersWait.P95, r.Control.OthersWait.P95
		measured := fmt.Sprintf("first token %.1f ms against %.1f ms, engine reached %.1f ms against %.1f ms", ttft, controlTTFT, wait, controlWait)
		return ttft <= 1.1*controlTTFT && wait <= 1.1*controlWait, measured
	}}
}

func atMostTwoEnginesLost() Requirement {
	return Requirement{"at most two engines are lost to one request", func(r Result) (bool, string) {
		return r.Project.MaxPoisonCrashes <= 2, fmt.Sprintf("%d, and %d to all such requests", r.Project.MaxPoisonCrashes, r.Project.PoisonCrashes)
	}}
}

func noCallerTimeout() Requirement {
	return zeroCount("no caller gives an attempt up for want of a token", func(f Figures) int { return f.CallerTimeouts })
}

func oneOwnerPerEngine() Requirement {
	return zeroCount("every engine has one owner among the routers that reach it, 10 s after each change", func(f Figures) int { return f.OwnershipErrors })
}

// goodputRecovers requires at least 95% of the goodput of the control run. It compares the
// 10-second intervals from the given one up to 30 s before the end.
func goodputRecovers(firstInterval int) Requirement {
	return Requirement{"goodput returns after the trigger without help", func(r Result) (bool, string) {
		goodput, controlGoodput := 0, 0
		end := min(len(r.Project.Goodput), len(r.Control.Goodput)) - 3
		for i := firstInterval; i < end; i++ {
			goodput += r.Project.Goodput[i]
			controlGoodput += r.Control.Goodput[i]
		}
		return controlGoodput > 0 && float64(goodput) >= 0.95*float64(controlGoodput), fmt.Sprintf("%d first tokens within 2 s against %d", goodput, controlGoodput)
	}}
}
