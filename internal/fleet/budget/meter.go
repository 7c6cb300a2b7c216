// SPDX-License-Identifier: Apache-2.0

package budget

import "slices"

// UsageMeter counts what one process sent in the latest window, by what it was sent to. Amounts are parts of units.
type UsageMeter struct {
	window     int64
	usages     map[string][]*Usage
	rejections int64 // refused since it was last asked
	peak       float64
}

// Usage is one sending, from the decision on.
type Usage struct {
	key    string
	amount float64
	sentAt int64 // 0: not yet
}

// NewUsageMeter counts over the window of the budget, by the pact's margin longer: this node's clock may be fast.
func NewUsageMeter(pact *Agreement, budget string) *UsageMeter {
	return &UsageMeter{window: pact.withMargin(pact.limits(budget).Window), usages: map[string][]*Usage{}}
}

// Used is what counts now.
func (m *UsageMeter) Used(key string, now int64) (sum float64) {
	uses := m.usages[key]
	if len(uses) == 0 {
		return 0
	}
	uses = slices.DeleteFunc(uses, func(u *Usage) bool { return u.sentAt != 0 && now-u.sentAt >= m.window })
	if m.usages[key] = uses; len(uses) == 0 {
		delete(m.usages, key)
	}
	for _, u := range uses {
		sum += u.amount
	}
	return sum
}

// roundingTolerance is under any unit that counts; sums of parts are not exact.
const roundingTolerance = 1e-9

// Reserve takes room for a sending that was decided on; nil: there is none. What counts is the sending.
func (m *UsageMeter) Reserve(key string, amount float64, have int64, now int64) *Usage {
	used := m.Used(key, now)
	m.peak = max(m.peak, used+amount)
	if used+amount > float64(have)+roundingTolerance {
		m.rejections++
		return nil
	}
	u := &Usage{key: key, amount: amount}
	m.usages[key] = append(m.usages[key], u)
	return u
}

// RecordRejected notes that more could have been used, though nothing was tried.
func (m *UsageMeter) RecordRejected(key string, amount float64, now int64) {
	m.rejections++
	m.peak = max(m.peak, m.Used(key, now)+amount)
}

// Send says whether what was reserved may go out at this moment; the window counts from it.
// Danger: the process was stopped since it decided, and its lease ran out, or came down.
func (m *UsageMeter) Send(u *Usage, have int64, now int64) bool {
	if m.Used(u.key, now) > float64(have)+roundingTolerance {
		return false
	}
	u.sentAt = now
	return true
}

// Record counts a sending that needs no room.
func (m *UsageMeter) Record(key string, amount float64, now int64) {
	m.usages[key] = append(m.usages[key], &Usage{key, amount, now})
}

// Cancel gives room back for what never left. What was sent counts for its window.
func (m *UsageMeter) Cancel(u *Usage) {
	if u.sentAt != 0 {
		return
	}
	m.Release(u)
}

// Release gives room back for what is known to have ended, of a budget that counts what is out: a unit is in use until then, or for
// the window, which nothing outlasts, where the end is never heard of.
func (m *UsageMeter) Release(u *Usage) {
	m.usages[u.key] = slices.DeleteFunc(m.usages[u.key], func(x *Usage) bool { return x == u })
	if len(m.usages[u.key]) == 0 {
		delete(m.usages, u.key)
	}
}

// PeakDemand is the most that was used or asked for by any one key since the last call, and whether some was refused.
func (m *UsageMeter) PeakDemand(now int64) (peak float64, refused bool) {
	for key := range m.usages {
		m.peak = max(m.peak, m.Used(key, now))
	}
	peak, refused = m.peak, m.rejections > 0
	m.peak, m.rejections = 0, 0
	return peak, refused
}

// Key is what a sending goes to.
func (u *Usage) Key() string { return u.key }

// Peak is the most that counts now for any one key.
func (m *UsageMeter) Peak(now int64) (most float64) {
	for key := range m.usages {
		most = max(most, m.Used(key, now))
	}
	return most
}
