package report

import (
	"fmt"
	"path/filepath"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

const (
	// designRouters and designBytes are the fleet and the control budget of a router, in bytes per second, to design for.
	designRouters = 340
	designBytes   = 10_000
	goodputStep   = 10
)

// builder makes the sections and writes their plots.
type builder struct {
	folder   string
	document document
}

// save writes a plot beside the page.
func (b *builder) save(s *section, name string, p *plot.Plot, err error) error {
	if err != nil {
		return err
	}
	file := fileName(name) + ".png"
	if err := p.Save(width, height, filepath.Join(b.folder, file)); err != nil {
		return err
	}
	s.Images = append(s.Images, image{File: file, Alt: p.Title.Text})
	return nil
}

var unsafe = regexp.MustCompile(`[^a-z0-9]+`)

func fileName(name string) string {
	return strings.Trim(unsafe.ReplaceAllString(strings.ToLower(name), "-"), "-")
}

func (b *builder) build(in input) error {
	type replayKey struct {
		scenario string
		seed     uint64
	}
	for _, g := range group(in.replays, func(r wireReplay) replayKey { return replayKey{r.Scenario, r.Seed} }) {
		if err := b.replay(g); err != nil {
			return err
		}
	}
	type loadKey struct {
		seed uint64
		rate float64
	}
	for _, g := range group(in.loads, func(l wireLoad) loadKey { return loadKey{l.Seed, l.Rate} }) {
		if err := b.load(g); err != nil {
			return err
		}
	}
	if len(in.controls) == 0 {
		return nil
	}
	return b.control(in.controls)
}

// title names a run by its side only if there is something to compare.
func title[T any](name string, r run[T], runs []run[T]) string {
	if len(runs) == 1 {
		return name
	}
	return name + ", " + string(r.side)
}

// placers returns the figures to compare: this project's of each run, and the others of the last run.
func placers(runs []run[wireReplay]) []wireFigures {
	var all []wireFigures
	for _, r := range runs {
		f := r.content.Project
		f.Placer = title("hornbeamstep", r, runs)
		all = append(all, f)
	}
	last := runs[len(runs)-1].content
	all = append(all, last.Omniscient)
	return append(all, last.Baselines...)
}

func (b *builder) replay(runs []run[wireReplay]) error {
	last := runs[len(runs)-1].content
	s := section{
		Title: fmt.Sprintf("Replay of %s, seed %d", last.Scenario, last.Seed),
		Text:  verdicts(last.Verdicts),
		Table: &table{Head: []string{
			"placer", "reuse", "skew", "s above bound", "first token p95 ms", "answered", "refused", "interrupted", "unknown", "lost", "doubled", "crossed", "false not run",
		}},
	}
	var names []string
	var points []dot
	reuse, skew := series{name: "reuse"}, series{name: "skew"}
	for _, f := range placers(runs) {
		s.Table.row(f.Placer, f.Reuse, f.Skew, f.Above, f.First.P95, f.Answered, f.Refused, f.Interrupted, f.Unknown, f.Lost, f.Doubled, f.Crossed, f.FalseNotRun)
		names = append(names, f.Placer)
		reuse.values = append(reuse.values, f.Reuse)
		skew.values = append(skew.values, f.Skew)
		points = append(points, dot{f.Placer, f.Reuse, f.Skew})
	}
	prefix := fmt.Sprintf("replay-%s-%d", last.Scenario, last.Seed)
	p, err := dots("Reuse and skew by placer: "+last.Scenario, "cache reuse on returning chats (share)", "load skew (maximum over mean)", points)
	if err := b.save(&s, prefix+"-both", p, err); err != nil {
		return err
	}
	p, err = bars("Cache reuse by placer: "+last.Scenario, "share of earlier turns' tokens", names, []series{reuse})
	if err := b.save(&s, prefix+"-reuse", p, err); err != nil {
		return err
	}
	p, err = bars("Load skew by placer: "+last.Scenario, "maximum over mean load", names, []series{skew})
	if err := b.save(&s, prefix+"-skew", p, err); err != nil {
		return err
	}
	if err := b.goodput(&s, prefix, runs); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

func verdicts(all []wireVerdict) []string {
	var texts []string
	for _, v := range all {
		mark := "Holds"
		if !v.Held {
			mark = "Falls short"
		}
		texts = append(texts, fmt.Sprintf("%s: %s: %s.", mark, v.Outcome, v.Seen))
	}
	return texts
}

// goodput draws first tokens in time over the run, with the run without faults if there is one.
func (b *builder) goodput(s *section, prefix string, runs []run[wireReplay]) error {
	var all []series
	for _, r := range runs {
		all = appendGoodput(all, title("hornbeamstep", r, runs), r.content.Project)
	}
	if control := runs[len(runs)-1].content.Control; control != nil {
		all = appendGoodput(all, "without the trigger", *control)
	}
	if len(all) == 0 {
		return nil
	}
	p, err := lines("Answers begun within 2 s, over time", "time (s)", "answers in each 10 s", goodputStep, all)
	return b.save(s, prefix+"-goodput", p, err)
}

func appendGoodput(all []series, name string, f wireFigures) []series {
	if len(f.Goodput) == 0 {
		return all
	}
	one := series{name: name}
	for _, n := range f.Goodput {
		one.values = append(one.values, float64(n))
	}
	return append(all, one)
}

func (b *builder) load(runs []run[wireLoad]) error {
	last := runs[len(runs)-1].content
	s := section{
		Title: fmt.Sprintf("Load of %s requests/s, seed %d", short(last.Rate), last.Seed),
		Table: &table{Head: []string{"run", "callers", "first token p50 ms", "p95", "p99", "between tokens p50 ms", "p95", "p99", "whole p95 ms"}},
	}
	var names []string
	quantiles := []series{{name: "p50"}, {name: "p95"}, {name: "p99"}}
	for _, r := range runs {
		s.Text = append(s.Text, counted(title("Run", r, runs), r.content))
		for _, g := range r.content.Groups {
			s.Table.row(r.side, g.Label, g.First.P50, g.First.P95, g.First.P99, g.Between.P50, g.Between.P95, g.Between.P99, g.Total.P95)
			names = append(names, title(g.Label, r, runs))
			for i, v := range []float64{g.First.P50, g.First.P95, g.First.P99} {
				quantiles[i].values = append(quantiles[i].values, v)
			}
		}
	}
	p, err := bars("Time to first token by class", "milliseconds from the planned arrival", names, quantiles)
	if err := b.save(&s, fmt.Sprintf("load-%d-%s-first", last.Seed, short(last.Rate)), p, err); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

func counted(name string, l wireLoad) string {
	parts := []string{fmt.Sprintf("%s: %d requests sent in %s s, %d sent again", name, l.Sent, short(l.Seconds), l.Again)}
	for _, c := range l.Endings {
		parts = append(parts, fmt.Sprintf("%d %s", c.Count, c.Name))
	}
	for _, c := range l.Codes {
		parts = append(parts, fmt.Sprintf("code %s %d times", c.Name, c.Count))
	}
	return strings.Join(parts, ", ") + "."
}

func (b *builder) control(runs []run[wireControl]) error {
	s := section{Title: "Control traffic", Table: &table{Head: []string{
		"run", "routers", "bytes/s", "% of a core", "MB", "bytes for a change", "s until in force",
	}}}
	var all []fitted
	for _, r := range runs {
		f := fitted{name: controlName(r, runs)}
		for _, size := range r.content.Sizes {
			s.Table.row(f.name, size.Routers, size.Steady.Bytes, size.Steady.Core, size.Steady.Memory/1e6, size.Change, size.Force)
			f.points = append(f.points, plotter.XY{X: float64(size.Routers), Y: size.Steady.Bytes})
		}
		f.line = leastSquares(f.points)
		s.Text = append(s.Text, fmt.Sprintf("%s: %s bytes/s and %s bytes/s for each further router; the line reaches %s bytes/s at %d routers, of %d allowed. The line is an extrapolation.",
			f.name, short(f.line.base), short(f.line.slope), short(f.line.base+f.line.slope*designRouters), designRouters, designBytes))
		all = append(all, f)
	}
	p, err := fits("Control traffic of a router against fleet size", "routers", "bytes per second", designRouters, designBytes, all)
	if err := b.save(&s, "control", p, err); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

// controlName names a run by its side and what it compares.
func controlName(r run[wireControl], runs []run[wireControl]) string {
	name := "measured"
	if r.content.Uniform {
		name += ", pings to any member"
	}
	if !r.content.TLS {
		name += ", without TLS"
	}
	return title(name, r, runs)
}
