// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fernrail/internal/emulator"
	"fernrail/internal/experiment"
	"fernrail/internal/invariants"
)

// experimentCommand plays a grid of scenarios, variants and seeds, and keeps what came of it.
type experimentCommand struct {
	Plan    string   `arg:"" type:"existingfile" help:"The experiment; docs/emulator.md has its keys, example/experiments some of them."`
	Out     string   `required:"" help:"A directory for results: runs.jsonl with a line for each run, table.md, and a chart for each scenario. What is there already is not run again."`
	Jobs    int      `default:"0" help:"Runs at a time; 0: one a core. The results are the same."`
	Figures []string `default:"in time,worst 10 s,handshakes,held" help:"What the table shows, of: in time, worst 10 s, p99 ms, handshakes, held, fallen, cold work, work, twice, breaches."`
}

func (c *experimentCommand) Run() error { return c.run(os.Stdout) }

func (c *experimentCommand) run(out io.Writer) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return exitError{err, 2}
	}
	p, err := experiment.ParsePlan(text)
	if err != nil {
		return exitError{fmt.Errorf("%s: %w", c.Plan, err), 2}
	}
	texts, hashes := map[string][]byte{}, map[string]string{}
	for _, s := range p.Scenarios {
		if texts[s], err = os.ReadFile(filepath.Join(filepath.Dir(c.Plan), s)); err != nil {
			return exitError{err, 2}
		}
		hashes[s] = experiment.Hash(texts[s])
	}
	program, err := programVersion()
	if err != nil {
		return exitError{err, 2}
	}
	runs := p.Grid(hashes, program)
	// Danger: an hour of runs, and then a word that the last of them can't read.
	for i := range runs {
		if _, _, err := prepareRun(texts, &runs[i]); err != nil {
			return exitError{err, 2}
		}
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return exitError{err, 2}
	}
	path := filepath.Join(c.Out, "runs.jsonl")
	results, err := readResults(path)
	if err != nil {
		return exitError{err, 2}
	}
	left := experiment.Remaining(runs, results)
	fmt.Fprintf(out, "%d runs, %d of them to be played\n", len(runs), len(left))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return exitError{err, 2}
	}
	defer file.Close()
	jobs := c.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var fault error
	places := make(chan struct{}, jobs)
	for i := range left {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			r, err := playRun(texts, &left[i])
			var line []byte
			if err == nil {
				line, err = json.Marshal(r)
			}
			mu.Lock()
			defer mu.Unlock()
			// One write a line, so that what is cut off is cut off between runs, or seen.
			if err == nil {
				_, err = file.Write(append(line, '\n'))
			}
			if err != nil {
				fault = errors.Join(fault, err)
				return
			}
			results = append(results, *r)
			fmt.Fprintf(out, "%s, %s, seed %d: %.4f in time, %.1f s\n", r.Scenario, r.Variant.Name, r.Seed, r.Figures["in time"], r.Took)
		})
	}
	all.Wait()
	if fault != nil {
		return exitError{fault, 2}
	}
	return c.summarize(out, p, runs, results)
}

// summarize writes the table and the charts, and says whether any run broke a rule.
func (c *experimentCommand) summarize(out io.Writer, p *experiment.Plan, runs []experiment.Run, results []experiment.Result) error {
	rows := p.Summarize(runs, results)
	table := experiment.Table(p, rows, c.Figures)
	if err := os.WriteFile(filepath.Join(c.Out, "table.md"), table, 0o644); err != nil {
		return exitError{err, 2}
	}
	out.Write(table)
	for _, s := range p.Scenarios {
		if err := drawChart(filepath.Join(c.Out, filepath.Base(s)+".svg"), s, rows); err != nil {
			return exitError{err, 2}
		}
	}
	broken := 0.0
	for _, row := range rows {
		broken += row.Means["breaches"].Mean * float64(row.Runs)
	}
	if broken > 0 {
		return exitError{fmt.Errorf("%.0f breaches of rules in all runs", broken), 1}
	}
	return nil
}

