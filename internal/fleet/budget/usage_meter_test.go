// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"testing"
)

// TestUsageMeter: usages count from when they are sent, over a sliding window; what was reserved and not sent is given
// back.
func TestUsageMeter(t *testing.T) {
	agreement := &Agreement{Budgets: map[string]Limits{"b": {Window: 99}}}
	m := NewUsageMeter(agreement, "b")
	first, second := m.Reserve("k", 1, 2, 0), m.Reserve("k", 1, 2, 0)
	if m.Reserve("k", 1, 2, 0) != nil || m.Reserve("other", 1, 2, 0) == nil {
		t.Error("a third of two units is reserved, or none for another key")
	}
	if !m.Send(first, 2, 50) || m.Send(second, 1, 50) {
		t.Error("a lease that was reduced in between still covers both")
	}
	m.Cancel(second)
	m.Cancel(first) // was sent, so it counts on
	if got := m.Used("k", 149); got != 1 {
		t.Errorf("%v used within the window", got)
	}
	if got := m.Used("k", 150); got != 0 {
		t.Errorf("%v used after it", got)
	}
	if late := m.Reserve("k", 1, 1, 200); m.Send(late, 0, 200) {
		t.Error("sent without a lease")
	}
}
