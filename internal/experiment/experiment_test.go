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

// TestGrid: what is there is not run again; another program, scenario, seed or variant is another run. Means and paired
// differences are those worked out by hand.
func TestGrid(t *testing.T) {
	p, err := Read([]byte(plan))
	if err != nil {
		t.Fatal(err)
	}
	runs := p.Grid(map[string]string{"a.toml": "h"}, "v1")
	var results []Result
	for i, r := range runs[:7] {
		// The seeds differ widely, the variants by 1, 2, 3: pairs see that, means don't.
		value := float64(r.Seed * 100)
		if i >= 4 {
			value += float64(r.Seed)
		}
		results = append(results, Result{Run: r, Figures: map[string]float64{"x": value}})
	}
	if remaining := Remaining(runs, results); len(runs) != 8 || len(remaining) != 1 || remaining[0].Seed != 4 || remaining[0].Variant.Name != "two" {
		t.Errorf("%+v", remaining)
	}
	for _, other := range [][]Run{p.Grid(map[string]string{"a.toml": "i"}, "v1"), p.Grid(map[string]string{"a.toml": "h"}, "v2")} {
		if remaining := Remaining(other, results); len(remaining) != 8 {
			t.Errorf("%d of 8 are left", len(remaining))
		}
		if rows := p.Rows(other, results); rows[0].Runs != 0 {
			t.Error("results of other runs count")
		}
	}
	rows := p.Rows(runs, results)
	// t(0.975; 3) = 3.1824 and t(0.975; 2) = 4.3027, from tables.
	mean, against := rows[0].Means["x"], rows[1].Against["x"]
	if rows[0].Runs != 4 || mean.Mean != 250 || math.Abs(mean.Half-3.1824*129.0994/2) > 0.01 || len(rows[0].Against) != 0 {
		t.Errorf("%+v", rows[0])
	}
	if rows[1].Runs != 3 || against.Mean != 2 || math.Abs(against.Half-4.3027/math.Sqrt(3)) > 0.001 {
		t.Errorf("%+v", rows[1])
	}
	if table := string(Table(p, rows, FigureNames(results))); !strings.Contains(table, "| two | 3 | 202 ±") || !strings.Contains(table, "+2 ± 2.5") {
		t.Error(table)
	}
}

// TestPlanErrors: a plan that makes no grid is rejected, and the key is named.
func TestPlanErrors(t *testing.T) {
	for want, change := range map[string][2]string{
		"seeds":          {"seeds = 4", "seeds = 1"},
		"scenarios":      {`["a.toml"]`, "[]"},
		"variant.1.name": {`"two"`, `"one"`},
		"base":           {`title = "t"`, `base = "three"`},
		"subsets":        {"subset = 3", "subsets = 3"},
		"nodes":          {"subset = 3", "nodes = -3"},
	} {
		if _, err := Read([]byte(strings.Replace(plan, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
