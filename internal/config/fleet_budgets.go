// SPDX-License-Identifier: Apache-2.0

package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"fernrail/internal/fleet/budget"
)

// Names in the file of the budgets that nodes can share.
const (
	BudgetRetries        = "again"   // retries of all requests at all nodes
	BudgetConnections    = "connect" // new connections to one server
	BudgetSlowStart      = "cold"    // work sent to a server in slow start
	BudgetTenantAttempts = "jobs"    // attempts of one tenant in flight; window: longest time without an update
	BudgetPolls          = "calls"   // polls of the endpoint list
)

// defaultBudgetWindow applies to budgets whose window does not derive from the settings or from a deadline.
const defaultBudgetWindow = time.Second

// budgetNames lists the budgets that the file may contain, in the order of error messages.
var budgetNames = []string{
	BudgetRetries,
	BudgetConnections,
	BudgetSlowStart,
	BudgetTenantAttempts,
	BudgetPolls,
}

// budgetKey returns the full key of a value in the section of one budget.
func budgetKey(budgetName, name string) string { return "fleet.budgets." + budgetName + "." + name }

// decodeBudgets decodes the limits of each budget in the section.
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
			return keyErrorf("fleet.budgets."+name, "unknown budget; the known ones are %s and %s",
				known, last)
		}
		limits := d.decodeLimits(name)
		if err := d.checkWindow(name, limits); err != nil {
			return err
		}
		d.fleet.Agreement.Budgets[name] = limits
	}
	return nil
}

// decodeLimits decodes the limits of one budget.
func (d *fleetDecoder) decodeLimits(name string) budget.Limits {
	return budget.Limits{
		Total:   d.integer(budgetKey(name, "whole"), 0, 1),
		Floor:   d.integer(budgetKey(name, "floor"), 0, 0),
		Reserve: d.integer(budgetKey(name, "reserve"), 0, 0),
		Step:    d.integer(budgetKey(name, "step"), 1, 1),
		Window: int64(
			d.milliseconds(budgetKey(name, "window_ms"), d.defaultWindow(name), time.Millisecond)),
		Partitions:        d.integer(budgetKey(name, "parts"), 1, 1),
		FirstAttemptRatio: d.float(budgetKey(name, "share"), 0),
	}
}

// defaultWindow returns the window of a budget whose section has no window_ms.
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

// checkWindow checks that a budget's window is long enough for the settings.
func (d *fleetDecoder) checkWindow(name string, limits budget.Limits) error {
	window := time.Duration(limits.Window)
	switch name {
	case BudgetSlowStart:
		if limits.Window < d.node.Settings.OverloadWindow {
			return keyErrorf(budgetKey(name, "window_ms"),
				"%d ms is shorter than the overload window of a cold executor, settings.Rules.Fall",
				window.Milliseconds())
		}
	case BudgetTenantAttempts:
		if window < d.node.MaxDeadline {
			return keyErrorf(budgetKey(name, "window_ms"),
				"%d ms is under the longest expiry of a scheme, %d ms, which a job may run without updates",
				window.Milliseconds(), d.node.MaxDeadline.Milliseconds())
		}
	case BudgetPolls:
		return d.checkPollFloor(limits)
	}
	return nil
}

// checkPollFloor checks that a node without a lease may poll as often as the settings require. The floor is a
// number of polls per window, so a node waits for up to one window, measured on a clock that may run slow.
func (d *fleetDecoder) checkPollFloor(limits budget.Limits) error {
	maxWait := d.node.Settings.MaxPollWait()
	longest := float64(limits.Window) * (1 + d.fleet.Agreement.ClockMargin)
	if limits.Floor >= 1 && longest < float64(maxWait) {
		return nil
	}
	return keyErrorf(budgetKey(BudgetPolls, "floor"),
		"%d polls per window of %d ms, but each node needs one in less than %d ms by settings.Rules",
		limits.Floor, time.Duration(limits.Window).Milliseconds(), time.Duration(maxWait).Milliseconds())
}

// checkBudgets checks that the slow-start budget exists and that each budget uses only keys that apply to it.
func checkBudgets(budgets map[string]budget.Limits) error {
	if _, found := budgets[BudgetSlowStart]; !found {
		return keyErrorf("fleet.budgets.cold",
			"missing; nodes that share budgets need it to limit the work sent to cold executors")
	}
	for _, name := range budgetNames {
		if name != BudgetRetries && budgets[name].FirstAttemptRatio != 0 {
			return keyErrorf("fleet.budgets",
				"share is for the budget again only, as a ratio of first attempts")
		}
	}
	if parts := budgets[BudgetRetries].Partitions; parts > 1 {
		return keyErrorf(budgetKey(BudgetRetries, "parts"),
			"%d parts; this budget cannot be partitioned: it counts the retries of all executors", parts)
	}
	if parts := budgets[BudgetPolls].Partitions; parts > 1 {
		return keyErrorf(budgetKey(BudgetPolls, "parts"),
			"%d parts; this budget cannot be partitioned: there is one endpoint list", parts)
	}
	return nil
}
