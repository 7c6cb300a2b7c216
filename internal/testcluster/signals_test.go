// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"
)

// startOutlierCluster is a fleet whose nodes tell each other of servers, or do not.
func startOutlierCluster(t *testing.T, nodes int, told bool, pause time.Duration) *loadedCluster {
	plan := fleetPlan(nodes, 3, 12)
	plan.Gossip = true
	plan.Settings["Limits"].(map[string]any)["IdleClose"] = 1_000_000
	delete(plan.Fleet["budgets"].(map[string]any), "connect")
	if told {
		plan.Fleet["signals"] = map[string]any{"quorum": 3}
	}
	b := startAll(t, plan)
	b.Until("all know all", 2*convergeTime, func() bool {
		for _, n := range b.Nodes {
			f := statusOf(n)
			if f == nil || len(f.Members) != nodes {
				return false
			}
		}
		return true
	})
	for _, n := range b.Nodes {
		b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look", 1, pause, time.Second))
	}
	b.RunFor(2 * time.Second)
	return b
}

// TestOutlierSignals: a server that fails all is left by all nodes after few jobs, since those that it failed tell the
// others; one node to which it is well does not keep the others at it. Well again it is used by all within seconds.
func TestOutlierSignals(t *testing.T) {
	runParallel(t)
	const nodes = 8
	wasted := map[bool]int{}
	for _, told := range []bool{false, true} {
		b := startOutlierCluster(t, nodes, told, 50*time.Millisecond)
		bad, friend := b.Servers[3], b.Nodes[7].Name
		bad.AbortJobsOf(func(node string) bool { return node != friend })
		since := b.Now()
		b.RunFor(8 * time.Second)
		wasted[told] = b.JobsNotFrom(bad, since, friend)
		if told && b.JobsNotFrom(bad, since, "") == wasted[told] {
			t.Error("the node to which it is well left it")
		}
		bad.AbortJobsOf(nil)
		since = b.Now()
		took := b.Until("all use it again", 4*convergeTime, func() bool {
			for _, n := range b.Nodes {
				if !b.ServersUsedBy(n, since)[bad] {
					return false
				}
			}
			return true
		})
		t.Logf("told: %v: %d jobs wasted in 8 s; used by all again after %v", told, wasted[told], took)
		for i, statuses := range b.stopLoadsEach() {
			if statuses[0] > 0 || statuses[200] < 50 {
				t.Errorf("%s: answers %v", b.Nodes[i].Name, statuses)
			}
		}
		b.killAll()
	}
	if wasted[true] > wasted[false]/2 {
		t.Errorf("%d jobs wasted, %d untold", wasted[true], wasted[false])
	}
}

// TestFalseReports: a node on whose links all servers fail says so of all of them, truly as it seems to it. No
// other node leaves any.
func TestFalseReports(t *testing.T) {
	runParallel(t)
	b := startOutlierCluster(t, 6, true, 25*time.Millisecond)
	liar := b.Nodes[5].Name
	for _, e := range b.Servers {
		e.AbortJobsOf(func(node string) bool { return node == liar })
	}
	since := b.Now()
	// On a busy machine four seconds do not bring the jobs that the verdict needs, so both are waited for.
	all, least := 0, 0
	b.Until("jobs by the others", 8*time.Second, func() bool {
		all, least = 0, 1<<30
		for _, e := range b.Servers {
			n := b.JobsNotFrom(e, since, liar)
			all, least = all+n, min(least, n)
		}
		return all >= 300 && b.Now()-since >= int64(4*time.Second)
	})
	t.Logf("%d jobs by the others, %d at the server that had the fewest", all, least)
	if mean := all / len(b.Servers); least < mean/2 {
		t.Errorf("a server had %d jobs of the others, the mean is %d", least, mean)
	}
	if f := statusOf(b.Nodes[0]); f == nil || f.Outliers == nil || len(f.Outliers.Scores) > 0 {
		t.Errorf("the others are told: %+v", f.Outliers)
	}
	b.stopLoadsTotal()
}
