// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// waitForLeases waits until each of these nodes has a lease.
func waitForLeases(c *testcluster.Cluster, nodes []*testcluster.Node) {
	c.Until("each node has a lease", 20*time.Second, func() bool {
		for _, n := range nodes {
			if f := statusOf(n); f == nil || f.LeaseMillis == 0 {
				return false
			}
		}
		return true
	})
}

// TestConcurrencyBudget checks that the concurrent jobs of one tenant on all servers together never exceed
// the total, while a node is killed with jobs in flight, the leader is stopped and continued, and jobs
// outlast their clients. The other tenant has a budget of the same size for itself. The unit of a finished
// job is usable again at once. Nodes that don't share the budget have several times as many jobs in flight,
// which shows that the check can fail.
func TestConcurrencyBudget(t *testing.T) {
	runParallel(t)
	const total = 24
	for _, shared := range []bool{true, false} {
		plan := fleetPlan(4, 3, 4)
		plan.ServeTime = 120 * time.Millisecond
		plan.Settings["Tenants"] = []any{
			map[string]any{"Name": "large", "Share": 0.5},
			map[string]any{"Name": "small", "Share": 0.5},
		}
		for _, s := range plan.Settings["Schemes"].([]any) {
			s.(map[string]any)["Expiry"] = 1_000_000_000
		}
		if !shared {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		}
		plan.Fleet["budgets"].(map[string]any)["jobs"] = map[string]any{
			"whole": total, "floor": 1, "reserve": 2, "window_ms": 1000,
		}
		c := startAll(t, plan)
		if shared {
			waitForLeases(c.Cluster, c.Nodes)
		}
		for _, n := range c.Nodes {
			// Jobs of the load "slow" last longer than their clients wait.
			c.stopLoads = append(c.stopLoads,
				n.StartLoad("job", "/look?from=large", 10, 5*time.Millisecond, 500*time.Millisecond),
				n.StartLoad("slow", "/look?from=large&slow=780ms", 10, 5*time.Millisecond, 500*time.Millisecond),
				n.StartLoad("few", "/look?from=small", 1, 20*time.Millisecond, 500*time.Millisecond))
		}
		c.RunFor(3 * time.Second)
		c.Nodes[3].Kill()
		if shared {
			stopped := waitForLeader(c.Cluster)
			stopped.Signal(syscall.SIGSTOP)
			c.RunFor(leaseTime + time.Second)
			stopped.Signal(syscall.SIGCONT)
			c.RunFor(3 * time.Second)
		}
		t.Logf("responses by status: %v", c.stopLoadsTotal())
		maxLarge, maxSmall := c.MaxConcurrentJobs("large"), c.MaxConcurrentJobs("small")
		jobCount := 0
		for _, server := range c.Servers {
			_, jobs := server.Received()
			jobCount += len(jobs)
		}
		t.Logf("shared budget %v: maximum concurrent jobs of the tenants: %d and %d, total: %d; %d jobs",
			shared, maxLarge, maxSmall, total, jobCount)
		if shared != (maxLarge <= total) {
			t.Errorf("concurrent jobs of one tenant: got %d, want at most %d with a shared budget and more without",
				maxLarge, total)
		}
		if shared && (maxLarge < total/2 || maxSmall == 0 || jobCount < 300) {
			t.Errorf("to test the total: got %d and %d concurrent jobs of the tenants, want at least %d and 1;"+
				" got %d jobs in all, want at least 300",
				maxLarge, maxSmall, total/2, jobCount)
		}
	}
}

// TestPollBudget checks that the polls of discovery by all nodes together never exceed the total: while the
// list changes continuously, while discovery fails, after the leader is killed, and with a node that the
// fleet refuses. All nodes must stop sending to a draining server within the time that the rules permit,
// with or without a quota. Nodes that don't share the budget poll several times as often, which shows that
// the check can fail.
func TestPollBudget(t *testing.T) {
	runParallel(t)
	const total, drainLimit = 12, 1500 * time.Millisecond
	for _, shared := range []bool{true, false} {
		plan := fleetPlan(6, 3, 4)
		plan.Settings["Rules"].(map[string]any)["AskWithin"] = int64(drainLimit)
		if !shared {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		}
		budgets := plan.Fleet["budgets"].(map[string]any)
		delete(budgets, "connect") // with this budget the refused node could not send any job
		budgets["calls"] = budgetSection(total, 1, 1)
		c := &loadedCluster{Cluster: testcluster.New(t, plan)}
		mismatched := c.Nodes[5]
		mismatched.ChangeFleet = func(f map[string]any) { f["margin"] = 0.2 }
		for _, n := range c.Nodes {
			n.Start()
		}
		for _, n := range c.Nodes {
			n.WaitReady()
		}
		if shared {
			waitForLeases(c.Cluster, c.Nodes[:5])
		}
		for _, n := range c.Nodes {
			c.stopLoads = append(c.stopLoads,
				n.StartLoad("job", "/look", 2, 10*time.Millisecond, 400*time.Millisecond))
		}
		updateEndpointsFor := func(span time.Duration) {
			for end := c.Now() + int64(span); c.Now() < end; c.RunFor(30 * time.Millisecond) {
				c.UpdateEndpoints(func(map[string]bool) {})
			}
		}
		loadStart := c.Now()
		updateEndpointsFor(2 * time.Second)
		if shared {
			waitForLeader(c.Cluster).Kill()
		}
		c.SetDiscoveryDown(true)
		updateEndpointsFor(2 * time.Second)
		c.SetDiscoveryDown(false)
		drainedAt := c.Now()
		c.UpdateEndpoints(func(drained map[string]bool) { drained["e1"] = true })
		updateEndpointsFor(3 * time.Second)
		c.stopLoadsTotal()
		var polls []int64
		for _, polledAt := range c.Polls() {
			if polledAt >= loadStart {
				polls = append(polls, polledAt)
			}
		}
		_, jobs := c.Servers[1].Received()
		lastJobAfter := jobs[len(jobs)-1].ArrivedAt - drainedAt
		maxInWindow := testcluster.MaxInWindow(polls, windowTime-jitter)
		t.Logf("shared budget %v: %d polls, maximum in a window: %d, total: %d; last job at the draining"+
			" server after %v",
			shared, len(polls), maxInWindow, total, time.Duration(lastJobAfter))
		if shared != (maxInWindow <= total) {
			t.Errorf("polls in a window: got %d, want at most %d with a shared budget and more without",
				maxInWindow, total)
		}
		if lastJobAfter > int64(drainLimit+200*time.Millisecond) {
			t.Errorf("last job at the draining server after %v, want at most %v and 200 ms of slack",
				time.Duration(lastJobAfter), drainLimit)
		}
		if shared && len(polls) < 3*total {
			t.Errorf("polls: got %d, want at least %d to test the total", len(polls), 3*total)
		}
	}
}
