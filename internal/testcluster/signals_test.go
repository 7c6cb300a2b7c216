// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"
)

// wary is a fleet whose nodes tell each other of executors, or do not.
func wary(t *testing.T, nodes int, told bool, pause time.Duration) *busy {
	plan := fleetPlan(nodes, 3, 12)
	plan.Gossip = true
	plan.Settings["Limits"].(map[string]any)["IdleClose"] = 1_000_000
	delete(plan.Fleet["budgets"].(map[string]any), "connect")
	if told {
		plan.Fleet["signals"] = map[string]any{"quorum": 3}
	}
	b := started(t, plan)
	b.Until("all know all", 2*soon, func() bool {
		for _, n := range b.Nodes {
			f := figures(n)
			if f == nil || len(f.Members) != nodes {
				return false
			}
		}
		return true
	})
	for _, n := range b.Nodes {
		b.ends = append(b.ends, n.Load("job", "/look", 1, pause, time.Second))
	}
	b.Pass(2 * time.Second)
	return b
}

// TestSignals: an executor that fails all is left by all nodes after few jobs, since those that it failed tell the others; one
// node to which it is well does not keep the others at it. Well again it is used by all within seconds.
func TestSignals(t *testing.T) {
	beside(t)
	const nodes = 8
	wasted := map[bool]int{}
	for _, told := range []bool{false, true} {
		b := wary(t, nodes, told, 50*time.Millisecond)
		bad, friend := b.Executors[3], b.Nodes[7].Name
		bad.Shun(func(node string) bool { return node != friend })
		since := b.Now()
		b.Pass(8 * time.Second)
		wasted[told] = b.Sent(bad, since, friend)
		if told && b.Sent(bad, since, "") == wasted[told] {
			t.Error("the node to which it is well left it")
		}
		bad.Shun(nil)
		since = b.Now()
		t.Logf("told: %v: %d jobs wasted in 8 s; used by all again after %v", told, wasted[told], b.Until("all use it again", 4*soon, func() bool {
			for _, n := range b.Nodes {
				if !b.From(n, since)[bad] {
					return false
				}
			}
			return true
		}))
		for i, statuses := range b.each() {
			if statuses[0] > 0 || statuses[200] < 50 {
				t.Errorf("%s: answers %v", b.Nodes[i].Name, statuses)
			}
		}
		b.stop()
	}
	if wasted[true] > wasted[false]/2 {
		t.Errorf("%d jobs wasted, %d untold", wasted[true], wasted[false])
	}
}

// TestLiar: a node on whose links all executors fail says so of all of them, truly as it seems to it. No other node leaves any.
func TestLiar(t *testing.T) {
	beside(t)
	b := wary(t, 6, true, 25*time.Millisecond)
	liar := b.Nodes[5].Name
	for _, e := range b.Executors {
		e.Shun(func(node string) bool { return node == liar })
	}
	since := b.Now()
	// Danger: on a busy machine four seconds are not the jobs that the verdict wants; both are waited for.
	all, least := 0, 0
	b.Until("jobs by the others", 8*time.Second, func() bool {
		all, least = 0, 1<<30
		for _, e := range b.Executors {
			n := b.Sent(e, since, liar)
			all, least = all+n, min(least, n)
		}
		return all >= 300 && b.Now()-since >= int64(4*time.Second)
	})
	t.Logf("%d jobs by the others, %d at the executor that had the fewest", all, least)
	if mean := all / len(b.Executors); least < mean/2 {
		t.Errorf("an executor had %d jobs of the others, the mean is %d", least, mean)
	}
	if f := figures(b.Nodes[0]); f == nil || f.Outliers == nil || len(f.Outliers.Scores) > 0 {
		t.Errorf("the others are told: %+v", f.Outliers)
	}
	b.end()
}
