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

// Guards against a wrong fit, or a wrong standard error, of the prediction for the design size.
func TestFitLine(t *testing.T) {
	c := quicktest.New(t)
	f := control.FitLine([]float64{1, 2, 3}, []float64{3, 5, 7}, 10)
	c.Assert([]float64{f.Intercept, f.Slope, f.Prediction, f.StandardError}, quicktest.DeepEquals, []float64{1, 2, 21, 0})
	// Calculated by hand: residuals 1/6, -1/3, 1/6; sum of squares 1/6; 1 + 1/3 + 64/2 = 100/3.
	f = control.FitLine([]float64{1, 2, 3}, []float64{1, 1, 2}, 10)
	c.Assert(math.Abs(f.StandardError-math.Sqrt(100.0/18)) < 1e-9, quicktest.IsTrue)
}

// Guards against a measurement that fails, or that does not measure the distribution of
// configuration changes.
func TestMeasurement(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "report.json")
	command := &control.Command{Sizes: []int{3}, Window: time.Second, Changes: 1, JSON: path}
	var out bytes.Buffer
	c.Assert(command.Write(context.Background(), &out), quicktest.IsNil)
	data, err := os.ReadFile(path)
	c.Assert(err, quicktest.IsNil)
	var report control.Report
	c.Assert(json.Unmarshal(data, &report), quicktest.IsNil)
	c.Assert(report.Sizes, quicktest.HasLen, 1)
	c.Assert(report.Sizes[0].Steady.MethodBytesPerSecond["ping"] > 0, quicktest.IsTrue)
	c.Assert(report.Sizes[0].FullCopyBytes > report.Sizes[0].ChangeBytes, quicktest.IsTrue)
}

// Guards against a byte count that differs between runs with the same seed, or that comes from a
// fleet whose routers do not all discover each other.
func TestVirtualCountIsStable(t *testing.T) {
	c := quicktest.New(t)
	count := func() string {
		var out bytes.Buffer
		v := &control.TrafficSimulation{Routers: 12, Settle: 20 * time.Second, Window: 10 * time.Second, Seed: 1}
		c.Assert(v.Write(&out), quicktest.IsNil)
		return out.String()
	}
	first := count()
	c.Assert(first, quicktest.Contains, "12 of 12 routers know all others")
	c.Assert(first, quicktest.Equals, count())
}
