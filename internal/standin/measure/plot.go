package measure

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// palette tells policies apart.
var palette = []color.RGBA{{31, 119, 180, 255}, {255, 127, 14, 255}, {44, 160, 44, 255}, {214, 39, 40, 255}, {148, 103, 189, 255}, {140, 86, 75, 255}}

// Plot writes an SVG of the times to the first token: for each policy, the
// share of answers that had theirs within a time.
func Plot(title, file string, results []*Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time to first token, modelled ms (log)"
	p.Y.Label.Text = "share of answers"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, r := range results {
		sorted := sortedCopy(r.firsts)
		pts := make(plotter.XYs, 0, len(sorted))
		for k, ms := range sorted {
			pts = append(pts, plotter.XY{X: max(ms, 1), Y: float64(k+1) / float64(len(sorted))})
		}
		if len(pts) == 0 {
			continue
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (computed %.0f%%)", r.Policy, 100*r.Computed), line)
	}
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, file)
}

// PlotSlope writes an SVG of one slope: its points and its line.
func PlotSlope(file string, s *Slope) error {
	p := plot.New()
	p.Title.Text = s.Figure
	p.X.Label.Text, p.Y.Label.Text = s.Over, s.Unit
	p.Y.Min = 0
	pts := make(plotter.XYs, len(s.X))
	for i := range s.X {
		pts[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	dots.Color = palette[0]
	line := plotter.NewFunction(func(x float64) float64 { return s.Base + s.Per*x })
	line.Color, line.XMin, line.XMax = palette[3], s.X[0], s.X[len(s.X)-1]
	p.Add(dots, line)
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}
