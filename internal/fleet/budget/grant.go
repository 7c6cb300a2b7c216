// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"math"
	"slices"
)

// grant gives units of one budget to the holders whose requests are due a response, in order, as far as there are free
// units and fairness allows.
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

// grantTo raises a holder's units towards its target, and returns the target: what it should have, or come down to.
func (l *Ledger) grantTo(lease *Lease, name string, pool, fair int64) (target int64) {
	account, limits := l.Budgets[name], l.Agreement.limits(name)
	held, demand := lease.Units[name], lease.Demand[name]
	free := pool - account.Granted - account.CoolingDownTotal
	if held > 0 {
		free -= limits.Reserve // is for holders that have nothing yet
	}
	target = min(demand, max(fair, limits.Step))
	if target > held {
		worthwhile := target-held >= limits.Step || held == 0 || target == demand
		if free > 0 && worthwhile {
			granted := min(target-held, free)
			account.Granted += granted
			lease.Units[name] = held + granted
		}
		return target
	}
	// Leases that followed each small change of demand would spend more time in cooldowns than in use.
	if held-target < limits.Step && demand > 0 {
		target = held
	}
	return target
}

// fairLevel returns the max-min fair level: the most that each holder gets so that the sum of all demands, each cut at
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
