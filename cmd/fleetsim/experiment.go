// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"fernrail/internal/experiment"
)

// experimentCommand executes a grid of scenarios, variants and seeds, and stores the results.
type experimentCommand struct {
	Plan    string   `name:"plan" arg:"" type:"existingfile" help:"Experiment file; docs/emulator.md documents its keys, example/experiments has examples."`
	Out     string   `name:"out" required:"" help:"A directory for results: runs.jsonl with a line for each run, table.md, and a chart for each scenario. Runs that it has results of are not repeated."`
	Jobs    int      `name:"jobs" default:"0" help:"Number of concurrent runs; 0: one per core. It does not change the results."`
	Figures []string `name:"figures" default:"in time,worst 10 s,handshakes,held" help:"Figures in the table, of: in time, worst 10 s, p99 ms, handshakes, held, fallen, cold work, work, twice, breaches."`
}

// Run executes the experiment and prints progress and results to standard output.
func (c *experimentCommand) Run() error { return c.play(os.Stdout) }

// play executes the runs without results, then prints and writes the summary of all runs.
func (c *experimentCommand) play(out io.Writer) error {
	plan, scenarios, err := c.readPlan()
	if err != nil {
		return unreadable(err)
	}
	program, err := revision()
	if err != nil {
		return unreadable(err)
	}
	runs := plan.Grid(scenarios.hashes(), program)
	// All runs are checked first, since an error in the last one would otherwise appear only after an hour of
	// other runs.
	for i := range runs {
		if _, err := scenarios.prepare(&runs[i]); err != nil {
			return unreadable(err)
		}
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return unreadable(err)
	}
	path := filepath.Join(c.Out, "runs.jsonl")
	results, err := readResults(path)
	if err != nil {
		return unreadable(err)
	}
	remaining := experiment.Remaining(runs, results)
	fmt.Fprintf(out, "%d runs, %d of them to be played\n", len(runs), len(remaining))
	more, err := c.playAll(out, scenarios, remaining, path)
	if err != nil {
		return unreadable(err)
	}
	return c.summarize(out, plan, runs, append(results, more...))
}

// readPlan reads the plan and the scenarios that it names.
func (c *experimentCommand) readPlan() (*experiment.Plan, scenarioTexts, error) {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return nil, nil, err
	}
	plan, err := experiment.Read(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Plan, err)
	}
	scenarios := scenarioTexts{}
	for _, name := range plan.Scenarios {
		if scenarios[name], err = os.ReadFile(filepath.Join(filepath.Dir(c.Plan), name)); err != nil {
			return nil, nil, err
		}
	}
	return plan, scenarios, nil
}

// playAll executes runs concurrently and appends each result to a file as soon as the run ends.
func (c *experimentCommand) playAll(out io.Writer, scenarios scenarioTexts, runs []experiment.Run,
	path string) ([]experiment.Result, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	recorder := &resultRecorder{file: file, out: out}
	jobs := c.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	slots := make(chan struct{}, jobs)
	var workers sync.WaitGroup
	for i := range runs {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			recorder.record(scenarios.play(&runs[i]))
		})
	}
	workers.Wait()
	return recorder.results, recorder.err
}

// resultRecorder collects the results of concurrent runs.
type resultRecorder struct {
	file *os.File
	out  io.Writer

	mu      sync.Mutex
	results []experiment.Result
	err     error
}

// record appends a result, or stores the error of a run. Each line is a single write, so that a truncated
// file ends between results or in an incomplete last line, which readResults detects.
func (r *resultRecorder) record(result *experiment.Result, err error) {
	var line []byte
	if err == nil {
		line, err = json.Marshal(result)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	if err != nil {
		r.err = errors.Join(r.err, err)
		return
	}
	r.results = append(r.results, *result)
	fmt.Fprintf(r.out, "%s, %s, seed %d: %.4f in time, %.1f s\n",
		result.Scenario, result.Variant.Name, result.Seed, result.Figures[inTimeFigure], result.Took)
}

// summarize writes the table and the charts, and returns an error if any run violated a rule.
func (c *experimentCommand) summarize(out io.Writer, plan *experiment.Plan, runs []experiment.Run,
	results []experiment.Result) error {
	rows := plan.Rows(runs, results)
	table := experiment.Table(plan, rows, c.Figures)
	if err := os.WriteFile(filepath.Join(c.Out, "table.md"), table, 0o644); err != nil {
		return unreadable(err)
	}
	if _, err := out.Write(table); err != nil {
		return unreadable(err)
	}
	for _, scenario := range plan.Scenarios {
		if err := saveChart(filepath.Join(c.Out, filepath.Base(scenario)+".svg"), scenario,
			rows); err != nil {
			return unreadable(err)
		}
	}
	violations := 0.0
	for _, row := range rows {
		violations += row.Means[violationsFigure].Mean * float64(row.Runs)
	}
	if violations > 0 {
		return ruleBroken("%.0f violations of rules in all runs", violations)
	}
	return nil
}
