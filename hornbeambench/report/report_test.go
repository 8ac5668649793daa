package report

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/plot/plotter"
)

// Guards against a fitted line that misses points which lie on one line, and against a division by
// zero if all points are of the same fleet size.
func TestLeastSquares(t *testing.T) {
	line := leastSquares(plotter.XYs{{X: 0, Y: 5}, {X: 10, Y: 25}, {X: 20, Y: 45}})
	qt.Assert(t, line, qt.Equals, linearFit{intercept: 5, slope: 2})
	qt.Assert(t, leastSquares(plotter.XYs{{X: 6, Y: 4}, {X: 6, Y: 8}}), qt.Equals, linearFit{intercept: 6})
}

// Guards against a comparison of runs with different seeds, and against a group in which the run
// from after the change comes first.
func TestGroupComparesSameSeed(t *testing.T) {
	runs := []run[loadResult]{
		{side: After, content: loadResult{Seed: 1}},
		{side: After, content: loadResult{Seed: 2}},
		{side: Before, content: loadResult{Seed: 1}},
	}
	groups := groupRuns(runs, func(l loadResult) uint64 { return l.Seed })
	qt.Assert(t, groups, qt.HasLen, 2)
	qt.Assert(t, groups[0][0].side, qt.Equals, Before)
	qt.Assert(t, groups[0][1].side, qt.Equals, After)
	qt.Assert(t, groups[1], qt.HasLen, 1)
}

// Guards against a kind of input file whose plots cannot be drawn, and against names from the files
// that reach the HTML page without escaping.
func TestPage(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(folder, name)
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		return path
	}
	replay := file("replay.json", `{"scenario":"calm","seed":1,"project":{"placer":"hornbeamstep","reuse":0.7,"skew":1.5,"goodput":[1,2]},
		"omniscient":{"placer":"omniscient","reuse":0.8,"skew":1.4},"baselines":[{"placer":"<b>","reuse":0.1,"skew":2}]}`)
	load := file("load.json", `{"kind":"load","seed":1,"groups":[{"label":"urgent","first":{"p50":1,"p95":2,"p99":3}}]}`)
	control := file("control.json", `{"tls":true,"sizes":[{"routers":6,"steady":{"bytes":900}},{"routers":20,"steady":{"bytes":1100}}]}`)
	for format, page := range map[string]string{"html": "report.html", "markdown": "report.md"} {
		out := filepath.Join(folder, format)
		command := Command{Files: []string{replay, load, control}, Before: []string{replay}, Out: out, Format: format, Title: "t"}
		c.Assert(command.Run(), qt.IsNil)
		content, err := os.ReadFile(filepath.Join(out, page))
		c.Assert(err, qt.IsNil)
		c.Assert(string(content), qt.Contains, "hornbeamstep, before")
		images, err := filepath.Glob(filepath.Join(out, "*.png"))
		c.Assert(err, qt.IsNil)
		c.Assert(images, qt.HasLen, 6)
	}
	content, err := os.ReadFile(filepath.Join(folder, "html", "report.html"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(content), qt.Not(qt.Contains), "<b>")
}

// Guards against a report that ignores an input file of an unknown kind without an error.
func TestUnknownFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "other.json")
	qt.Assert(t, os.WriteFile(path, []byte(`{"kind":"other"}`), 0o600), qt.IsNil)
	var invalid *InputError
	qt.Assert(t, errors.As((&Command{Files: []string{path}, Out: t.TempDir()}).Run(), &invalid), qt.IsTrue)
}
