// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

// Reservation is what one sending takes of several budgets. The zero one is of none.
type Reservation struct {
	fleet          *Fleet
	isFirstAttempt bool
	usages         []reservedUsage
}

type reservedUsage struct {
	share *quota
	name  string
	use   *budget.Usage
}

// Reserve reserves units of one more budget; false: there are none left, and nothing may be sent.
func (c *Reservation) Reserve(f *Fleet, name, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return true
	}
	c.fleet = f
	now := f.clock()
	use := s.meter.Reserve(key, units, f.holder.Units(name, now), now)
	if use == nil {
		f.hurryRequest()
		return false
	}
	c.usages = append(c.usages, reservedUsage{s, name, use})
	return true
}

// CountFirstAttempt has the sending counted as a first posting, of which second ones may be a share.
func (c *Reservation) CountFirstAttempt(f *Fleet) { c.fleet, c.isFirstAttempt = f, true }

// MaySend says whether what was reserved may go out at this very moment. Sent has to be called once it has.
func (c *Reservation) MaySend() bool {
	if c.fleet == nil {
		return true
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, u := range c.usages {
		if !u.share.meter.Send(u.use, f.holder.Units(u.name, now), now) {
			u.share.heldBack++
			return false
		}
	}
	for _, u := range c.usages {
		u.share.sent++
	}
	if c.isFirstAttempt {
		f.firstAttempts.Record("", 1, now)
	}
	return true
}

// Sent counts what slipped: sent under a lease that had run out by the time the write was over. A process can be stopped
// between any two of its steps.
func (c *Reservation) Sent() {
	if c.fleet == nil {
		return
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, u := range c.usages {
		if u.share.meter.Used(u.use.Key(), now) > float64(f.holder.Units(u.name, now)) && now >= f.holder.LeaseExpiry() {
			u.share.sentAfterExpiry++
		}
	}
}

// Release gives back what never left; over says that what was sent is known to have ended, so that jobs in flight are given back
// as well. What else was sent counts for its window.
func (c *Reservation) Release(over bool) {
	if c.fleet == nil {
		return
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, u := range c.usages {
		if u.share.meter.Cancel(u.use); over && u.name == c.fleet.quotaName(config.BudgetTenantAttempts, u.use.Key()) {
			u.share.meter.Release(u.use)
		}
	}
	c.usages = nil
}
