// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"
)

// startOutlierCluster starts a cluster under load whose nodes share outlier signals by gossip, or don't.
func startOutlierCluster(t *testing.T, nodes int, shareSignals bool, pause time.Duration) *loadedCluster {
	plan := fleetPlan(nodes, 3, 12)
	plan.Gossip = true
	plan.Settings["Limits"].(map[string]any)["IdleClose"] = 1_000_000
	delete(plan.Fleet["budgets"].(map[string]any), "connect")
	if shareSignals {
		plan.Fleet["signals"] = map[string]any{"quorum": 3}
	}
	c := startAll(t, plan)
	c.Until("all nodes list all members", 2*convergeTime, func() bool {
		for _, n := range c.Nodes {
			f := statusOf(n)
			if f == nil || len(f.Members) != nodes {
				return false
			}
		}
		return true
	})
	for _, n := range c.Nodes {
		c.stopLoads = append(c.stopLoads, n.StartLoad("job", "/look", 1, pause, time.Second))
	}
	c.RunFor(2 * time.Second)
	return c
}

// TestOutlierSignals makes a server fail the jobs of all nodes except one. The other nodes must stop using
// it after few jobs, since they share outlier signals; the one node with successful jobs must not prevent
// this. Once the server works again, all nodes must use it within seconds.
func TestOutlierSignals(t *testing.T) {
	runParallel(t)
	const nodes = 8
	wasted := map[bool]int{}
	for _, shareSignals := range []bool{false, true} {
		c := startOutlierCluster(t, nodes, shareSignals, 50*time.Millisecond)
		faulty, unaffected := c.Servers[3], c.Nodes[7].Name
		faulty.AbortJobsOf(func(node string) bool { return node != unaffected })
		since := c.Now()
		c.RunFor(8 * time.Second)
		wasted[shareSignals] = c.JobsNotFrom(faulty, since, unaffected)
		if shareSignals && c.JobsNotFrom(faulty, since, "") == wasted[shareSignals] {
			t.Error("the unaffected node stopped using the server, want it to continue")
		}
		faulty.AbortJobsOf(nil)
		since = c.Now()
		took := c.Until("all nodes use the server again", 4*convergeTime, func() bool {
			for _, n := range c.Nodes {
				if !c.ServersUsedBy(n, since)[faulty] {
					return false
				}
			}
			return true
		})
		t.Logf("shared signals %v: %d jobs sent to the faulty server in 8 s; used by all nodes again after %v",
			shareSignals, wasted[shareSignals], took)
		for i, statuses := range c.stopLoadsEach() {
			if statuses[0] > 0 || statuses[200] < 50 {
				t.Errorf("%s: responses by status: %v, want none with 0 and at least 50 with 200",
					c.Nodes[i].Name, statuses)
			}
		}
		c.killAll()
	}
	if wasted[true] > wasted[false]/2 {
		t.Errorf("jobs sent to the faulty server: got %d with shared signals, want at most half of the %d without",
			wasted[true], wasted[false])
	}
}

// TestFalseOutlierReports breaks the links of one node to all servers, so that it reports all of them as
// failing. No other node may stop using a server because of these reports.
func TestFalseOutlierReports(t *testing.T) {
	runParallel(t)
	c := startOutlierCluster(t, 6, true, 25*time.Millisecond)
	isolatedNode := c.Nodes[5].Name
	for _, server := range c.Servers {
		server.AbortJobsOf(func(node string) bool { return node == isolatedNode })
	}
	since := c.Now()
	// On a loaded machine four seconds may be too short for the number of jobs that the check needs.
	sum, minimum := 0, 0
	c.Until("300 jobs of the other nodes have arrived, and 4 s have passed", 8*time.Second, func() bool {
		sum, minimum = 0, 1<<30
		for _, server := range c.Servers {
			n := c.JobsNotFrom(server, since, isolatedNode)
			sum, minimum = sum+n, min(minimum, n)
		}
		return sum >= 300 && c.Now()-since >= int64(4*time.Second)
	})
	t.Logf("%d jobs of the other nodes; minimum at a server: %d", sum, minimum)
	if mean := sum / len(c.Servers); minimum < mean/2 {
		t.Errorf("minimum jobs of the other nodes at a server: got %d, want at least half of the mean of %d",
			minimum, mean)
	}
	if f := statusOf(c.Nodes[0]); f == nil || f.Outliers == nil || len(f.Outliers.Scores) > 0 {
		t.Errorf("outlier status of another node: got %+v, want no scores", f.Outliers)
	}
	c.stopLoadsTotal()
}
