// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernrail/internal/experiment"
)

// TestExperiment: an experiment that was cut off in the middle of a line goes on where it stopped, and gives the same table as one
// that was not, whatever the number of runs at a time.
func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	scenario, err := os.ReadFile("../../example/scenarios/troubles.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	file("s.toml", string(scenario))
	plan := file("e.toml", "title = \"x\"\nscenarios = [\"s.toml\"]\nseeds = 2\n[[variant]]\nname = \"m\"\n[[variant]]\nname = \"l\"\npolicy = \"least\"\nnodes = 9\n")
	play := func(out string, jobs int) (said, table string) {
		t.Helper()
		var b bytes.Buffer
		c := experimentCommand{Plan: plan, Out: filepath.Join(dir, out), Jobs: jobs, Figures: []string{"in time", "postings"}}
		c.run(&b) // what least in flight breaks is not the matter here
		text, err := os.ReadFile(filepath.Join(c.Out, "table.md"))
		if err != nil {
			t.Fatal(err)
		}
		chart, err := os.ReadFile(filepath.Join(c.Out, "s.toml.svg"))
		if err != nil || !bytes.Contains(chart, []byte("<svg")) {
			t.Errorf("no chart: %v", err)
		}
		return b.String(), string(text)
	}
	_, whole := play("a", 1)
	if _, other := play("b", 4); other != whole || !strings.Contains(whole, "| l | 2 |") {
		t.Errorf("%s\n%s", whole, other)
	}
	// Nine nodes for four, each with connections of its own.
	if one, nine := withNodes(t, dir, 0), withNodes(t, dir, 9); nine["held"] <= one["held"] {
		t.Errorf("%v connections at %v by default", nine["held"], one["held"])
	}
	runs := filepath.Join(dir, "a", "runs.jsonl")
	text, err := os.ReadFile(runs)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(runs, text[:len(text)-20], 0o600)
	// Danger: a version that is not known makes all programs one.
	if program, err := programVersion(); err != nil || len(program) < 16 || !strings.Contains(string(text), program) {
		t.Errorf("%q, %v", program, err)
	}
	if said, again := play("a", 2); again != whole || !strings.Contains(said, "4 runs, 1 of them to be played") {
		t.Errorf("%s\n%s", said, again)
	}
	file("e.toml", "title = \"x\"\nscenarios = [\"s.toml\"]\nseeds = 2\n[[variant]]\nname = \"m\"\nsubset = 9999\n")
	if err := (&experimentCommand{Plan: plan, Out: filepath.Join(dir, "c")}).run(io.Discard); err == nil || !strings.Contains(err.Error(), "variant m") {
		t.Errorf("a variant that can't be: %v", err)
	}
}

// withNodes is what one run of the scenario with so many nodes comes to.
func withNodes(t *testing.T, dir string, nodes int) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := playRun(map[string][]byte{"s": text}, &experiment.Run{Scenario: "s", Seed: 1, Variant: experiment.Variant{Name: "x", Policy: "random", Nodes: nodes}})
	if err != nil {
		t.Fatal(err)
	}
	return r.Figures
}
