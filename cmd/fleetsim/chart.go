// SPDX-License-Identifier: Apache-2.0

package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fernrail/internal/experiment"
)

// The size of a chart, in inches.
const (
	chartInches  = 4
	inchesPerBar = 1.6
	minChartBars = 3 // minimum width of a chart, in bars
)

// meanBars has the mean and its interval of each variant.
type meanBars struct {
	plotter.XYs
	plotter.YErrors
}

// saveChart draws the share served in time of each variant of a scenario, with intervals.
func saveChart(path, scenario string, rows []experiment.Row) error {
	p := plot.New()
	p.Title.Text = scenario + " (emulated)"
	p.Y.Label.Text = "priority weight served in time, mean and 95% interval"
	var bars meanBars
	var names []string
	for _, row := range rows {
		if row.Scenario != scenario || row.Runs == 0 {
			continue
		}
		mean := row.Means[inTimeFigure]
		bars.XYs = append(bars.XYs, plotter.XY{X: float64(len(names)), Y: mean.Mean})
		bars.YErrors = append(bars.YErrors, struct{ Low, High float64 }{mean.Half, mean.Half})
		names = append(names, row.Variant)
	}
	points, err := plotter.NewScatter(bars.XYs)
	if err != nil {
		return err
	}
	whiskers, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return err
	}
	points.Shape = plotutil.Shape(3)
	points.Color = plotutil.Color(2)
	p.Add(plotter.NewGrid(), whiskers, points)
	p.NominalX(names...)
	width := vg.Length(max(len(names), minChartBars)) * inchesPerBar * vg.Inch
	return p.Save(width, chartInches*vg.Inch, path)
}
