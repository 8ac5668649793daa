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
	// designRouterCount is the number of routers that the design has to support.
	// controlBudgetBytesPerSecond is the control traffic that the design allows for each router.
	designRouterCount           = 340
	controlBudgetBytesPerSecond = 10_000
	goodputIntervalSeconds      = 10
)

// pageBuilder builds the sections of the page and writes their plots to outDir.
type pageBuilder struct {
	outDir   string
	document document
}

// savePlot writes a plot to the folder of the page and adds it to the section. err is the error
// from creating the plot; if it is not nil, savePlot returns it and writes nothing.
func (b *pageBuilder) savePlot(s *section, name string, p *plot.Plot, err error) error {
	if err != nil {
		return err
	}
	file := fileName(name) + ".png"
	if err := p.Save(plotWidth, plotHeight, filepath.Join(b.outDir, file)); err != nil {
		return err
	}
	s.Images = append(s.Images, image{File: file, Alt: p.Title.Text})
	return nil
}

var unsafeFileNameChars = regexp.MustCompile(`[^a-z0-9]+`)

func fileName(name string) string {
	return strings.Trim(unsafeFileNameChars.ReplaceAllString(strings.ToLower(name), "-"), "-")
}

func (b *pageBuilder) addSections(in inputs) error {
	type replayKey struct {
		scenario string
		seed     uint64
	}
	for _, g := range groupRuns(in.replays, func(r replayResult) replayKey { return replayKey{r.Scenario, r.Seed} }) {
		if err := b.addReplay(g); err != nil {
			return err
		}
	}
	type loadKey struct {
		seed uint64
		rate float64
	}
	for _, g := range groupRuns(in.loads, func(l loadResult) loadKey { return loadKey{l.Seed, l.Rate} }) {
		if err := b.addLoad(g); err != nil {
			return err
		}
	}
	if len(in.controls) == 0 {
		return nil
	}
	return b.addControlTraffic(in.controls)
}

// runLabel appends the side of the comparison, "before" or "after", to the name if there are
// several runs.
func runLabel[T any](name string, r run[T], runs []run[T]) string {
	if len(runs) == 1 {
		return name
	}
	return name + ", " + string(r.side)
}

// comparedPlacers returns the metrics of hornbeamstep's placer from each run, followed by those of
// the omniscient placer and the baselines from the last run.
func comparedPlacers(runs []run[replayResult]) []placerMetrics {
	var placers []placerMetrics
	for _, r := range runs {
		metrics := r.content.Project
		metrics.Placer = runLabel("hornbeamstep", r, runs)
		placers = append(placers, metrics)
	}
	last := runs[len(runs)-1].content
	placers = append(placers, last.Omniscient)
	return append(placers, last.Baselines...)
}

