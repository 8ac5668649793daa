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
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
	// groupWidth is the room of the bars that belong to one name.
	groupWidth = 1.4 * vg.Centimeter
)

// palette can be told apart by readers who do not see all colours.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
}

func hue(i int) color.Color { return palette[i%len(palette)] }

// series is a named list of values; in bar charts it has one for each name of the axis.
type series struct {
	name   string
	values []float64
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(3)
	p.Legend.XOffs = -vg.Points(10)
	p.Add(plotter.NewGrid())
	return p
}

// bars draws one group of bars for each name.
func bars(title, unit string, names []string, all []series) (*plot.Plot, error) {
	p := newPlot(title, "", unit)
	barWidth := groupWidth / vg.Length(len(all))
	highest := 0.0
	for i, s := range all {
		chart, err := plotter.NewBarChart(plotter.Values(s.values), barWidth)
		if err != nil {
			return nil, err
		}
		chart.Color = hue(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * (vg.Length(i) - vg.Length(len(all)-1)/2)
		p.Add(chart)
		if len(all) > 1 {
			p.Legend.Add(s.name, chart)
		}
		highest = max(highest, maximum(s.values))
		labels, err := valueLabels(s.values, chart.Offset)
		if err != nil {
			return nil, err
		}
		p.Add(labels)
	}
	p.Y.Min = 0
	// Room above the bars keeps the legend off them.
	p.Y.Max = highest * 1.25
	p.NominalX(names...)
	// Whole bars stay within the frame.
	p.X.Min, p.X.Max = -0.6, float64(len(names))-0.4
	if len(names) > 4 {
		p.X.Tick.Label.Rotation = math.Pi / 8
		p.X.Tick.Label.XAlign = draw.XRight
		p.X.Tick.Label.YAlign = draw.YTop
	}
	return p, nil
}

func maximum(values []float64) float64 {
	highest := 0.0
	for _, v := range values {
		highest = max(highest, v)
	}
	return highest
}

// valueLabels writes each value above its bar.
func valueLabels(values []float64, offset vg.Length) (*plotter.Labels, error) {
	points := plotter.XYLabels{}
	for i, v := range values {
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: v})
		points.Labels = append(points.Labels, short(v))
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

// short writes three digits that matter.
func short(v float64) string {
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

// lines draws values at equal steps.
func lines(title, x, y string, step float64, all []series) (*plot.Plot, error) {
	p := newPlot(title, x, y)
	highest := 0.0
	for i, s := range all {
		points := make(plotter.XYs, len(s.values))
		for j, v := range s.values {
			points[j] = plotter.XY{X: float64(j) * step, Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = hue(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
		highest = max(highest, maximum(s.values))
	}
	p.Y.Min = 0
	p.Y.Max = highest * 1.25
	return p, nil
}

// dot is a named point.
type dot struct {
	name string
	x, y float64
}

// dots draws named points, each in a colour and shape of its own. Their x is a share.
func dots(title, x, y string, all []dot) (*plot.Plot, error) {
	p := newPlot(title, x, y)
	shapes := []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{}, draw.RingGlyph{}, draw.BoxGlyph{}, draw.CrossGlyph{}}
	for i, d := range all {
		scatter, err := plotter.NewScatter(plotter.XYs{{X: d.x, Y: d.y}})
		if err != nil {
			return nil, err
		}
		scatter.Color = hue(i)
		scatter.Shape = shapes[i%len(shapes)]
		scatter.Radius = vg.Points(5)
		p.Add(scatter)
		p.Legend.Add(d.name, scatter)
	}
	p.X.Min, p.X.Max = 0, 1
	widen(&p.Y)
	// The legend takes room above all points.
	p.Y.Max += (p.Y.Max - p.Y.Min) * 0.8
	return p, nil
}

func widen(a *plot.Axis) {
	margin := max((a.Max-a.Min)*0.1, 0.01)
	a.Min -= margin
	a.Max += margin
}

// fit is the line y = base + slope*x.
type fit struct{ base, slope float64 }

// leastSquares fits a line; the slope is 0 if all x are equal.
func leastSquares(points plotter.XYs) fit {
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.X
		y += p.Y
		xx += p.X * p.X
		xy += p.X * p.Y
	}
	spread := n*xx - x*x
	if spread == 0 {
		return fit{base: y / n}
	}
	slope := (n*xy - x*y) / spread
	return fit{base: (y - slope*x) / n, slope: slope}
}

// fitted is a named set of points with its line.
type fitted struct {
	name   string
	points plotter.XYs
	line   fit
}

// fits draws sets of points with their fitted lines up to the size designed for, and the budget.
func fits(title, x, y string, until, budget float64, all []fitted) (*plot.Plot, error) {
	p := newPlot(title, x, y)
	for i, f := range all {
		scatter, err := plotter.NewScatter(f.points)
		if err != nil {
			return nil, err
		}
		scatter.Color = hue(i)
		scatter.Shape = draw.CircleGlyph{}
		scatter.Radius = vg.Points(4)
		line := straight(f.line, until, hue(i))
		p.Add(scatter, line)
		p.Legend.Add(f.name, scatter, line)
	}
	// The legend stays off the lines above the highest of them.
	limit := straight(fit{base: budget}, until, color.Gray{Y: 0x60})
	limit.Dashes = []vg.Length{vg.Points(6), vg.Points(3)}
	p.Add(limit)
	p.Legend.Add("budget", limit)
	p.X.Min, p.Y.Min = 0, 0
	p.Y.Max = max(p.Y.Max, budget) * 1.3
	return p, nil
}

func straight(f fit, until float64, c color.Color) *plotter.Line {
	// Two finite points cannot fail.
	line, _ := plotter.NewLine(plotter.XYs{{X: 0, Y: f.base}, {X: until, Y: f.base + f.slope*until}})
	line.Color = c
	line.Width = vg.Points(1.2)
	return line
}
