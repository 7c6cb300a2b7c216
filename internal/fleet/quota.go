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

// setTotalTimeout bounds an operator's change of a total, over all voters that are tried.
const setTotalTimeout = time.Second

// quota is what this node may use of one budget, or of one of its partitions, and what it used.
type quota struct {
	limits          budget.Limits
	meter           *budget.UsageMeter
	total           int64 // of all nodes, as last heard
	sent            int64 // sends that were charged
	heldBack        int64 // sends held back at the last moment, as the lease had expired or shrunk
	sentAfterExpiry int64 // sends whose lease had expired once the write was over, or that could not wait for one
}

// Allow reports whether this node may use some more units of a budget now. It may if the budget is not shared. key is
// what the units are used on: the name of a server or a tenant, or empty.
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
	f.hurryRequest()
	return false
}

// Quota returns the part of a budget's total that this node may use now, from 0 to 1; 1 if the budget is not shared.
func (f *Fleet) Quota(budgetName, key string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, q := f.quota(budgetName, key)
	if q == nil {
		return 1
	}
	return float64(f.holder.Units(name, f.clock())) / float64(q.limits.Total)
}

// quota returns the quota that a key falls to and its name; nil if the budget is not shared. The caller holds f.mu.
func (f *Fleet) quota(budgetName, key string) (name string, q *quota) {
	name = f.quotaName(budgetName, key)
	return name, f.quotas[name]
}

// quotaName returns the name of the quota that a key falls to.
func (f *Fleet) quotaName(budgetName, key string) string {
	if f.cfg.Agreement.Budgets[budgetName].Partitions <= 1 {
		return budgetName
	}
	return f.cfg.Agreement.PartitionName(budgetName, dispatch.HashName(key))
}

// Total returns what all nodes may use of a budget together, in units, as they agreed on beforehand.
func (f *Fleet) Total(budgetName string) float64 {
	return float64(f.cfg.Agreement.Budgets[budgetName].Total)
}

// SetTotal has the voters agree on another total, in units. A lower one takes effect as leases expire.
func (f *Fleet) SetTotal(budgetName string, units int64) error {
	if _, known := f.cfg.Agreement.Budgets[budgetName]; !known {
		return fmt.Errorf("no budget is called %.40q", budgetName)
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
		// What the leader says is the result, whatever the voters after it say.
		if errors.Is(result, errNotLeader) {
			result = err
		}
	}
	return result
}

// RecordOverrun counts a use of units that could not wait for a lease and went ahead without one.
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

// isTenantQuota reports whether a quota is the one of a tenant's attempts in flight.
func (f *Fleet) isTenantQuota(name, key string) bool {
	return name == f.quotaName(config.BudgetTenantAttempts, key)
}
