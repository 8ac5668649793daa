package control

import "math"

// Fit is a straight line by least squares and its value at a point.
type Fit struct {
	Start float64 `json:"start"`
	Slope float64 `json:"slope"`
	// Value is the line at the point, Error the standard error of a single prediction there.
	Value float64 `json:"value"`
	Error float64 `json:"error"`
}

// Line fits y over x and predicts the value at a point. It needs at least three points.
func Line(x, y []float64, at float64) Fit {
	n := float64(len(x))
	var sx, sy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
	}
	mx, my := sx/n, sy/n
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	f := Fit{Slope: sxy / sxx}
	f.Start = my - f.Slope*mx
	f.Value = f.Start + f.Slope*at
	var rest float64
	for i := range x {
		d := y[i] - f.Start - f.Slope*x[i]
		rest += d * d
	}
	f.Error = math.Sqrt(rest / (n - 2) * (1 + 1/n + (at-mx)*(at-mx)/sxx))
	return f
}
