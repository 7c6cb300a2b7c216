// SPDX-License-Identifier: Apache-2.0

package budget

import "slices"

// Meter counts what one process sent in the latest window, by what it was sent to. Amounts are parts of units.
type Meter struct {
	window int64
	uses   map[string][]*Use
	refuse int64 // refused since it was last asked
	peak   float64
}

// Use is one sending, from the decision on.
type Use struct {
	key    string
	amount float64
	sent   int64 // 0: not yet
}

// NewMeter counts over the window of the budget, by the pact's margin longer: this node's clock may be fast.
func NewMeter(pact *Agreement, budget string) *Meter {
	return &Meter{window: pact.stretched(pact.terms(budget).Window), uses: map[string][]*Use{}}
}

// Used is what counts now.
func (m *Meter) Used(key string, now int64) (sum float64) {
	uses := m.uses[key]
	if len(uses) == 0 {
		return 0
	}
	uses = slices.DeleteFunc(uses, func(u *Use) bool { return u.sent != 0 && now-u.sent >= m.window })
	if m.uses[key] = uses; len(uses) == 0 {
		delete(m.uses, key)
	}
	for _, u := range uses {
		sum += u.amount
	}
	return sum
}

// slip is under any unit that counts; sums of parts are not exact.
const slip = 1e-9

// Reserve takes room for a sending that was decided on; nil: there is none. What counts is the sending.
func (m *Meter) Reserve(key string, amount float64, have int64, now int64) *Use {
	used := m.Used(key, now)
	m.peak = max(m.peak, used+amount)
	if used+amount > float64(have)+slip {
		m.refuse++
		return nil
	}
	u := &Use{key: key, amount: amount}
	m.uses[key] = append(m.uses[key], u)
	return u
}

// Miss notes that more could have been used, though nothing was tried.
func (m *Meter) Miss(key string, amount float64, now int64) {
	m.refuse++
	m.peak = max(m.peak, m.Used(key, now)+amount)
}

// Send says whether what was reserved may go out at this moment; the window counts from it.
// Danger: the process was stopped since it decided, and its lease ran out, or came down.
func (m *Meter) Send(u *Use, have int64, now int64) bool {
	if m.Used(u.key, now) > float64(have)+slip {
		return false
	}
	u.sent = now
	return true
}

// Note counts a sending that needs no room.
func (m *Meter) Note(key string, amount float64, now int64) {
	m.uses[key] = append(m.uses[key], &Use{key, amount, now})
}

// Void gives room back for what never left. What was sent counts for its window.
func (m *Meter) Void(u *Use) {
	if u.sent != 0 {
		return
	}
	m.Over(u)
}

// Over gives room back for what is known to have ended, of a budget that counts what is out: a unit is in use until then, or for
// the window, which nothing outlasts, where the end is never heard of.
func (m *Meter) Over(u *Use) {
	m.uses[u.key] = slices.DeleteFunc(m.uses[u.key], func(x *Use) bool { return x == u })
	if len(m.uses[u.key]) == 0 {
		delete(m.uses, u.key)
	}
}

// Demand is the most that was used or asked for by any one key since the last call, and whether some was refused.
func (m *Meter) Demand(now int64) (peak float64, refused bool) {
	for key := range m.uses {
		m.peak = max(m.peak, m.Used(key, now))
	}
	peak, refused = m.peak, m.refuse > 0
	m.peak, m.refuse = 0, 0
	return peak, refused
}

// Key is what a sending goes to.
func (u *Use) Key() string { return u.key }

// Most is the most that counts now for any one key.
func (m *Meter) Most(now int64) (most float64) {
	for key := range m.uses {
		most = max(most, m.Used(key, now))
	}
	return most
}
