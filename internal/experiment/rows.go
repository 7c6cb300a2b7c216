// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the upper quantile of a two-sided 95% interval.
const upperQuantile = 0.975

// Interval is a mean with half the width of its 95% confidence interval, by Student's t-distribution.
type Interval struct{ Mean, Half float64 }

func newInterval(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, math.Inf(1)}
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}
	return Interval{mean, student.Quantile(upperQuantile) * deviation / math.Sqrt(float64(len(values)))}
}

// Row summarizes one variant in one scenario.
type Row struct {
	Scenario, Variant string
	Runs              int
	Means             map[string]Interval
	Against           map[string]Interval // differences to the base by common seeds; empty for the base
}

// cell identifies a row of the table.
type cell struct{ scenario, variant string }

// figuresBySeed has the figures of a row's runs by seed and name.
type figuresBySeed map[uint64]map[string]float64

// Rows summarizes the results of a grid and ignores results of other runs.
func (p *Plan) Rows(runs []Run, results []Result) (rows []Row) {
	figures := groupFigures(runs, results)
	for _, scenario := range p.Scenarios {
		base := figures[cell{scenario, p.Base}]
		for _, variant := range p.Variants {
			own := figures[cell{scenario, variant.Name}]
			if variant.Name == p.Base {
				rows = append(rows, p.newRow(scenario, variant.Name, own, nil))
				continue
			}
			rows = append(rows, p.newRow(scenario, variant.Name, own, base))
		}
	}
	return rows
}

func groupFigures(runs []Run, results []Result) map[cell]figuresBySeed {
	wanted := map[string]bool{}
	for i := range runs {
		wanted[runs[i].Key()] = true
	}
	figures := map[cell]figuresBySeed{}
	for i := range results {
		result := &results[i]
		if !wanted[result.Run.Key()] {
			continue
		}
		at := cell{result.Scenario, result.Variant.Name}
		if figures[at] == nil {
			figures[at] = figuresBySeed{}
		}
		figures[at][result.Seed] = result.Figures
	}
	return figures
}

// newRow summarizes a row's runs; base is nil for the base itself.
func (p *Plan) newRow(scenario, variant string, own, base figuresBySeed) Row {
	row := Row{Scenario: scenario, Variant: variant}
	values, differences := map[string][]float64{}, map[string][]float64{}
	for seed := uint64(1); seed <= p.Seeds; seed++ {
		if own[seed] == nil {
			continue
		}
		row.Runs++
		for name, value := range own[seed] {
			values[name] = append(values[name], value)
			if other, known := base[seed][name]; known {
				differences[name] = append(differences[name], value-other)
			}
		}
	}
	row.Means = intervals(values)
	row.Against = intervals(differences)
	return row
}

func intervals(values map[string][]float64) map[string]Interval {
	byName := map[string]Interval{}
	for name, samples := range values {
		byName[name] = newInterval(samples)
	}
	return byName
}
