// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"testing"
)

// TestUsageMeter checks that a usage counts for a sliding window that begins when it is sent, and that a
// cancelled reservation frees its units.
func TestUsageMeter(t *testing.T) {
	agreement := &Agreement{Budgets: map[string]Limits{"b": {Window: 99}}}
	m := NewUsageMeter(agreement, "b")
	first, second := m.Reserve("k", 1, 2, 0), m.Reserve("k", 1, 2, 0)
	if m.Reserve("k", 1, 2, 0) != nil || m.Reserve("other", 1, 2, 0) == nil {
		t.Error("reserved 3 of 2 units for one key, or could not reserve 1 of 2 units for another key")
	}
	if !m.Send(first, 2, 50) || m.Send(second, 1, 50) {
		t.Error("lease reduced to 1 unit: the first send must be allowed and the second one rejected")
	}
	m.Cancel(second)
	m.Cancel(first) // has no effect, since it was sent
	if got := m.Used("k", 149); got != 1 {
		t.Errorf("usage within the window: got %v units, want 1", got)
	}
	if got := m.Used("k", 150); got != 0 {
		t.Errorf("usage after the window: got %v units, want 0", got)
	}
	if late := m.Reserve("k", 1, 1, 200); m.Send(late, 0, 200) {
		t.Error("send allowed with 0 units, want it rejected")
	}
}
