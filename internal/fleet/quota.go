// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

// setTotalTimeout bounds an operator's change of a total, including the calls to all voters.
const setTotalTimeout = time.Second

// quota tracks this node's usage of one budget or partition, and the budget's limits.
type quota struct {
	limits          budget.Limits
	meter           *budget.UsageMeter
	total           int64 // of all nodes, from the latest response
	sent            int64 // number of charged sends
	blocked         int64 // sends prevented by the final check, since the lease had expired or been reduced
	sentAfterExpiry int64 // sends whose lease expired before the write ended, or that could not wait
}

// Allow reports whether this node may use the given units of a budget now. It returns true if the budget is
// not shared. key is the name of the server or tenant to which the units are charged, or empty.
func (f *Fleet) Allow(budgetName, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, q := f.quota(budgetName, key)
	if q == nil {
		return true
	}
	now := f.clock()
	if q.meter.Used(key, now)+units <= float64(f.holder.Units(name, now)) {
		return true
	}
	q.meter.RecordRejected(key, units, now)
	f.requestEarly()
	return false
}

// Quota returns the fraction of a budget's agreed total that this node may use now, from 0 to 1. It is 1 if
// the budget is not shared.
func (f *Fleet) Quota(budgetName, key string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, q := f.quota(budgetName, key)
	if q == nil {
		return 1
	}
	return float64(f.holder.Units(name, f.clock())) / float64(q.limits.Total)
}

// quota returns the quota to which a key is charged, and the quota's name. The quota is nil if the budget is
// not shared. The caller holds f.mu.
func (f *Fleet) quota(budgetName, key string) (name string, q *quota) {
	name = f.quotaName(budgetName, key)
	return name, f.quotas[name]
}

// quotaName returns the name of the quota to which a key is charged.
func (f *Fleet) quotaName(budgetName, key string) string {
	if f.cfg.Agreement.Budgets[budgetName].Partitions <= 1 {
		return budgetName
	}
	return f.cfg.Agreement.PartitionName(budgetName, dispatch.HashName(key))
}

// Total returns the agreed total of a budget for all nodes, in units.
func (f *Fleet) Total(budgetName string) float64 {
	return float64(f.cfg.Agreement.Budgets[budgetName].Total)
}

// SetTotal requests the leader to change a budget's total, in units. A lower total takes effect as leases
// expire.
func (f *Fleet) SetTotal(budgetName string, units int64) error {
	if _, known := f.cfg.Agreement.Budgets[budgetName]; !known {
		return fmt.Errorf("unknown budget %.40q", budgetName)
	}
	ctx, cancel := context.WithTimeout(context.Background(), setTotalTimeout)
	defer cancel()
	request := map[string]int64{budgetName: units}
	result := errNotLeader
	for _, peer := range f.cfg.Voters {
		var accepted map[string]int64
		err := f.client.post(ctx, peer.Address, setTotalPath, request, &accepted)
		if err == nil {
			return nil
		}
		// The leader's error is the result, regardless of the errors of later voters.
		if errors.Is(result, errNotLeader) {
			result = err
		}
	}
	return result
}

// RecordOverrun records units that were used without a lease, since their use could not be delayed.
func (f *Fleet) RecordOverrun(budgetName, key string, units float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, q := f.quota(budgetName, key)
	if q == nil {
		return
	}
	q.meter.Record(key, units, f.clock())
	q.sentAfterExpiry++
}

// isTenantQuota reports whether a quota limits a tenant's attempts in flight.
func (f *Fleet) isTenantQuota(name, key string) bool {
	return name == f.quotaName(config.BudgetTenantAttempts, key)
}
