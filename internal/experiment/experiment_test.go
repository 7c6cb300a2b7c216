// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"errors"
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

// TestGrid: what is there is not run again; another program, scenario, seed or variant is another run. Means and
// paired differences are those worked out by hand.
func TestGrid(t *testing.T) {
	p, err := ParsePlan([]byte(plan))
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
	remaining := Remaining(runs, results)
	if len(runs) != 8 || len(remaining) != 1 || remaining[0].Seed != 4 || remaining[0].Variant.Name != "two" {
		t.Errorf("%+v", remaining)
	}
	otherScenario := p.Grid(map[string]string{"a.toml": "i"}, "v1")
	otherProgram := p.Grid(map[string]string{"a.toml": "h"}, "v2")
	for _, other := range [][]Run{otherScenario, otherProgram} {
		if remaining := Remaining(other, results); len(remaining) != 8 {
			t.Errorf("%d of 8 are left", len(remaining))
		}
		if rows := p.Summarize(other, results); rows[0].Runs != 0 {
			t.Error("results of other runs count")
		}
	}
	rows := p.Summarize(runs, results)
	// t(0.975; 3) = 3.1824 and t(0.975; 2) = 4.3027, from tables.
	mean, against := rows[0].Means["x"], rows[1].Against["x"]
	if rows[0].Runs != 4 || mean.Mean != 250 || math.Abs(mean.Half-3.1824*129.0994/2) > 0.01 {
		t.Errorf("%+v", rows[0])
	}
	if len(rows[0].Against) != 0 {
		t.Errorf("the base differs from itself: %+v", rows[0])
	}
	if rows[1].Runs != 3 || against.Mean != 2 || math.Abs(against.Half-4.3027/math.Sqrt(3)) > 0.001 {
		t.Errorf("%+v", rows[1])
	}
	table := string(Table(p, rows, FigureNames(results)))
	if !strings.Contains(table, "| two | 3 | 202 ±") || !strings.Contains(table, "+2 ± 2.5") {
		t.Error(table)
	}
}

// TestPlanErrors: what makes no grid is an error that names the key.
func TestPlanErrors(t *testing.T) {
	for want, change := range map[string][2]string{
		"seeds":           {"seeds = 4", "seeds = 1"},
		"scenarios":       {`["a.toml"]`, "[]"},
		"variant.1.name":  {`"two"`, `"one"`},
		"base":            {`title = "t"`, `base = "three"`},
		"variant.1.nodes": {"subset = 3", "nodes = -3"},
	} {
		_, err := ParsePlan([]byte(strings.Replace(plan, change[0], change[1], 1)))
		var planError *PlanError
		if !errors.As(err, &planError) || planError.Key != want || !strings.HasPrefix(err.Error(), want+": ") {
			t.Errorf("%s: %v", want, err)
		}
	}
	_, err := ParsePlan([]byte(strings.Replace(plan, "subset = 3", "subsets = 3", 1)))
	if err == nil || !strings.Contains(err.Error(), "subsets") {
		t.Errorf("an unknown key: %v", err)
	}
}
