package loadtest

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a plot of the busiest engine's work and the mean work over time to a file.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "work units"
	peak := make(plotter.XYs, 0, len(r.points))
	mean := make(plotter.XYs, 0, len(r.points))
	for _, pt := range r.points {
		x := pt.at.Sub(r.start).Seconds()
		peak = append(peak, plotter.XY{X: x, Y: float64(pt.peak)})
		mean = append(mean, plotter.XY{X: x, Y: pt.mean})
	}
	if err := plotutil.AddLines(p, "busiest engine", peak, "mean", mean); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
