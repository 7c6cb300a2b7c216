// SPDX-License-Identifier: Apache-2.0

package budget

import "slices"

// roundingTolerance, in units, absorbs rounding errors in sums of floating-point amounts. It is smaller than
// any amount that is charged.
const roundingTolerance = 1e-9

// UsageMeter measures the usage of one process in the latest window, by key. A key is a server, a tenant, or
// empty if a budget is not divided by key. Amounts are units or fractions of units.
type UsageMeter struct {
	window     int64 // nanoseconds
	usages     map[string][]*Usage
	rejections int     // since the last call of PeakDemand
	peak       float64 // since the last call of PeakDemand, in units
}

// Usage is the usage of one send, from its reservation until its window ends.
type Usage struct {
	key    string
	amount float64
	sentAt int64 // 0: not sent yet
}

// Key returns the key to which the usage is charged.
func (u *Usage) Key() string { return u.key }

// NewUsageMeter returns a meter with a budget's window. The window is extended by the clock margin, since
// this node's clock may be fast.
func NewUsageMeter(agreement *Agreement, budget string) *UsageMeter {
	window := agreement.withMargin(agreement.limits(budget).Window)
	return &UsageMeter{window: window, usages: map[string][]*Usage{}}
}

// Used returns the current usage of a key: reserved amounts and amounts sent within the window.
func (m *UsageMeter) Used(key string, now int64) float64 {
	if len(m.usages[key]) == 0 {
		return 0
	}
	m.remove(key, func(u *Usage) bool { return u.sentAt != 0 && now-u.sentAt >= m.window })
	sum := 0.0
	for _, u := range m.usages[key] {
		sum += u.amount
	}
	return sum
}

// remove removes the usages of a key that satisfy a condition.
func (m *UsageMeter) remove(key string, condition func(*Usage) bool) {
	m.usages[key] = slices.DeleteFunc(m.usages[key], condition)
	if len(m.usages[key]) == 0 {
		delete(m.usages, key)
	}
}

// Reserve reserves an amount for a send. units are the units that the process may use now. Reserve returns
// nil if they do not cover the amount.
func (m *UsageMeter) Reserve(key string, amount float64, units int64, now int64) *Usage {
	used := m.Used(key, now)
	m.peak = max(m.peak, used+amount)
	if used+amount > float64(units)+roundingTolerance {
		m.rejections++
		return nil
	}
	u := &Usage{key: key, amount: amount}
	m.usages[key] = append(m.usages[key], u)
	return u
}

// RecordRejected records unmet demand for an amount that was rejected without a call of Reserve.
func (m *UsageMeter) RecordRejected(key string, amount float64, now int64) {
	m.rejections++
	m.peak = max(m.peak, m.Used(key, now)+amount)
}

// Send reports whether a reserved amount may be sent now, given the units that the process may use now. The
// process may have been paused since the reservation, so that its lease expired or was reduced. The usage's
// window begins with this call.
func (m *UsageMeter) Send(u *Usage, units int64, now int64) bool {
	if m.Used(u.key, now) > float64(units)+roundingTolerance {
		return false
	}
	u.sentAt = now
	return true
}

// Record records a send without a reservation.
func (m *UsageMeter) Record(key string, amount float64, now int64) {
	m.usages[key] = append(m.usages[key], &Usage{key: key, amount: amount, sentAt: now})
}

// Cancel releases an amount that was reserved and not sent. A sent amount counts until its window ends.
func (m *UsageMeter) Cancel(u *Usage) {
	if u.sentAt == 0 {
		m.Release(u)
	}
}

// Release removes a usage whose attempt has ended, for budgets that limit attempts in flight. If the end is
// never observed, the usage counts for the window, which no attempt in flight outlasts.
func (m *UsageMeter) Release(u *Usage) {
	m.remove(u.key, func(other *Usage) bool { return other == u })
}

// PeakDemand returns the highest usage or demand of any single key since the last call, and whether any
// demand was rejected.
func (m *UsageMeter) PeakDemand(now int64) (peak float64, rejected bool) {
	peak = max(m.peak, m.Peak(now))
	rejected = m.rejections > 0
	m.peak = 0
	m.rejections = 0
	return peak, rejected
}

// Peak returns the highest current usage of any single key.
func (m *UsageMeter) Peak(now int64) float64 {
	peak := 0.0
	for key := range m.usages {
		peak = max(peak, m.Used(key, now))
	}
	return peak
}
