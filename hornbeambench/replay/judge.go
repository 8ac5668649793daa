package replay

import (
	"fmt"
	"strings"
)

// Outcome is a stated requirement on the result of a scenario. The bounds come from the design page.
type Outcome struct {
	Name  string
	check func(Result) (held bool, seen string)
}

// sound returns the outcomes that hold in every scenario.
func sound() []Outcome {
	return []Outcome{
		none("no request that may not be repeated runs twice", func(f Figures) int { return f.Doubled }),
		none("no answer reaches another request", func(f Figures) int { return f.Crossed }),
		none("no request refused as not run has run", func(f Figures) int { return f.FalseNotRun }),
	}
}

func none(name string, count func(Figures) int) Outcome {
	return Outcome{name, func(r Result) (bool, string) {
		n := count(r.Project)
		return n == 0, fmt.Sprintf("%d of %d", n, r.Project.Calls)
	}}
}

func noneLost() Outcome {
	return none("every caller gets a final answer", func(f Figures) int { return f.Lost })
}

func allAnswered() Outcome {
	return none("every request is answered", func(f Figures) int { return f.Calls - f.Answered })
}

func nearOmniscient() Outcome {
	return Outcome{"reuse is at least 0.95 of the omniscient placer's", func(r Result) (bool, string) {
		return r.Project.Reuse >= 0.95*r.Omniscient.Reuse, fmt.Sprintf("%.4f against %.4f", r.Project.Reuse, r.Omniscient.Reuse)
	}}
}

func neverAbove() Outcome {
	return Outcome{"no time above the bound with its allowance of one request", func(r Result) (bool, string) {
		p, o := r.Project, r.Omniscient
		return p.Above == 0, fmt.Sprintf("%.2f s, of which %.2f s since a start on an engine; omniscient %.2f s", p.Above, p.Granted, o.Above)
	}}
}

func betterThanBaselines() Outcome {
	return Outcome{"more reuse and less skew than every other baseline", func(r Result) (bool, string) {
		var worse []string
		for _, b := range r.Baselines {
			if r.Project.Reuse <= b.Reuse {
				worse = append(worse, fmt.Sprintf("reuse %.4f against %.4f of %s", r.Project.Reuse, b.Reuse, b.Placer))
			}
			if r.Project.Skew >= b.Skew {
				worse = append(worse, fmt.Sprintf("skew %.3f against %.3f of %s", r.Project.Skew, b.Skew, b.Placer))
			}
		}
		if len(worse) > 0 {
			return false, strings.Join(worse, "; ")
		}
		return true, fmt.Sprintf("reuse %.4f, skew %.3f", r.Project.Reuse, r.Project.Skew)
	}}
}

func othersUnmoved() Outcome {
	return Outcome{"the surge moves the others' 95th percentile wait by at most 10%", func(r Result) (bool, string) {
		a, b := r.Project.Others.P95, r.Control.Others.P95
		c, d := r.Project.OthersWait.P95, r.Control.OthersWait.P95
		seen := fmt.Sprintf("first token %.1f ms against %.1f ms, engine reached %.1f ms against %.1f ms", a, b, c, d)
		return a <= 1.1*b && c <= 1.1*d, seen
	}}
}

func twoEngines() Outcome {
	return Outcome{"at most two engines are lost to one request", func(r Result) (bool, string) {
		return r.Project.Worst <= 2, fmt.Sprintf("%d, and %d to all such requests", r.Project.Worst, r.Project.Crashes)
	}}
}

func noneGivenUp() Outcome {
	return none("no caller gives an attempt up for want of a token", func(f Figures) int { return f.GivenUp })
}

func oneOwner() Outcome {
	return none("every engine has one owner among the routers that reach it, 10 s after each change", func(f Figures) int { return f.Stray })
}

// recovers compares the goodput from a given interval of 10 s on, up to the last 30 s, with that of the control run.
func recovers(from int) Outcome {
	return Outcome{"goodput returns after the trigger without help", func(r Result) (bool, string) {
		got, want := 0, 0
		n := min(len(r.Project.Goodput), len(r.Control.Goodput)) - 3
		for i := from; i < n; i++ {
			got += r.Project.Goodput[i]
			want += r.Control.Goodput[i]
		}
		return want > 0 && float64(got) >= 0.95*float64(want), fmt.Sprintf("%d first tokens within 2 s against %d", got, want)
	}}
}