func (b *pageBuilder) addReplay(runs []run[replayResult]) error {
	last := runs[len(runs)-1].content
	s := section{
		Title: fmt.Sprintf("Replay of %s, seed %d", last.Scenario, last.Seed),
		Text:  verdictTexts(last.Verdicts),
		Table: &table{Head: []string{
			"placer", "reuse", "skew", "s above bound", "first token p95 ms", "answered", "refused", "interrupted", "unknown", "lost", "doubled", "crossed", "false not run",
		}},
	}
	var names []string
	var points []namedPoint
	reuse, skew := series{name: "reuse"}, series{name: "skew"}
	for _, metrics := range comparedPlacers(runs) {
		s.Table.addRow(metrics.Placer, metrics.CacheReuseRatio, metrics.LoadSkew, metrics.SecondsAboveBound, metrics.TimeToFirstToken.P95, metrics.Answered, metrics.Refused, metrics.Interrupted, metrics.Unknown, metrics.Lost, metrics.Doubled, metrics.Crossed, metrics.FalseNotRun)
		names = append(names, metrics.Placer)
		reuse.values = append(reuse.values, metrics.CacheReuseRatio)
		skew.values = append(skew.values, metrics.LoadSkew)
		points = append(points, namedPoint{metrics.Placer, metrics.CacheReuseRatio, metrics.LoadSkew})
	}
	prefix := fmt.Sprintf("replay-%s-%d", last.Scenario, last.Seed)
	p, err := scatterPlot("Reuse and skew by placer: "+last.Scenario, "cache reuse on returning chats (share)", "load skew (maximum over mean)", points)
	if err := b.savePlot(&s, prefix+"-both", p, err); err != nil {
		return err
	}
	p, err = barChart("Cache reuse by placer: "+last.Scenario, "share of earlier turns' tokens", names, []series{reuse})
	if err := b.savePlot(&s, prefix+"-reuse", p, err); err != nil {
		return err
	}
	p, err = barChart("Load skew by placer: "+last.Scenario, "maximum over mean load", names, []series{skew})
	if err := b.savePlot(&s, prefix+"-skew", p, err); err != nil {
		return err
	}
	if err := b.addGoodputPlot(&s, prefix, runs); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

func verdictTexts(verdicts []verdict) []string {
	var texts []string
	for _, v := range verdicts {
		label := "Holds"
		if !v.Met {
			label = "Falls short"
		}
		texts = append(texts, fmt.Sprintf("%s: %s: %s.", label, v.Requirement, v.Observed))
	}
	return texts
}

// addGoodputPlot adds a plot over time of the number of answers that begin within 2 s of the
// arrival of their request. If the scenario was also replayed without its surge and faults, the
// plot shows that run as well.
func (b *pageBuilder) addGoodputPlot(s *section, prefix string, runs []run[replayResult]) error {
	var allSeries []series
	for _, r := range runs {
		allSeries = appendGoodput(allSeries, runLabel("hornbeamstep", r, runs), r.content.Project)
	}
	if withoutTrigger := runs[len(runs)-1].content.WithoutTrigger; withoutTrigger != nil {
		allSeries = appendGoodput(allSeries, "without the trigger", *withoutTrigger)
	}
	if len(allSeries) == 0 {
		return nil
	}
	p, err := lineChart("Answers begun within 2 s, over time", "time (s)", "answers in each 10 s", goodputIntervalSeconds, allSeries)
	return b.savePlot(s, prefix+"-goodput", p, err)
}

func appendGoodput(allSeries []series, name string, metrics placerMetrics) []series {
	if len(metrics.GoodputCounts) == 0 {
		return allSeries
	}
	goodput := series{name: name}
	for _, count := range metrics.GoodputCounts {
		goodput.values = append(goodput.values, float64(count))
	}
	return append(allSeries, goodput)
}

func (b *pageBuilder) addLoad(runs []run[loadResult]) error {
	last := runs[len(runs)-1].content
	s := section{
		Title: fmt.Sprintf("Load of %s requests/s, seed %d", formatValue(last.Rate), last.Seed),
		Table: &table{Head: []string{"run", "callers", "first token p50 ms", "p95", "p99", "between tokens p50 ms", "p95", "p99", "whole p95 ms"}},
	}
	var names []string
	quantileSeries := []series{{name: "p50"}, {name: "p95"}, {name: "p99"}}
	for _, r := range runs {
		s.Text = append(s.Text, loadSummary(runLabel("Run", r, runs), r.content))
		for _, g := range r.content.Groups {
			s.Table.addRow(r.side, g.Label, g.TimeToFirstToken.P50, g.TimeToFirstToken.P95, g.TimeToFirstToken.P99, g.InterTokenLatency.P50, g.InterTokenLatency.P95, g.InterTokenLatency.P99, g.TotalLatency.P95)
			names = append(names, runLabel(g.Label, r, runs))
			for i, v := range []float64{g.TimeToFirstToken.P50, g.TimeToFirstToken.P95, g.TimeToFirstToken.P99} {
				quantileSeries[i].values = append(quantileSeries[i].values, v)
			}
		}
	}
	p, err := barChart("Time to first token by class", "milliseconds from the planned arrival", names, quantileSeries)
	if err := b.savePlot(&s, fmt.Sprintf("load-%d-%s-first", last.Seed, formatValue(last.Rate)), p, err); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

func loadSummary(name string, result loadResult) string {
	parts := []string{fmt.Sprintf("%s: %d requests sent in %s s, %d sent again", name, result.SentCount, formatValue(result.Seconds), result.RetryCount)}
	for _, c := range result.Outcomes {
		parts = append(parts, fmt.Sprintf("%d %s", c.Count, c.Name))
	}
	for _, c := range result.ErrorCodes {
		parts = append(parts, fmt.Sprintf("code %s %d times", c.Name, c.Count))
	}
	return strings.Join(parts, ", ") + "."
}

func (b *pageBuilder) addControlTraffic(runs []run[controlResult]) error {
	s := section{Title: "Control traffic", Table: &table{Head: []string{
		"run", "routers", "bytes/s", "% of a core", "MB", "bytes for a change", "s until in force",
	}}}
	var allSeries []fittedSeries
	for _, r := range runs {
		fitted := fittedSeries{name: controlRunLabel(r, runs)}
		for _, size := range r.content.Sizes {
			s.Table.addRow(fitted.name, size.RouterCount, size.SteadyState.BytesPerSecond, size.SteadyState.CorePercent, size.SteadyState.MemoryBytes/1e6, size.ChangeBytes, size.ActivationSeconds)
			fitted.points = append(fitted.points, plotter.XY{X: float64(size.RouterCount), Y: size.SteadyState.BytesPerSecond})
		}
		fitted.fit = leastSquares(fitted.points)
		s.Text = append(s.Text, fmt.Sprintf("%s: %s bytes/s and %s bytes/s for each further router; the line reaches %s bytes/s at %d routers, of %d allowed. The line is an extrapolation.",
			fitted.name, formatValue(fitted.fit.intercept), formatValue(fitted.fit.slope), formatValue(fitted.fit.intercept+fitted.fit.slope*designRouterCount), designRouterCount, controlBudgetBytesPerSecond))
		allSeries = append(allSeries, fitted)
	}
	p, err := fitPlot("Control traffic of a router against fleet size", "routers", "bytes per second", designRouterCount, controlBudgetBytesPerSecond, allSeries)
	if err := b.savePlot(&s, "control", p, err); err != nil {
		return err
	}
	b.document.Sections = append(b.document.Sections, s)
	return nil
}

// controlRunLabel describes the settings of a run, and its side if there are several runs.
func controlRunLabel(r run[controlResult], runs []run[controlResult]) string {
	name := "measured"
	if r.content.UniformPings {
		name += ", pings to any member"
	}
	if !r.content.TLS {
		name += ", without TLS"
	}
	return runLabel(name, r, runs)
}
