// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"testing"
)

// TestFirstPollsAreSpread: nodes that start together, each with a list to go by, do not ask for news together,
// and leave half of the drain's grace for the answer where news counts as told at once; one that has no list
// asks at once.
func TestFirstPollsAreSpread(t *testing.T) {
	for _, within := range []int64{0, 8e9} {
		h := newCluster(4, 80, 1)
		h.settings.UnpolledEventAge, h.settings.DrainGrace = within, 2e9
		bound := within + 1e9
		var per [8]int
		for _, node := range h.nodes {
			node.timers, node.d.settings = nil, h.settings
			node.d.StartPolling()
			if after := node.timers[0].at - h.now; after >= bound {
				t.Fatalf("a call after %d ms, %d at most", after/1e6, bound/1e6)
			}
			per[(node.timers[0].at-h.now)*8/bound]++
		}
		if slices.Max(per[:]) > 20 || slices.Min(per[:]) == 0 {
			t.Errorf("calls in each eighth of the time: %v", per)
		}
	}
	w := newHarness(t, 1, testSettings())
	if w.d.StartPolling(); w.timers[0].at > w.now+1 {
		t.Error("a node without a list waits before it asks")
	}
}

// TestFailedPollsAreSpread: nodes whose polls failed together do not ask again together, and the longer that
// goes on the seldomer; a list that comes starts it over. An overloaded discovery service that sixty nodes ask
// again too soon would serve none of them. A node that asks too late would send requests to servers that drain.
func TestFailedPollsAreSpread(t *testing.T) {
	for _, c := range []struct{ within, spent, bound int64 }{
		{0, 0, 1e9}, {0, 1e8, 1e9}, {0, 2e9, 4e9}, {0, 4e9, 2e9}, {8e9, 0, 8e9},
	} {
		h := newCluster(3, 80, 1)
		h.settings.UnpolledEventAge, h.settings.DrainGrace = c.within, 2e9
		most := func(rounds int) (n int, last int64) {
			var per [16]int
			for _, node := range h.nodes {
				node.timers, node.d.settings = nil, h.settings
				for range rounds {
					node.d.PollFailed(c.spent, c.spent)
				}
				last = max(last, node.timers[rounds-1].at-h.now)
				per[min((node.timers[rounds-1].at-h.now)*16/c.bound, 15)]++
			}
			return slices.Max(per[:]), last
		}
		if _, last := most(1); last > c.bound/2 || c.within == 0 && last > 5e8 {
			t.Errorf("%+v: the last after %d ms", c, last/1e6)
		}
		if later, last := most(6); later > 25 || last > c.bound || last < c.bound/2 {
			t.Errorf("%+v: then %d, the last after %d ms", c, later, last/1e6)
		}
		for _, node := range h.nodes {
			node.updateEndpoints()
		}
		if first, last := most(1); last > c.bound/2 || c.within == 0 && last > 5e8 || c.spent == 0 && first > 35 {
			t.Errorf("%+v, after a list: the last after %d ms, %d of 80 in a sixteenth of the time", c, last/1e6, first)
		}
	}
}

// TestPollsWaitForQuota: a poll that has no share waits for one, and goes out without when news would lie
// longer than the rules allow. Without one the node would go on sending to servers that drain.
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
		call func()
		most int64
	}{{w.d.PollSucceeded, 1e9}, {func() { w.d.PollFailed(0, 0) }, 75e7}, {w.d.StartPolling, 1e9}} {
		for _, denied := range []int64{0, 3e8, 9e9} {
			s.denied[BudgetPolls] = denied > 0
			began, before := w.now, actions.polls
			step.call()
			for actions.polls == before && w.now-began < 2e9 {
				w.advance(settings.Tick)
				s.denied[BudgetPolls] = w.now-began < denied
			}
			took := w.now - began
			tooSoon := denied < step.most && took < denied || denied > step.most && took < step.most
			if tooSoon || took > step.most+2*settings.Tick {
				t.Errorf("denied for %d ms, called after %d, at most %d", denied/1e6, took/1e6, step.most/1e6)
			}
			if w.advance(2e9); actions.polls != before+1 {
				t.Errorf("%d calls for one", actions.polls-before)
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
