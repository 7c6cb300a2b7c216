// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"testing"
)

// TestFirstPollsAreSpread checks that nodes that start together with an endpoint list do not poll together,
// and that they leave half of the drain grace for the answer, as changes may count as notified at once. A
// node without a list polls at once.
func TestFirstPollsAreSpread(t *testing.T) {
	for _, unpolledEventAge := range []int64{0, 8e9} {
		h := newCluster(4, 80, 1)
		h.settings.UnpolledEventAge, h.settings.DrainGrace = unpolledEventAge, 2e9
		bound := unpolledEventAge + 1e9
		var counts [8]int
		for _, node := range h.nodes {
			node.timers, node.d.settings = nil, h.settings
			node.d.StartPolling()
			if after := node.timers[0].at - h.now; after >= bound {
				t.Fatalf("first poll after %d ms, want less than %d ms", after/1e6, bound/1e6)
			}
			counts[(node.timers[0].at-h.now)*8/bound]++
		}
		if slices.Max(counts[:]) > 20 || slices.Min(counts[:]) == 0 {
			t.Errorf("polls in each eighth of the time: %v, want 1 to 20 in each", counts)
		}
	}
	w := newHarness(t, 1, testSettings())
	if w.d.StartPolling(); w.timers[0].at > w.now+1 {
		t.Error("a node without a list does not poll at once")
	}
}

// TestFailedPollsAreSpread checks that nodes whose polls failed together do not poll again together, that
// they poll less often with each failure, and that an endpoint list resets this. An overloaded discovery
// service that sixty nodes poll too soon would answer none of them. A node that polls too late would send
// requests to draining servers.
func TestFailedPollsAreSpread(t *testing.T) {
	for _, c := range []struct{ unpolledEventAge, cost, bound int64 }{
		{0, 0, 1e9}, {0, 1e8, 1e9}, {0, 2e9, 4e9}, {0, 4e9, 2e9}, {8e9, 0, 8e9},
	} {
		h := newCluster(3, 80, 1)
		h.settings.UnpolledEventAge, h.settings.DrainGrace = c.unpolledEventAge, 2e9
		failPolls := func(rounds int) (n int, last int64) {
			var counts [16]int
			for _, node := range h.nodes {
				node.timers, node.d.settings = nil, h.settings
				for range rounds {
					node.d.PollFailed(c.cost, c.cost)
				}
				last = max(last, node.timers[rounds-1].at-h.now)
				counts[min((node.timers[rounds-1].at-h.now)*16/c.bound, 15)]++
			}
			return slices.Max(counts[:]), last
		}
		if _, last := failPolls(1); last > c.bound/2 || c.unpolledEventAge == 0 && last > 5e8 {
			t.Errorf(
				"%+v: last poll %d ms after one failure, want at most %d ms, and 500 ms without event age",
				c, last/1e6, c.bound/2e6)
		}
		if later, last := failPolls(6); later > 25 || last > c.bound || last < c.bound/2 {
			t.Errorf(
				"%+v: six failures: %d of 80 polls in one slot of %d ms, want at most 25; "+
					"last poll after %d ms, want %d to %d ms",
				c, later, c.bound/16e6, last/1e6, c.bound/2e6, c.bound/1e6)
		}
		for _, node := range h.nodes {
			node.updateEndpoints()
		}
		if first, last := failPolls(1); last > c.bound/2 || c.unpolledEventAge == 0 && last > 5e8 ||
			c.cost == 0 && first > 35 {
			t.Errorf(
				"%+v: last poll %d ms after a list, want at most %d ms, and 500 ms without event age; "+
					"%d of 80 polls in one slot of %d ms, want at most 35 without cost",
				c, last/1e6, c.bound/2e6, first, c.bound/16e6)
		}
	}
}

// TestPollsWaitForQuota checks that a poll without quota waits for it, and that it is sent without quota
// when changes could stay unread for longer than the rules allow. Otherwise the node would continue to send
// requests to draining servers.
func TestPollsWaitForQuota(t *testing.T) {
	settings := testSettings()
	settings.UnpolledEventAge, settings.MaxPollInterval, settings.DrainGrace = 1e9, 75e7, 0
	w := newHarness(t, 1, settings)
	s := &changingQuotas{harness: w}
	actions := &pollCounter{changingQuotas: s}
	settings.Quotas = s
	w.d = New(settings, 1, actions, w.now)
	w.addServers(4, false)
	for _, step := range []struct {
		call    func()
		maxWait int64
	}{{w.d.PollSucceeded, 1e9}, {func() { w.d.PollFailed(0, 0) }, 75e7}, {w.d.StartPolling, 1e9}} {
		for _, denied := range []int64{0, 3e8, 9e9} {
			s.denied[BudgetPolls] = denied > 0
			start, before := w.now, actions.polls
			step.call()
			for actions.polls == before && w.now-start < 2e9 {
				w.advance(settings.Tick)
				s.denied[BudgetPolls] = w.now-start < denied
			}
			took := w.now - start
			tooSoon := denied < step.maxWait && took < denied || denied > step.maxWait && took < step.maxWait
			if tooSoon || took > step.maxWait+2*settings.Tick {
				t.Errorf(
					"quota denied for %d ms: polled after %d ms, want after the denial but at most %d ms",
					denied/1e6, took/1e6, step.maxWait/1e6)
			}
			if w.advance(2e9); actions.polls != before+1 {
				t.Errorf("got %d polls within 2 s more, want 1 in total", actions.polls-before)
			}
		}
	}
}

// pollCounter counts polls.
type pollCounter struct {
	*changingQuotas
	polls int
}

func (w *pollCounter) PollEndpoints(bool) { w.polls++ }
