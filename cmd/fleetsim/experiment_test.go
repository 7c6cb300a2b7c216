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

// TestExperiment checks that an experiment whose results file ends in an incomplete line resumes there, and
// that the table does not depend on the interruption or the number of concurrent runs.
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
	play := func(out string, jobs int) (output, table string) {
		t.Helper()
		var b bytes.Buffer
		c := experimentCommand{Plan: plan, Out: filepath.Join(dir, out), Jobs: jobs,
			Figures: []string{"in time", "postings"}}
		c.play(&b) // violations by the policy least are not checked here
		text, err := os.ReadFile(filepath.Join(c.Out, "table.md"))
		if err != nil {
			t.Fatal(err)
		}
		chart, err := os.ReadFile(filepath.Join(c.Out, "s.toml.svg"))
		if err != nil || !bytes.Contains(chart, []byte("<svg")) {
			t.Errorf("chart s.toml.svg: got error %v or no <svg element, want a chart", err)
		}
		return b.String(), string(text)
	}
	_, uninterrupted := play("a", 1)
	if _, other := play("b", 4); other != uninterrupted || !strings.Contains(uninterrupted, "| l | 2 |") {
		t.Errorf("tables of 1 and 4 concurrent runs: got\n%s\nand\n%s\nwant the same, with 2 runs of l",
			uninterrupted, other)
	}
	// Nine nodes in place of four; each node opens its own connections.
	if fourNodes, nineNodes := withNodes(t, dir, 0), withNodes(t, dir, 9); nineNodes["held"] <= fourNodes["held"] {
		t.Errorf("mean connections: got %v with 9 nodes, want more than the %v with 4", nineNodes["held"],
			fourNodes["held"])
	}
	runs := filepath.Join(dir, "a", "runs.jsonl")
	text, err := os.ReadFile(runs)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(runs, text[:len(text)-20], 0o600)
	// Without a version, the results of all programs would count as those of one.
	if program, err := revision(); err != nil || len(program) < 16 ||
		!strings.Contains(string(text), program) {
		t.Errorf("revision: got %q and error %v, want at least 16 bytes that are in runs.jsonl", program, err)
	}
	if output, resumed := play("a", 2); resumed != uninterrupted ||
		!strings.Contains(output, "4 runs, 1 of them to be played") {
		t.Errorf("resumed experiment: got output\n%s\nand table\n%s\nwant 1 run and the same table", output,
			resumed)
	}
	file("e.toml", "title = \"x\"\nscenarios = [\"s.toml\"]\nseeds = 2\n[[variant]]\nname = \"m\"\nsubset = 9999\n")
	if err := (&experimentCommand{Plan: plan, Out: filepath.Join(dir, "c")}).play(io.Discard); err == nil ||
		!strings.Contains(err.Error(), "variant m") {
		t.Errorf("subset above the number of servers: got error %v, want one that names variant m", err)
	}
}

// withNodes returns the figures of a run of the scenario with a number of nodes; 0: the scenario's own.
func withNodes(t *testing.T, dir string, nodes int) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := scenarioTexts{"s": text}.play(&experiment.Run{Scenario: "s", Seed: 1,
		Variant: experiment.Variant{Name: "x", Policy: "random", Nodes: nodes}})
	if err != nil {
		t.Fatal(err)
	}
	return r.Figures
}
