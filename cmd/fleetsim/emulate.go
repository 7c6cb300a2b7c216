// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"fernrail/internal/emulator"
	"fernrail/internal/invariants"
)

// emulateCommand plays a scenario in virtual time.
type emulateCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"A scenario; docs/emulator.md has its keys, example/scenarios some of them."`
	Seed     uint64 `default:"1" help:"Of all that is drawn. The same scenario and seed give the same log to the byte."`
	Policy   string `default:"module" help:"What decides on the nodes: module, random, round-robin, least, two-choices, or truth, which sees all."`
	Subset   int    `default:"-1" help:"In place of the scenario's subset.size: executors that a node uses; 0: all."`
	Budgets  string `help:"In place of the scenario's leases.mode: turns, leased, alone, or all, where one sees what all send."`
	Log      string `help:"Where the event log goes, for fleetsim judge."`
	Max      int    `default:"5" help:"How many breaches are told of."`
}

func (c *emulateCommand) Run() error { return c.run(os.Stdout) }

// readScenario gets a scenario; a fault names file and place, with the exit code for what can't be read.
func readScenario(path string) (*emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitError{err, 2}
	}
	s, err := emulator.Read(text)
	if err != nil {
		return nil, exitError{fmt.Errorf("%s: %w", path, err), 2}
	}
	return s, nil
}

func (c *emulateCommand) run(out io.Writer) error {
	s, err := readScenario(c.Scenario)
	if err != nil {
		return err
	}
	policy, err := emulator.PolicyOf(c.Policy)
	if err != nil {
		return exitError{err, 2}
	}
	if c.Subset >= 0 {
		s.Subset.Size = c.Subset
	}
	if c.Budgets != "" {
		s.Leases.Mode = c.Budgets
	}
	if c.Budgets != "" || c.Subset >= 0 {
		if err := s.Check(); err != nil {
			return exitError{fmt.Errorf("%s: %w", c.Scenario, err), 2}
		}
	}
	rules := s.Held()
	var file *os.File
	write := func(any) error { return nil }
	flush := write
	if c.Log != "" {
		if file, err = os.Create(c.Log); err != nil {
			return exitError{err, 2}
		}
		defer file.Close()
		buffer := bufio.NewWriter(file)
		encoder := json.NewEncoder(buffer)
		write, flush = encoder.Encode, func(any) error { return buffer.Flush() }
	}
	fault := write(rules)
	j, count, last := invariants.New(rules), invariants.NewCollector(), int64(0)
	began := time.Now()
	report := emulator.Run(s, c.Seed, policy, func(e invariants.Event) {
		fault = errors.Join(fault, write(e), j.Add(e))
		count.Add(e)
		last = e.At
	})
	if fault = errors.Join(fault, flush(nil)); fault != nil {
		return exitError{fault, 2}
	}
	f := count.End()
	fmt.Fprintf(out, "%s, seed %d, %s: %.4f in time, worst 10 s %.4f (emulated)\n", filepath.Base(c.Scenario), c.Seed, c.Policy, f.All.Share(), f.Worst)
	for _, name := range invariants.Names(f.Schemes) {
		fmt.Fprintf(out, "  scheme %-12s %.4f in time\n", name, f.Schemes[name].Share())
	}
	for _, name := range invariants.Names(f.Tenants) {
		fmt.Fprintf(out, "  tenant %-12s %.4f in time\n", name, f.Tenants[name].Share())
	}
	fmt.Fprintf(out, "  waits: half %v, 99 of 100 %v; %d tries, %d postings, %d declined, %d reversed, %d handshakes, %.0f connections held\n",
		time.Duration(f.At(0.5)).Round(time.Millisecond), time.Duration(f.At(0.99)).Round(time.Millisecond), f.Tries, f.Postings, f.Declined, f.Reversed, report.Handshakes, report.Held)
	fmt.Fprintf(out, "  work done %.1f of %.1f asked for; effects run twice %d; cold executors pushed over %d; %d events in %v\n",
		report.Work, report.Offered, report.Twice, report.Fallen, report.Events, time.Since(began).Round(time.Millisecond))
	fmt.Fprintf(out, "  budgets %s: %.1f of work sent to cold executors, %d calls for leases\n", s.Leases.Mode, report.Cold, report.Calls)
	breaches := j.End(last)
	for _, b := range breaches[:min(len(breaches), c.Max)] {
		fmt.Fprintf(out, "  rule %d, event %d: %s\n", b.Rule, b.Event, b.Text)
	}
	if len(breaches) > 0 {
		return exitError{fmt.Errorf("%d breaches; again with: fleetsim emulate %s --seed %d --policy %s", len(breaches), c.Scenario, c.Seed, c.Policy), 1}
	}
	return nil
}

// checkScenarioCommand reads scenarios and runs nothing.
type checkScenarioCommand struct {
	Scenario []string `arg:"" type:"existingfile" help:"Scenarios."`
}

func (c *checkScenarioCommand) Run() error {
	for _, path := range c.Scenario {
		if _, err := readScenario(path); err != nil {
			return err
		}
	}
	return nil
}
