// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// purse is what this node may use of the budgets that it holds with others.
type purse struct {
	share       *fleet.Fleet
	descriptors *transport.ConnectionBudget
}

// names are the module's budgets in the configuration's words.
var names = [dispatch.BudgetCount]string{dispatch.BudgetRetries: config.BudgetRetries, dispatch.BudgetConnections: config.BudgetConnections, dispatch.BudgetSlowStart: config.BudgetSlowStart,
	dispatch.BudgetTenantAttempts: config.BudgetTenantAttempts, dispatch.BudgetPolls: config.BudgetPolls}

func (p *purse) Allow(b dispatch.Budget, key string, units float64) bool {
	switch b {
	case dispatch.BudgetSlowStart:
		units *= p.share.Total(config.BudgetSlowStart)
	case dispatch.BudgetConnections:
		// One that is open and unused costs nothing.
		if p.descriptors.IdleConnections(key) > 0 {
			return true
		}
	}
	return p.share.Allow(names[b], key, units)
}

func (p *purse) Quota(b dispatch.Budget, key string) float64 { return p.share.Quota(names[b], key) }

func (p *purse) Reserve(executor, tenant string, again bool, cold float64) routing.Reservation {
	c := &fleet.Reservation{}
	if !again {
		c.CountFirstAttempt(p.share)
	}
	if !c.Reserve(p.share, config.BudgetTenantAttempts, tenant, 1) || again && !c.Reserve(p.share, config.BudgetRetries, "", 1) || cold > 0 && !c.Reserve(p.share, config.BudgetSlowStart, executor, cold*p.share.Total(config.BudgetSlowStart)) {
		c.Release(false)
		return nil
	}
	return c
}

func (p *purse) AllowPoll(overdue bool) bool {
	c := &fleet.Reservation{}
	if c.Reserve(p.share, config.BudgetPolls, "", 1) && c.MaySend() {
		return true
	}
	if overdue {
		p.share.RecordOverrun(config.BudgetPolls, "", 1)
	}
	return overdue
}

// dial asks for one new connection, at the moment at which it would be opened.
func (p *purse) dial(address string) bool {
	c := &fleet.Reservation{}
	return c.Reserve(p.share, config.BudgetConnections, address, 1) && c.MaySend()
}