// errorBars are a mean and its interval for each variant.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// drawChart draws the share in time of each variant of a scenario, with intervals.
func drawChart(path, scenario string, rows []experiment.Row) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = scenario+" (emulated)", "billing value in time, mean and 95% interval"
	var b errorBars
	var names []string
	for _, row := range rows {
		if row.Scenario != scenario || row.Runs == 0 {
			continue
		}
		m := row.Means["in time"]
		b.XYs = append(b.XYs, plotter.XY{X: float64(len(names)), Y: m.Mean})
		b.YErrors = append(b.YErrors, struct{ Low, High float64 }{m.Half, m.Half})
		names = append(names, row.Variant)
	}
	points, err := plotter.NewScatter(b.XYs)
	if err != nil {
		return err
	}
	whiskers, err := plotter.NewYErrorBars(b)
	if err != nil {
		return err
	}
	points.Shape, points.Color = plotutil.Shape(3), plotutil.Color(2)
	p.Add(plotter.NewGrid(), whiskers, points)
	p.NominalX(names...)
	return p.Save(vg.Length(max(len(names), 3))*1.6*vg.Inch, 4*vg.Inch, path)
}

// readResults reads what is there already; a last line that was cut off is dropped, and played again.
func readResults(path string) (results []experiment.Result, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	whole := bytes.LastIndexByte(text, '\n') + 1
	if whole < len(text) {
		if err := os.Truncate(path, int64(whole)); err != nil {
			return nil, err
		}
	}
	for i, line := range bytes.Split(bytes.TrimSpace(text[:whole]), []byte{'\n'}) {
		var r experiment.Result
		if len(line) == 0 {
			continue
		}
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		results = append(results, r)
	}
	return results, nil
}

// prepareRun is the scenario of a run as its variant has it.
func prepareRun(texts map[string][]byte, r *experiment.Run) (*emulator.Scenario, emulator.Policy, error) {
	s, err := emulator.Read(texts[r.Scenario])
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", r.Scenario, err)
	}
	if r.Variant.Nodes > 0 {
		s.Fleet.Nodes = r.Variant.Nodes
	}
	if r.Variant.Subset != nil {
		s.Subset.Size = *r.Variant.Subset
	}
	if r.Variant.Budgets != "" {
		s.Leases.Mode = r.Variant.Budgets
	}
	if err := s.Check(); err != nil {
		return nil, nil, fmt.Errorf("%s, variant %s: %w", r.Scenario, r.Variant.Name, err)
	}
	policy, err := emulator.PolicyOf(r.Variant.Policy)
	if err != nil {
		return nil, nil, fmt.Errorf("variant %s: %w", r.Variant.Name, err)
	}
	return s, policy, nil
}

// playRun plays one run, and holds it against the rules.
func playRun(texts map[string][]byte, r *experiment.Run) (*experiment.Result, error) {
	s, policy, err := prepareRun(texts, r)
	if err != nil {
		return nil, err
	}
	rules := s.Held()
	j, count, last, began := invariants.New(rules), invariants.NewCollector(), int64(0), time.Now()
	report := emulator.Run(s, r.Seed, policy, func(e invariants.Event) {
		err = errors.Join(err, j.Add(e))
		count.Add(e)
		last = e.At
	})
	if err != nil {
		return nil, err
	}
	f := count.End()
	return &experiment.Result{Run: *r, Key: r.Key(), Machine: fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version()),
		Took: time.Since(began).Seconds(), Figures: map[string]float64{"in time": f.All.Share(), "worst 10 s": f.Worst, "p99 ms": float64(f.At(0.99)) / 1e6,
			"handshakes": float64(report.Handshakes), "held": report.Held, "fallen": float64(report.Fallen), "cold work": report.Cold, "work": report.Work,
			"twice": float64(report.Twice), "breaches": float64(len(j.End(last)))}}, nil
}

// programVersion is the version that plays. Danger: results of another program taken for this one's, where the build knows of no commit
// or of a text that was changed since. Then it is the program itself that counts.
func programVersion() (string, error) {
	version, changed := "", false
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision":
				version = s.Value
			case "vcs.modified":
				changed = s.Value == "true"
			}
		}
	}
	if version != "" && !changed {
		return version, nil
	}
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return "program " + experiment.Hash(text), nil
}
