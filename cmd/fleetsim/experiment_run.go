// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"fernrail/internal/emulator"
	"fernrail/internal/experiment"
	"fernrail/internal/invariants"
)

// The names of a run's figures, as stored in runs.jsonl.
const (
	inTimeFigure      = "in time"
	worstFigure       = "worst 10 s"
	p99Figure         = "p99 ms"
	handshakesFigure  = "handshakes"
	connectionsFigure = "held"
	overloadedFigure  = "fallen"
	slowStartFigure   = "cold work"
	workFigure        = "work"
	twiceFigure       = "twice"
	violationsFigure  = "breaches"
)

// scenarioTexts has the texts of a plan's scenarios by name.
type scenarioTexts map[string][]byte

func (t scenarioTexts) hashes() map[string]string {
	hashes := map[string]string{}
	for name, text := range t {
		hashes[name] = experiment.Hash(text)
	}
	return hashes
}

// preparedRun is a scenario with a variant applied, and the variant's policy.
type preparedRun struct {
	scenario *emulator.Scenario
	policy   emulator.Policy
}

// prepare reads the scenario of a run and applies the variant.
func (t scenarioTexts) prepare(run *experiment.Run) (*preparedRun, error) {
	scenario, err := emulator.Read(t[run.Scenario])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", run.Scenario, err)
	}
	variant := &run.Variant
	if variant.Nodes > 0 {
		scenario.Fleet.Nodes = variant.Nodes
	}
	if variant.Subset != nil {
		scenario.Subset.Size = *variant.Subset
	}
	if variant.Budgets != "" {
		scenario.Leases.Mode = variant.Budgets
	}
	if err := scenario.Check(); err != nil {
		return nil, fmt.Errorf("%s, variant %s: %w", run.Scenario, variant.Name, err)
	}
	policy, err := emulator.PolicyOf(variant.Policy)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", variant.Name, err)
	}
	return &preparedRun{scenario, policy}, nil
}

// play executes a run and checks its events against the rules.
func (t scenarioTexts) play(run *experiment.Run) (*experiment.Result, error) {
	prepared, err := t.prepare(run)
	if err != nil {
		return nil, err
	}
	checker, collector := invariants.New(prepared.scenario.InvariantRules()), invariants.NewCollector()
	last := int64(0)
	startedAt := time.Now()
	report := emulator.Run(prepared.scenario, run.Seed, prepared.policy, func(e invariants.Event) {
		err = errors.Join(err, checker.Add(e))
		collector.Add(e)
		last = e.At
	})
	if err != nil {
		return nil, err
	}
	return &experiment.Result{
		Run: *run,
		Key: run.Key(),
		Machine: fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(),
			runtime.Version()),
		Took:    time.Since(startedAt).Seconds(),
		Figures: runFigures(collector.Summary(), report, len(checker.Violations(last))),
	}, nil
}

func runFigures(summary *invariants.Summary, report emulator.Report, violations int) map[string]float64 {
	return map[string]float64{
		inTimeFigure:      summary.All.Share(),
		worstFigure:       summary.WorstTenSeconds,
		p99Figure:         float64(summary.Latency(0.99)) / float64(time.Millisecond),
		handshakesFigure:  float64(report.Handshakes),
		connectionsFigure: report.MeanConnections,
		overloadedFigure:  float64(report.Overloads),
		slowStartFigure:   report.SlowStartWork,
		workFigure:        report.Work,
		twiceFigure:       float64(report.DuplicateEffects),
		violationsFigure:  float64(violations),
	}
}
