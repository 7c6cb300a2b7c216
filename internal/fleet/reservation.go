// SPDX-License-Identifier: Apache-2.0

package fleet

import "fernrail/internal/fleet/budget"

// Reservation is the set of units that one send reserves, from any number of budgets. The zero value reserves
// nothing.
type Reservation struct {
	fleet          *Fleet // nil while nothing is reserved
	isFirstAttempt bool
	usages         []reservedUsage
}

type reservedUsage struct {
	quota *quota
	name  string // of the quota
	usage *budget.Usage
}

// Reserve reserves units of a further budget for a key. It returns false if too few units remain; the caller
// must not send then.
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
		f.requestEarly()
		return false
	}
	r.usages = append(r.usages, reservedUsage{quota: q, name: name, usage: usage})
	return true
}

// CountFirstAttempt marks the send as the first attempt of a request. The total of the retry budget may be a
// ratio of first attempts.
func (r *Reservation) CountFirstAttempt(f *Fleet) {
	r.fleet = f
	r.isFirstAttempt = true
}

// MaySend reports whether the leases still cover the reserved units now. If they do, the caller sends and
// then calls Sent.
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
			u.quota.blocked++
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

// Sent counts the budgets whose lease expired before the write ended. MaySend can't rule this out, since a
// process can be paused between any two instructions.
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

// Release releases reserved units that were not sent. If over is true, the sent attempt has ended, and the
// tenant's attempt in flight is released as well. All other sent units count until their window ends.
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
