package control

import "math"

// Fit is a straight line fitted by least squares, with a prediction of y at a given x.
type Fit struct {
	Intercept float64 `json:"start"`
	Slope     float64 `json:"slope"`
	// Prediction is the value of the line at the given x, and StandardError the standard error of a
	// single new observation there.
	Prediction    float64 `json:"value"`
	StandardError float64 `json:"error"`
}

// FitLine fits y as a linear function of x and predicts y at x = at. It needs at least three pairs
// of x and y.
func FitLine(x, y []float64, at float64) Fit {
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var sumXX, sumXY float64
	for i := range x {
		sumXX += (x[i] - meanX) * (x[i] - meanX)
		sumXY += (x[i] - meanX) * (y[i] - meanY)
	}
	f := Fit{Slope: sumXY / sumXX}
	f.Intercept = meanY - f.Slope*meanX
	f.Prediction = f.Intercept + f.Slope*at
	var squaredResiduals float64
	for i := range x {
		residual := y[i] - f.Intercept - f.Slope*x[i]
		squaredResiduals += residual * residual
	}
	f.StandardError = math.Sqrt(squaredResiduals / (n - 2) * (1 + 1/n + (at-meanX)*(at-meanX)/sumXX))
	return f
}
