// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"math"
	"strings"
	"testing"
)

const plan = `
title = "t"
scenarios = ["a.toml"]
seeds = 4
[[variant]]
name = "one"
[[variant]]
name = "two"
subset = 3
`

// TestGrid checks that runs with a result are not run again, that another program or scenario makes another
// run, and that means and paired differences are as computed by hand.
func TestGrid(t *testing.T) {
	p, err := Read([]byte(plan))
	if err != nil {
		t.Fatal(err)
	}
	runs := p.Grid(map[string]string{"a.toml": "h"}, "v1")
	var results []Result
	for i, r := range runs[:7] {
		// Results differ by 100 between seeds but by 1, 2, 3 between variants, which only paired differences
		// show.
		value := float64(r.Seed * 100)
		if i >= 4 {
			value += float64(r.Seed)
		}
		results = append(results, Result{Run: r, Figures: map[string]float64{"x": value}})
	}
	if remaining := Remaining(runs, results); len(runs) != 8 || len(remaining) != 1 ||
		remaining[0].Seed != 4 || remaining[0].Variant.Name != "two" {
		t.Errorf("%d runs: got remaining runs %+v, want 8 runs and seed 4 of two", len(runs), remaining)
	}
	for _, other := range [][]Run{p.Grid(map[string]string{"a.toml": "i"}, "v1"),
		p.Grid(map[string]string{"a.toml": "h"}, "v2")} {
		if remaining := Remaining(other, results); len(remaining) != 8 {
			t.Errorf("another scenario or program: got %d remaining runs, want 8", len(remaining))
		}
		if rows := p.Rows(other, results); rows[0].Runs != 0 {
			t.Errorf("another scenario or program: got %d runs in the first row, want 0", rows[0].Runs)
		}
	}
	rows := p.Rows(runs, results)
	// t(0.975; 3) = 3.1824 and t(0.975; 2) = 4.3027, from tables.
	mean, against := rows[0].Means["x"], rows[1].Against["x"]
	if rows[0].Runs != 4 || mean.Mean != 250 ||
		math.Abs(mean.Half-3.1824*129.0994/2) > 0.01 || len(rows[0].Against) != 0 {
		t.Errorf("base: got %+v, want 4 runs, a mean of 250 and no differences", rows[0])
	}
	if rows[1].Runs != 3 || against.Mean != 2 || math.Abs(against.Half-4.3027/math.Sqrt(3)) > 0.001 {
		t.Errorf("variant two: got %+v, want 3 runs and a difference of 2", rows[1])
	}
	if table := string(Table(p, rows, FigureNames(results))); !strings.Contains(table,
		"| two | 3 | 202 ±") || !strings.Contains(table, "+2 ± 2.5") {
		t.Errorf("table: got\n%s\nwant 3 runs of two with a mean of 202 and a difference of +2 ± 2.5", table)
	}
}

// TestPlanErrors checks that an invalid plan is rejected with the key in the error.
func TestPlanErrors(t *testing.T) {
	for want, change := range map[string][2]string{
		"seeds":          {"seeds = 4", "seeds = 1"},
		"scenarios":      {`["a.toml"]`, "[]"},
		"variant.1.name": {`"two"`, `"one"`},
		"base":           {`title = "t"`, `base = "three"`},
		"subsets":        {"subset = 3", "subsets = 3"},
		"nodes":          {"subset = 3", "nodes = -3"},
	} {
		if _, err := Read([]byte(strings.Replace(plan, change[0], change[1],
			1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with the key %s", err, want)
		}
	}
}
