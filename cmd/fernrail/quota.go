// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// quotaSource gives the dispatcher this node's quotas of the shared budgets. It implements
// routing.QuotaSource.
type quotaSource struct {
	budgets     *fleet.Fleet
	connections *transport.ConnectionBudget
}

// budgetNames maps the dispatcher's budgets to their names in the configuration.
var budgetNames = [dispatch.BudgetCount]string{
	dispatch.BudgetRetries:        config.BudgetRetries,
	dispatch.BudgetConnections:    config.BudgetConnections,
	dispatch.BudgetSlowStart:      config.BudgetSlowStart,
	dispatch.BudgetTenantAttempts: config.BudgetTenantAttempts,
	dispatch.BudgetPolls:          config.BudgetPolls,
}

// Allow reports whether the given number of additional units may be used now, without reserving them.
func (s *quotaSource) Allow(budget dispatch.Budget, key string, units float64) bool {
	switch budget {
	case dispatch.BudgetSlowStart:
		units *= s.budgets.Total(config.BudgetSlowStart)
	case dispatch.BudgetConnections:
		// An idle connection can be reused without a dial.
		if s.connections.IdleConnections(key) > 0 {
			return true
		}
	}
	return s.budgets.Allow(budgetNames[budget], key, units)
}

// Quota returns this node's quota of a budget as a fraction of the total, from 0 to 1.
func (s *quotaSource) Quota(budget dispatch.Budget, key string) float64 {
	return s.budgets.Quota(budgetNames[budget], key)
}

// Reserve reserves the units for an attempt, or returns nil if a budget is used up. slowStart is a fraction
// of the slow-start total.
func (s *quotaSource) Reserve(server, tenant string, retry bool, slowStart float64) routing.Reservation {
	r := &fleet.Reservation{}
	if !retry {
		r.CountFirstAttempt(s.budgets)
	}
	if !s.reserveAll(r, server, tenant, retry, slowStart) {
		r.Release(false)
		return nil
	}
	return r
}

// reserveAll adds the units for an attempt to a reservation. It returns false at the first budget that is
// used up.
func (s *quotaSource) reserveAll(
	r *fleet.Reservation, server, tenant string, retry bool, slowStart float64) bool {
	if !r.Reserve(s.budgets, config.BudgetTenantAttempts, tenant, 1) {
		return false
	}
	if retry && !r.Reserve(s.budgets, config.BudgetRetries, "", 1) {
		return false
	}
	if slowStart <= 0 {
		return true
	}
	return r.Reserve(s.budgets, config.BudgetSlowStart, server,
		slowStart*s.budgets.Total(config.BudgetSlowStart))
}

// AllowPoll uses one unit for a poll of the endpoint list. An overdue poll is always allowed; without a unit
// it is recorded as an overrun.
func (s *quotaSource) AllowPoll(overdue bool) bool {
	r := &fleet.Reservation{}
	if r.Reserve(s.budgets, config.BudgetPolls, "", 1) && r.MaySend() {
		return true
	}
	if overdue {
		s.budgets.RecordOverrun(config.BudgetPolls, "", 1)
	}
	return overdue
}

// allowDial uses one unit for a new connection to a server. It must be called immediately before the dial.
func (s *quotaSource) allowDial(address string) bool {
	r := &fleet.Reservation{}
	return r.Reserve(s.budgets, config.BudgetConnections, address, 1) && r.MaySend()
}
