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

// emulateCommand simulates a scenario in virtual time.
type emulateCommand struct {
	Scenario string `name:"scenario" arg:"" type:"existingfile" help:"Scenario file; docs/emulator.md documents its keys, example/scenarios has examples."`
	Seed     uint64 `name:"seed" default:"1" help:"Seed of all random numbers. The same scenario and seed give the same log to the byte."`
	Policy   string `name:"policy" default:"module" help:"Policy of the nodes: module, random, round-robin, least, two-choices, or truth, which uses the actual load of all servers."`
	Subset   int    `name:"subset" default:"-1" help:"Overrides the scenario's subset.size: servers that a node uses; 0: all."`
	Budgets  string `name:"budgets" help:"Overrides the scenario's leases.mode: turns, leased, alone, or all, in which each node has the usage of all nodes."`
	Log      string `name:"log" help:"File to write the event log to, for fleetsim judge."`
	Max      int    `name:"max" default:"5" help:"Maximum number of violations to print."`
}

// Run simulates the scenario and prints the results to standard output.
func (c *emulateCommand) Run() error { return c.play(os.Stdout) }

// readScenario reads a scenario. An error names the file and the line or key.
func readScenario(path string) (*emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(err)
	}
	scenario, err := emulator.Read(text)
	if err != nil {
		return nil, unreadable(fmt.Errorf("%s: %w", path, err))
	}
	return scenario, nil
}

// scenario reads the scenario and applies the flags that override it.
func (c *emulateCommand) scenario() (*emulator.Scenario, error) {
	scenario, err := readScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.Subset >= 0 {
		scenario.Subset.Size = c.Subset
	}
	if c.Budgets != "" {
		scenario.Leases.Mode = c.Budgets
	}
	if err := scenario.Check(); err != nil {
		return nil, unreadable(fmt.Errorf("%s: %w", c.Scenario, err))
	}
	return scenario, nil
}

// play simulates the scenario and prints the results. A violation of a rule is an error.
func (c *emulateCommand) play(out io.Writer) error {
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	policy, err := emulator.PolicyOf(c.Policy)
	if err != nil {
		return unreadable(err)
	}
	log, err := openEventLog(c.Log)
	if err != nil {
		return unreadable(err)
	}
	defer log.close()
	rules := scenario.InvariantRules()
	err = log.write(rules)
	checker, collector := invariants.New(rules), invariants.NewCollector()
	last := int64(0)
	startedAt := time.Now()
	report := emulator.Run(scenario, c.Seed, policy, func(e invariants.Event) {
		err = errors.Join(err, log.write(e), checker.Add(e))
		collector.Add(e)
		last = e.At
	})
	if err = errors.Join(err, log.flush()); err != nil {
		return unreadable(err)
	}
	fmt.Fprintf(out, "%s, seed %d, %s: ", filepath.Base(c.Scenario), c.Seed, c.Policy)
	printSummary(out, collector.Summary())
	printReport(out, report, time.Since(startedAt))
	fmt.Fprintf(out, "  budgets %s: %.1f of work sent to servers in slow start, %d lease requests\n",
		scenario.Leases.Mode, report.SlowStartWork, report.LeaseRequests)
	violations := checker.Violations(last)
	printViolations(out, violations, c.Max, "  ")
	if len(violations) > 0 {
		return ruleBroken("%d violations; to reproduce: fleetsim emulate %s --seed %d --policy %s",
			len(violations), c.Scenario, c.Seed, c.Policy)
	}
	return nil
}

func printSummary(out io.Writer, summary *invariants.Summary) {
	fmt.Fprintf(out, "%.4f in time, worst 10 s %.4f (emulated)\n", summary.All.Share(),
		summary.WorstTenSeconds)
	for _, name := range invariants.SortedNames(summary.Classes) {
		fmt.Fprintf(out, "  class %-12s %.4f in time\n", name, summary.Classes[name].Share())
	}
	for _, name := range invariants.SortedNames(summary.Tenants) {
		fmt.Fprintf(out, "  tenant %-12s %.4f in time\n", name, summary.Tenants[name].Share())
	}
	fmt.Fprintf(out, "  latency: median %v, p99 %v; %d requests, %d attempts, %d shed, %d compensated\n",
		time.Duration(summary.Latency(0.5)).Round(time.Millisecond),
		time.Duration(summary.Latency(0.99)).Round(time.Millisecond),
		summary.Requests, summary.Attempts, summary.Shed, summary.Compensated)
}

func printReport(out io.Writer, report emulator.Report, took time.Duration) {
	fmt.Fprintf(out, "  %d handshakes, %.0f connections open in the mean\n", report.Handshakes,
		report.MeanConnections)
	fmt.Fprintf(out, "  work done %.1f of %.1f asked for; effects run twice %d; servers overloaded in slow start %d; %d events in %v\n",
		report.Work, report.OfferedWork, report.DuplicateEffects, report.Overloads, report.Events,
		took.Round(time.Millisecond))
}

// eventLog writes JSON values to a file, if there is one.
type eventLog struct {
	file    *os.File // nil: nothing is written
	buffer  *bufio.Writer
	encoder *json.Encoder
}

// openEventLog creates a log. With an empty path nothing is written.
func openEventLog(path string) (*eventLog, error) {
	if path == "" {
		return &eventLog{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriter(file)
	return &eventLog{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

func (l *eventLog) write(value any) error {
	if l.file == nil {
		return nil
	}
	return l.encoder.Encode(value)
}

func (l *eventLog) flush() error {
	if l.file == nil {
		return nil
	}
	return l.buffer.Flush()
}

func (l *eventLog) close() {
	if l.file != nil {
		l.file.Close()
	}
}

// scenarioCheckCommand validates scenarios without running them.
type scenarioCheckCommand struct {
	Scenario []string `name:"scenario" arg:"" type:"existingfile" help:"Scenario files."`
}

// Run returns the error of the first invalid scenario.
func (c *scenarioCheckCommand) Run() error {
	for _, path := range c.Scenario {
		if _, err := readScenario(path); err != nil {
			return err
		}
	}
	return nil
}
