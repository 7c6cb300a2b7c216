// SPDX-License-Identifier: Apache-2.0

package budget

import "slices"

// roundingTolerance is below any amount that counts. Sums of fractions are not exact.
const roundingTolerance = 1e-9

// UsageMeter counts what one process sent in the latest window, by key: a server, a tenant, or empty where a budget is
// not counted by any. Amounts are units or fractions of them.
type UsageMeter struct {
	window     int64 // nanoseconds
	usages     map[string][]*Usage
	rejections int     // since PeakDemand was called last
	peak       float64 // the same
}

// Usage is one send, from its reservation on.
type Usage struct {
	key    string
	amount float64
	sentAt int64 // 0: not sent yet
}

// Key returns what the usage is counted by.
func (u *Usage) Key() string { return u.key }

// NewUsageMeter returns a meter over a budget's window, longer by the clock margin as this node's clock may be fast.
func NewUsageMeter(agreement *Agreement, budget string) *UsageMeter {
	window := agreement.withMargin(agreement.limits(budget).Window)
	return &UsageMeter{window: window, usages: map[string][]*Usage{}}
}

// Used returns what counts for a key now: what was reserved, and what was sent within the window.
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

// remove drops the usages of a key that a condition holds for.
func (m *UsageMeter) remove(key string, condition func(*Usage) bool) {
	m.usages[key] = slices.DeleteFunc(m.usages[key], condition)
	if len(m.usages[key]) == 0 {
		delete(m.usages, key)
	}
}

// Reserve reserves an amount for a send, given the units that the process may use now. It returns nil if they don't
// suffice.
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

// RecordRejected counts that an amount more could have been used, though none was tried to be reserved.
func (m *UsageMeter) RecordRejected(key string, amount float64, now int64) {
	m.rejections++
	m.peak = max(m.peak, m.Used(key, now)+amount)
}

// Send reports whether a reserved amount may be sent at this moment, given the units that the process may use now. The
// process may have been stopped since it reserved, so that its lease expired or was reduced. The window counts from
// here.
func (m *UsageMeter) Send(u *Usage, units int64, now int64) bool {
	if m.Used(u.key, now) > float64(units)+roundingTolerance {
		return false
	}
	u.sentAt = now
	return true
}

// Record counts a send that was not reserved.
func (m *UsageMeter) Record(key string, amount float64, now int64) {
	m.usages[key] = append(m.usages[key], &Usage{key: key, amount: amount, sentAt: now})
}

// Cancel gives back what was reserved and not sent. What was sent counts until its window is over.
func (m *UsageMeter) Cancel(u *Usage) {
	if u.sentAt == 0 {
		m.Release(u)
	}
}

// Release gives back what is known to have ended, for a budget that counts what is in flight. Where the end is never
// learned of, a usage counts for the window, which nothing in flight outlasts.
func (m *UsageMeter) Release(u *Usage) {
	m.remove(u.key, func(other *Usage) bool { return other == u })
}

// PeakDemand returns the most that was used or asked for by any one key since the last call, and whether some was
// rejected.
func (m *UsageMeter) PeakDemand(now int64) (peak float64, rejected bool) {
	peak = max(m.peak, m.Peak(now))
	rejected = m.rejections > 0
	m.peak = 0
	m.rejections = 0
	return peak, rejected
}

// Peak returns the most that counts now for any one key.
func (m *UsageMeter) Peak(now int64) float64 {
	peak := 0.0
	for key := range m.usages {
		peak = max(peak, m.Used(key, now))
	}
	return peak
}
