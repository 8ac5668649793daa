package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/control"
)

// Guards against a wrong line or error in the prediction for the size to design for.
func TestLine(t *testing.T) {
	c := quicktest.New(t)
	f := control.Line([]float64{1, 2, 3}, []float64{3, 5, 7}, 10)
	c.Assert([]float64{f.Start, f.Slope, f.Value, f.Error}, quicktest.DeepEquals, []float64{1, 2, 21, 0})
	// By hand: residuals 1/6, -1/3, 1/6; sum of squares 1/6; 1 + 1/3 + 64/2 = 100/3.
	f = control.Line([]float64{1, 2, 3}, []float64{1, 1, 2}, 10)
	c.Assert(math.Abs(f.Error-math.Sqrt(100.0/18)) < 1e-9, quicktest.IsTrue)
}

// Guards against a measurement that does not run or leaves out the spread of changes.
func TestMeasurement(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "report.json")
	m := &control.Command{Sizes: []int{3}, Window: time.Second, Changes: 1, JSON: path}
	var out bytes.Buffer
	c.Assert(m.Write(context.Background(), &out), quicktest.IsNil)
	data, err := os.ReadFile(path)
	c.Assert(err, quicktest.IsNil)
	var r control.Report
	c.Assert(json.Unmarshal(data, &r), quicktest.IsNil)
	c.Assert(r.Sizes, quicktest.HasLen, 1)
	c.Assert(r.Sizes[0].Steady.Kinds["ping"] > 0, quicktest.IsTrue)
	c.Assert(r.Sizes[0].Whole > r.Sizes[0].Change, quicktest.IsTrue)
}

// Guards against a count that differs from run to run with the same seed, or that counts a fleet that does not form.
func TestVirtualCountIsStable(t *testing.T) {
	c := quicktest.New(t)
	count := func() string {
		var out bytes.Buffer
		v := &control.Virtual{Routers: 12, Settle: 20 * time.Second, Window: 10 * time.Second, Seed: 1}
		c.Assert(v.Write(&out), quicktest.IsNil)
		return out.String()
	}
	first := count()
	c.Assert(first, quicktest.Contains, "12 of 12 routers know all others")
	c.Assert(first, quicktest.Equals, count())
}
