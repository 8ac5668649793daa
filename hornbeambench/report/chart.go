package report

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// barGroupWidth is the total width of the bars that belong to one name.
	barGroupWidth = 1.4 * vg.Centimeter
)

// seriesColors is the Okabe-Ito palette, which readers with color vision deficiency can
// distinguish.
var seriesColors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
}

func seriesColor(i int) color.Color { return seriesColors[i%len(seriesColors)] }

// series is a named list of values. In a bar chart, it has one value for each name on the x axis.
type series struct {
	name   string
	values []float64
}

func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(3)
	p.Legend.XOffs = -vg.Points(10)
	p.Add(plotter.NewGrid())
	return p
}

// barChart draws a group of bars for each name, with one bar for each series.
func barChart(title, unit string, names []string, allSeries []series) (*plot.Plot, error) {
	p := newPlot(title, "", unit)
	barWidth := barGroupWidth / vg.Length(len(allSeries))
	maxY := 0.0
	for i, s := range allSeries {
		chart, err := plotter.NewBarChart(plotter.Values(s.values), barWidth)
		if err != nil {
			return nil, err
		}
		chart.Color = seriesColor(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * (vg.Length(i) - vg.Length(len(allSeries)-1)/2)
		p.Add(chart)
		if len(allSeries) > 1 {
			p.Legend.Add(s.name, chart)
		}
		maxY = max(maxY, maxValue(s.values))
		labels, err := valueLabels(s.values, chart.Offset)
		if err != nil {
			return nil, err
		}
		p.Add(labels)
	}
	p.Y.Min = 0
	// The space above the bars keeps the legend from covering them.
	p.Y.Max = maxY * 1.25
	p.NominalX(names...)
	// The margin keeps the outermost bars within the frame.
	p.X.Min, p.X.Max = -0.6, float64(len(names))-0.4
	if len(names) > 4 {
		p.X.Tick.Label.Rotation = math.Pi / 8
		p.X.Tick.Label.XAlign = draw.XRight
		p.X.Tick.Label.YAlign = draw.YTop
	}
	return p, nil
}

func maxValue(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

// valueLabels returns labels that show each value above its bar.
func valueLabels(values []float64, offset vg.Length) (*plotter.Labels, error) {
	points := plotter.XYLabels{}
	for i, v := range values {
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: v})
		points.Labels = append(points.Labels, formatValue(v))
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return nil, err
	}
	labels.Offset = vg.Point{X: offset, Y: vg.Points(2)}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign = draw.XCenter
		labels.TextStyle[i].Font.Size = font.Length(7)
	}
	return labels, nil
}

// formatValue formats a value with about three significant digits.
func formatValue(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// lineChart draws each series as a line, with the values at equal steps of x.
func lineChart(title, xLabel, yLabel string, step float64, allSeries []series) (*plot.Plot, error) {
	p := newPlot(title, xLabel, yLabel)
	maxY := 0.0
	for i, s := range allSeries {
		points := make(plotter.XYs, len(s.values))
		for j, v := range s.values {
			points[j] = plotter.XY{X: float64(j) * step, Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = seriesColor(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
		maxY = max(maxY, maxValue(s.values))
	}
	p.Y.Min = 0
	p.Y.Max = maxY * 1.25
	return p, nil
}

type namedPoint struct {
	name string
	x, y float64
}

// scatterPlot draws each named point in its own color and shape. The x axis ranges from 0 to 1.
func scatterPlot(title, xLabel, yLabel string, points []namedPoint) (*plot.Plot, error) {
	p := newPlot(title, xLabel, yLabel)
	shapes := []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{}, draw.RingGlyph{}, draw.BoxGlyph{}, draw.CrossGlyph{}}
	for i, point := range points {
		scatter, err := plotter.NewScatter(plotter.XYs{{X: point.x, Y: point.y}})
		if err != nil {
			return nil, err
		}
		scatter.Color = seriesColor(i)
		scatter.Shape = shapes[i%len(shapes)]
		scatter.Radius = vg.Points(5)
		p.Add(scatter)
		p.Legend.Add(point.name, scatter)
	}
	p.X.Min, p.X.Max = 0, 1
	addMargin(&p.Y)
	// The space above all points is for the legend.
	p.Y.Max += (p.Y.Max - p.Y.Min) * 0.8
	return p, nil
}

func addMargin(axis *plot.Axis) {
	margin := max((axis.Max-axis.Min)*0.1, 0.01)
	axis.Min -= margin
	axis.Max += margin
}

// linearFit is the line y = intercept + slope*x.
type linearFit struct{ intercept, slope float64 }

// leastSquares fits a line by least squares. The slope is 0 if all x values are equal.
func leastSquares(points plotter.XYs) linearFit {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return linearFit{intercept: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return linearFit{intercept: (sumY - slope*sumX) / n, slope: slope}
}

// fittedSeries is a named set of points with the line fitted to them.
type fittedSeries struct {
	name   string
	points plotter.XYs
	fit    linearFit
}

// fitPlot draws each set of points with its fitted line, extended to maxX, and a dashed line at the
// budget.
func fitPlot(title, xLabel, yLabel string, maxX, budget float64, allSeries []fittedSeries) (*plot.Plot, error) {
	p := newPlot(title, xLabel, yLabel)
	for i, f := range allSeries {
		scatter, err := plotter.NewScatter(f.points)
		if err != nil {
			return nil, err
		}
		scatter.Color = seriesColor(i)
		scatter.Shape = draw.CircleGlyph{}
		scatter.Radius = vg.Points(4)
		line := newFitLine(f.fit, maxX, seriesColor(i))
		p.Add(scatter, line)
		p.Legend.Add(f.name, scatter, line)
	}
	budgetLine := newFitLine(linearFit{intercept: budget}, maxX, color.Gray{Y: 0x60})
	budgetLine.Dashes = []vg.Length{vg.Points(6), vg.Points(3)}
	p.Add(budgetLine)
	p.Legend.Add("budget", budgetLine)
	p.X.Min, p.Y.Min = 0, 0
	// The space above the highest line keeps the legend from covering the lines.
	p.Y.Max = max(p.Y.Max, budget) * 1.3
	return p, nil
}

func newFitLine(f linearFit, maxX float64, c color.Color) *plotter.Line {
	// NewLine fails only for values that are not finite, or for no points.
	line, _ := plotter.NewLine(plotter.XYs{{X: 0, Y: f.intercept}, {X: maxX, Y: f.intercept + f.slope*maxX}})
	line.Color = c
	line.Width = vg.Points(1.2)
	return line
}
