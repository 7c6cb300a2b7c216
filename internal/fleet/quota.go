// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/fleet/budget"
)

// quota is what this node has of one budget, and what it did with it.
type quota struct {
	limits          budget.Limits
	meter           *budget.UsageMeter
	total           int64 // as last heard
	sent            int64 // counted at the sending
	heldBack        int64 // held back there: the lease had run out, or had come down
	sentAfterExpiry int64 // gone out, though the lease had run out once the write was over, or since it could not wait
}

// Allow says whether this node may use so many units more now; it may where the budget is not held together.
func (f *Fleet) Allow(name, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return true
	}
	now := f.clock()
	if s.meter.Used(key, now)+units <= float64(f.holder.Units(name, now)) {
		return true
	}
	s.meter.RecordRejected(key, units, now)
	f.hurryRequest()
	return false
}

// Quota is what this node has of all there is now; one where the budget is not held together.
func (f *Fleet) Quota(name, key string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return 1
	}
	return float64(f.holder.Units(name, f.clock())) / float64(s.limits.Total)
}

// quotaName is the one of a budget that a key falls to.
func (f *Fleet) quotaName(budget, key string) string {
	if f.cfg.Agreement.Budgets[budget].Partitions <= 1 {
		return budget
	}
	return f.cfg.Agreement.PartitionName(budget, dispatch.HashName(key))
}

// Total is what all nodes have of a budget, by the pact.
func (f *Fleet) Total(name string) float64 { return float64(f.cfg.Agreement.Budgets[name].Total) }

// SetTotal has the seats agree on another whole. A lowered one waits for what is out.
func (f *Fleet) SetTotal(name string, units int64) error {
	if _, is := f.cfg.Agreement.Budgets[name]; !is {
		return fmt.Errorf("no budget is called %.40q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := errNotLeader
	for _, s := range f.cfg.Voters {
		var done map[string]int64
		switch fault := f.client.post(ctx, s.Address, "/whole", map[string]int64{name: units}, &done); {
		case fault == nil:
			return nil
		case errors.Is(err, errNotLeader): // what the granter says counts, not that others don't grant
			err = fault
		}
	}
	return err
}

// RecordOverrun counts a sending that could not wait for its share, and that it did not.
func (f *Fleet) RecordOverrun(name, key string, units float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.quotas[f.quotaName(name, key)]; s != nil {
		s.meter.Record(key, units, f.clock())
		s.sentAfterExpiry++
	}
}
