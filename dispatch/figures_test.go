// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestFigures: what drains and the sick are left out, but the sick count again once none else remains.
func TestFigures(t *testing.T) {
	w := newWorld(t, 1, basicTerms())
	w.join(6, false)
	check := func(want int) {
		t.Helper()
		if known, excluded := w.d.ServerCounts(); known != 6 || excluded != want {
			t.Errorf("%d known, %d excluded, want %d", known, excluded, want)
		}
	}
	check(0)
	w.fleet[0].State = Draining
	w.list(true)
	check(1)
	for i, want := range []int{2, 3, 4, 5, 1} {
		server := w.fleet[1+i].Server
		server.reliability = reliability{minReliability / 2, w.now}
		check(want)
	}
	w.pass(10 * decayTime)
	check(1)
}

// TestBudgetOfOneProcess: without this node's part of the budget nothing goes to the cold, and one that takes it over
// uses it from the next turn on; in the present one another process may have sent all of it.
func TestBudgetOfOneProcess(t *testing.T) {
	terms := basicTerms()
	terms.Nodes, terms.SlowStart = 1, 100e9
	w := newWorld(t, 1, terms)
	w.join(1, false)
	w.fleet[0].StartedAt = w.now
	w.list(true)
	sent := func() int { return len(w.coldWork[w.fleet[0].Server]) }
	turn := terms.OverloadWindow / turnsPerWindow
	w.pass(8 * turn)
	w.d.SetSlowStartOwner(false)
	within := func(span int64) (count int) {
		before := sent()
		for end := w.now + span; w.now < end; w.pass(2e7) {
			w.arrive(0, 1, 2e7, 4e8)
			w.settle()
			for len(w.open) > 0 {
				w.end(w.open[0], Succeeded)
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
