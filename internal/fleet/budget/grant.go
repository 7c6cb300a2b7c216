// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"math"
	"slices"
)

// grant grants units of one budget to the holders whose requests get a response, in the order of the requests
// and within the limits of the free units and max-min fairness.
func (l *Ledger) grant(name string, requests []LeaseRequest, responses []*LeaseResponse) {
	account, limits := l.Budgets[name], l.Agreement.limits(name)
	pool := max(account.Total-limits.Floor*l.Agreement.MaxNodes, 0)
	fair := l.fairLevel(name, max(pool-limits.Reserve, 0))
	for i := range requests {
		response := responses[i]
		if response == nil {
			continue
		}
		lease := l.Holders[requests[i].Holder]
		target := l.grantTo(lease, name, pool, fair)
		if lease.Units[name] > 0 {
			response.Units[name] = lease.Units[name]
			response.Target[name] = target
		} else {
			delete(lease.Units, name)
		}
		response.Totals[name] = account.Total
	}
}

// grantTo raises a holder's units towards its target and returns the target. A target below the current units
// is the amount to which the holder should reduce them.
func (l *Ledger) grantTo(lease *Lease, name string, pool, fair int64) (target int64) {
	account, limits := l.Budgets[name], l.Agreement.limits(name)
	current, demand := lease.Units[name], lease.Demand[name]
	free := pool - account.Granted - account.CoolingDownTotal
	if current > 0 {
		free -= limits.Reserve // only for holders without any leased units
	}
	target = min(demand, max(fair, limits.Step))
	if target > current {
		worthwhile := target-current >= limits.Step || current == 0 || target == demand
		if free > 0 && worthwhile {
			granted := min(target-current, free)
			account.Granted += granted
			lease.Units[name] = current + granted
		}
		return target
	}
	// If leases followed each small change of demand, units would spend more time in cooldown than in use.
	if current-target < limits.Step && demand > 0 {
		target = current
	}
	return target
}

// fairLevel returns the max-min fair level: the largest level at which the sum of all demands, each capped at
// that level, fits into the pool.
func (l *Ledger) fairLevel(name string, pool int64) int64 {
	demands := make([]int64, 0, len(l.Holders))
	for _, lease := range l.Holders {
		demands = append(demands, lease.Demand[name])
	}
	slices.Sort(demands)
	for i, demand := range demands {
		level := pool / int64(len(demands)-i)
		if demand >= level {
			return level
		}
		pool -= demand
	}
	return math.MaxInt64 // all demands fit
}
