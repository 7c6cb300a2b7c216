// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"bytes"
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is that of Student's t for an interval of 95%.
const upperQuantile = 0.975

// Interval is a mean with its half width at 95%, by Student's t.
type Interval struct{ Mean, Half float64 }

// Row is the summary of one variant in one scenario.
type Row struct {
	Scenario, Variant string
	Runs              int
	Means             map[string]Interval // by figure
	Against           map[string]Interval // differences to the base, by seeds that both were run with; empty for the base
}

// figuresBySeed are the figures of one cell of the grid.
type figuresBySeed map[uint64]map[string]float64

// cell is a variant in a scenario.
type cell struct{ scenario, variant string }

// Summarize returns a row for each scenario and variant. Results of runs outside the grid do not count.
func (p *Plan) Summarize(runs []Run, results []Result) (rows []Row) {
	figures := figuresByCell(runs, results)
	for _, scenario := range p.Scenarios {
		base := figures[cell{scenario, p.Base}]
		for _, variant := range p.Variants {
			own := figures[cell{scenario, variant.Name}]
			if variant.Name == p.Base {
				rows = append(rows, p.summarizeCell(cell{scenario, variant.Name}, own, nil))
			} else {
				rows = append(rows, p.summarizeCell(cell{scenario, variant.Name}, own, base))
			}
		}
	}
	return rows
}

// figuresByCell sorts the results of the runs by cell.
func figuresByCell(runs []Run, results []Result) map[cell]figuresBySeed {
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
		c := cell{result.Scenario, result.Variant.Name}
		if figures[c] == nil {
			figures[c] = figuresBySeed{}
		}
		figures[c][result.Seed] = result.Figures
	}
	return figures
}

// summarizeCell sums up the figures of a cell, and their differences to those of the base.
func (p *Plan) summarizeCell(c cell, own, base figuresBySeed) Row {
	runs := 0
	values, differences := map[string][]float64{}, map[string][]float64{}
	for seed := uint64(1); seed <= p.Seeds; seed++ {
		if own[seed] == nil {
			continue
		}
		runs++
		for name, value := range own[seed] {
			values[name] = append(values[name], value)
			if other, found := base[seed][name]; found {
				differences[name] = append(differences[name], value-other)
			}
		}
	}
	return Row{
		Scenario: c.scenario,
		Variant:  c.variant,
		Runs:     runs,
		Means:    intervals(values),
		Against:  intervals(differences),
	}
}

// intervals returns the interval of each figure's values.
func intervals(values map[string][]float64) map[string]Interval {
	byName := map[string]Interval{}
	for name, of := range values {
		byName[name] = newInterval(of)
	}
	return byName
}

func newInterval(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{Mean: mean, Half: math.Inf(1)}
	}
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperQuantile)
	return Interval{Mean: mean, Half: t * deviation / math.Sqrt(n)}
}

// Table writes rows as Markdown, with these figures as columns.
func Table(p *Plan, rows []Row, figures []string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "# %s\n\nEmulated. Means over seeds with 95%% intervals; "+
		"differences to \"%s\" by pairs of runs with the same seed.\n", p.Title, p.Base)
	for _, scenario := range p.Scenarios {
		writeHeader(&out, scenario, figures)
		for i := range rows {
			if rows[i].Scenario == scenario {
				writeRow(&out, &rows[i], figures)
			}
		}
	}
	return out.Bytes()
}

func writeHeader(out *bytes.Buffer, scenario string, figures []string) {
	fmt.Fprintf(out, "\n## %s\n\n| variant | runs |", scenario)
	for _, name := range figures {
		fmt.Fprintf(out, " %s | against |", name)
	}
	fmt.Fprintf(out, "\n| --- | --- |%s\n", strings.Repeat(" --- | --- |", len(figures)))
}

func writeRow(out *bytes.Buffer, row *Row, figures []string) {
	fmt.Fprintf(out, "| %s | %d |", row.Variant, row.Runs)
	for _, name := range figures {
		against := "-"
		if difference, found := row.Against[name]; found {
			against = fmt.Sprintf("%+.4g ± %.2g", difference.Mean, difference.Half)
		}
		mean := row.Means[name]
		fmt.Fprintf(out, " %.5g ± %.2g | %s |", mean.Mean, mean.Half, against)
	}
	fmt.Fprintln(out)
}
