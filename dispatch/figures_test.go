// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestServerCounts: what drains and the outliers are left out, but outliers count again once none else remains.
func TestServerCounts(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(6, false)
	check := func(want int) {
		t.Helper()
		if known, excluded := w.d.ServerCounts(); known != 6 || excluded != want {
			t.Errorf("%d known, %d excluded, want %d", known, excluded, want)
		}
	}
	check(0)
	w.endpoints[0].State = Draining
	w.updateEndpoints(true)
	check(1)
	for i, want := range []int{2, 3, 4, 5, 1} {
		server := w.endpoints[1+i].Server
		server.reliability = reliability{minReliability / 2, w.now}
		check(want)
	}
	w.advance(10 * decayTime)
	check(1)
}

// TestSlowStartOwner: without this node's part of the budget nothing goes to the cold, and one that takes it
// over uses it from the next turn on; in the present one another process may have sent all of it.
func TestSlowStartOwner(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.SlowStart = 1, 100e9
	w := newHarness(t, 1, settings)
	w.addServers(1, false)
	w.endpoints[0].StartedAt = w.now
	w.updateEndpoints(true)
	sent := func() int { return len(w.slowStartWork[w.endpoints[0].Server]) }
	turn := settings.OverloadWindow / turnsPerWindow
	w.advance(8 * turn)
	w.d.SetSlowStartOwner(false)
	within := func(span int64) (count int) {
		before := sent()
		for end := w.now + span; w.now < end; w.advance(2e7) {
			w.arrive(0, 1, 2e7, 4e8)
			w.completeAll()
			for len(w.open) > 0 {
				w.endAttempt(w.open[0], Succeeded)
			}
		}
		return sent() - before
	}
	if n := within(8*turn + turn/4); n > 0 {
		t.Errorf("%d sent on another process's budget", n)
	}
	w.d.SetSlowStartOwner(true)
	if n := within(turn / 2); n > 0 {
		t.Errorf("%d sent right after the budget was taken over", n)
	}
	if within(2*turn) == 0 {
		t.Error("the budget is not used")
	}
}
