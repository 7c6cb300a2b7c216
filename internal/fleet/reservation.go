// SPDX-License-Identifier: Apache-2.0

package fleet

import "fernrail/internal/fleet/budget"

// Reservation is what one send takes of several budgets. The zero value takes nothing.
type Reservation struct {
	fleet          *Fleet // nil while nothing is taken
	isFirstAttempt bool
	usages         []reservedUsage
}

type reservedUsage struct {
	quota *quota
	name  string // of the quota
	usage *budget.Usage
}

// Reserve takes units of one more budget for a key. It returns false if there are too few left: nothing may be sent
// then.
func (r *Reservation) Reserve(f *Fleet, budgetName, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name, q := f.quota(budgetName, key)
	if q == nil {
		return true
	}
	r.fleet = f
	now := f.clock()
	usage := q.meter.Reserve(key, units, f.holder.Units(name, now), now)
	if usage == nil {
		f.hurryRequest()
		return false
	}
	r.usages = append(r.usages, reservedUsage{quota: q, name: name, usage: usage})
	return true
}

// CountFirstAttempt has the send counted as the first attempt of a request. The total of retries may be a ratio of
// these.
func (r *Reservation) CountFirstAttempt(f *Fleet) {
	r.fleet = f
	r.isFirstAttempt = true
}

// MaySend reports whether the leases still cover what was reserved at this very moment. If they do, the caller sends
// and then calls Sent.
func (r *Reservation) MaySend() bool {
	f := r.fleet
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, u := range r.usages {
		if !u.quota.meter.Send(u.usage, f.holder.Units(u.name, now), now) {
			u.quota.heldBack++
			return false
		}
	}
	for _, u := range r.usages {
		u.quota.sent++
	}
	if r.isFirstAttempt {
		f.firstAttempts.Record("", 1, now)
	}
	return true
}

// Sent counts the budgets whose lease had expired by the time the write was over. A process can be stopped between any
// two of its steps, so that MaySend can't rule that out.
func (r *Reservation) Sent() {
	f := r.fleet
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	expired := now >= f.holder.LeaseExpiry()
	for _, u := range r.usages {
		covered := u.quota.meter.Used(u.usage.Key(), now) <= float64(f.holder.Units(u.name, now))
		if expired && !covered {
			u.quota.sentAfterExpiry++
		}
	}
}

// Release gives back what was reserved and never sent. over says that what was sent is known to have ended, so that the
// tenant's attempts in flight are given back as well. All else that was sent counts until its window is over.
func (r *Reservation) Release(over bool) {
	f := r.fleet
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range r.usages {
		u.quota.meter.Cancel(u.usage)
		if over && f.isTenantQuota(u.name, u.usage.Key()) {
			u.quota.meter.Release(u.usage)
		}
	}
	r.usages = nil
}
