// SPDX-License-Identifier: Apache-2.0

package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"fernrail/internal/fleet/budget"
)

// Budgets that nodes can hold together, by their names in the file.
const (
	BudgetRetries        = "again"   // attempts after the first one, of all requests at all nodes
	BudgetConnections    = "connect" // new connections to one server
	BudgetSlowStart      = "cold"    // work sent to a server that is warming up
	BudgetTenantAttempts = "jobs"    // attempts of one tenant in flight; the window bounds how long one may give no news
	BudgetPolls          = "calls"   // polls of the endpoint list
)

// defaultBudgetWindow holds for budgets that neither the settings nor a class's deadline give a window.
const defaultBudgetWindow = time.Second

// budgetNames are the budgets that the file may name, in the order in which errors list them.
var budgetNames = []string{
	BudgetRetries,
	BudgetConnections,
	BudgetSlowStart,
	BudgetTenantAttempts,
	BudgetPolls,
}

// budgetKey returns the key of a value of one budget.
func budgetKey(budgetName, name string) string { return "fleet.budgets." + budgetName + "." + name }

// decodeBudgets reads the budgets that the section names.
func (d *fleetDecoder) decodeBudgets() error {
	named := map[string]bool{}
	for key := range d.values {
		if rest, found := strings.CutPrefix(key, "fleet.budgets."); found {
			name, _, _ := strings.Cut(rest, ".")
			named[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		if !slices.Contains(budgetNames, name) {
			known := strings.Join(budgetNames[:len(budgetNames)-1], ", ")
			last := budgetNames[len(budgetNames)-1]
			return keyErrorf("fleet.budgets."+name, "no such budget; there are %s and %s", known, last)
		}
		limits := d.decodeLimits(name)
		if err := d.checkWindow(name, limits); err != nil {
			return err
		}
		d.fleet.Agreement.Budgets[name] = limits
	}
	return nil
}

// decodeLimits reads the limits of one budget.
func (d *fleetDecoder) decodeLimits(name string) budget.Limits {
	return budget.Limits{
		Total:             d.integer(budgetKey(name, "whole"), 0, 1),
		Floor:             d.integer(budgetKey(name, "floor"), 0, 0),
		Reserve:           d.integer(budgetKey(name, "reserve"), 0, 0),
		Step:              d.integer(budgetKey(name, "step"), 1, 1),
		Window:            int64(d.milliseconds(budgetKey(name, "window_ms"), d.defaultWindow(name), time.Millisecond)),
		Partitions:        d.integer(budgetKey(name, "parts"), 1, 1),
		FirstAttemptRatio: d.float(budgetKey(name, "share"), 0),
	}
}

// defaultWindow returns the window of a budget that names none.
func (d *fleetDecoder) defaultWindow(name string) time.Duration {
	overload := time.Duration(d.node.Settings.OverloadWindow)
	switch {
	case name == BudgetSlowStart && overload >= time.Millisecond:
		return overload
	case name == BudgetTenantAttempts:
		return d.node.MaxDeadline
	}
	return defaultBudgetWindow
}

// checkWindow compares a budget's window with the times that the settings give.
func (d *fleetDecoder) checkWindow(name string, limits budget.Limits) error {
	window := time.Duration(limits.Window)
	switch name {
	case BudgetSlowStart:
		if limits.Window < d.node.Settings.OverloadWindow {
			return keyErrorf(budgetKey(name, "window_ms"),
				"%d is under the window in which a cold executor falls over, settings.Rules.Fall", window.Milliseconds())
		}
	case BudgetTenantAttempts:
		if window < d.node.MaxDeadline {
			return keyErrorf(budgetKey(name, "window_ms"),
				"%d is under the longest expiry of a scheme, %d, for which a job may run that nothing is heard of",
				window.Milliseconds(), d.node.MaxDeadline.Milliseconds())
		}
	case BudgetPolls:
		return d.checkPollFloor(limits)
	}
	return nil
}

// checkPollFloor makes sure that a node may poll as often as the settings demand while it holds no lease. Its floor
// is so many polls in a window, so that the window is the longest that it waits, by a clock that may run slow.
func (d *fleetDecoder) checkPollFloor(limits budget.Limits) error {
	maxWait := d.node.Settings.MaxPollWait()
	longest := float64(limits.Window) * (1 + d.fleet.Agreement.ClockMargin)
	if limits.Floor >= 1 && longest < float64(maxWait) {
		return nil
	}
	return keyErrorf(budgetKey(BudgetPolls, "floor"),
		"%d in a window of %d ms; each node needs one in less than %d, by settings.Rules",
		limits.Floor, time.Duration(limits.Window).Milliseconds(), time.Duration(maxWait).Milliseconds())
}

// checkBudgets checks which budgets there are, and what each may be divided by.
func checkBudgets(budgets map[string]budget.Limits) error {
	if _, found := budgets[BudgetSlowStart]; !found {
		return keyErrorf("fleet.budgets.cold",
			"missing; nodes that hold budgets together take no turns at cold executors")
	}
	for _, name := range budgetNames {
		if name != BudgetRetries && budgets[name].FirstAttemptRatio != 0 {
			return keyErrorf("fleet.budgets", "share is for again alone, as a ratio of first attempts")
		}
	}
	if parts := budgets[BudgetRetries].Partitions; parts > 1 {
		return keyErrorf(budgetKey(BudgetRetries, "parts"),
			"%d; retries are counted for all executors together", parts)
	}
	if parts := budgets[BudgetPolls].Partitions; parts > 1 {
		return keyErrorf(budgetKey(BudgetPolls, "parts"), "%d; there is one list", parts)
	}
	return nil
}
