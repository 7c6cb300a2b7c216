// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// quotaSource is what this node may use of the budgets that it holds with others. It implements routing.QuotaSource.
type quotaSource struct {
	budgets     *fleet.Fleet
	connections *transport.ConnectionBudget
}

// budgetNames are the dispatcher's budgets by their names in the configuration.
var budgetNames = [dispatch.BudgetCount]string{
	dispatch.BudgetRetries:        config.BudgetRetries,
	dispatch.BudgetConnections:    config.BudgetConnections,
	dispatch.BudgetSlowStart:      config.BudgetSlowStart,
	dispatch.BudgetTenantAttempts: config.BudgetTenantAttempts,
	dispatch.BudgetPolls:          config.BudgetPolls,
}

// Allow reports whether so many units more may be used now, without reserving them.
func (s *quotaSource) Allow(budget dispatch.Budget, key string, units float64) bool {
	switch budget {
	case dispatch.BudgetSlowStart:
		units *= s.budgets.Total(config.BudgetSlowStart)
	case dispatch.BudgetConnections:
		// A connection that is open and unused costs nothing.
		if s.connections.IdleConnections(key) > 0 {
			return true
		}
	}
	return s.budgets.Allow(budgetNames[budget], key, units)
}

// Quota returns what this node has of a budget.
func (s *quotaSource) Quota(budget dispatch.Budget, key string) float64 {
	return s.budgets.Quota(budgetNames[budget], key)
}

// Reserve reserves what an attempt uses; nil: some of it is used up. The units of slow start are a part of the total.
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

// reserveAll adds to a reservation what an attempt uses. It reports false at the first budget that is used up.
func (s *quotaSource) reserveAll(r *fleet.Reservation, server, tenant string, retry bool, slowStart float64) bool {
	if !r.Reserve(s.budgets, config.BudgetTenantAttempts, tenant, 1) {
		return false
	}
	if retry && !r.Reserve(s.budgets, config.BudgetRetries, "", 1) {
		return false
	}
	if slowStart <= 0 {
		return true
	}
	return r.Reserve(s.budgets, config.BudgetSlowStart, server, slowStart*s.budgets.Total(config.BudgetSlowStart))
}

// AllowPoll uses one poll of the endpoint list. One that is overdue is sent in any case, and counted as an overrun.
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

// allowDial uses one new connection to a server. It is called at the moment at which the connection would be opened.
func (s *quotaSource) allowDial(address string) bool {
	r := &fleet.Reservation{}
	return r.Reserve(s.budgets, config.BudgetConnections, address, 1) && r.MaySend()
}
