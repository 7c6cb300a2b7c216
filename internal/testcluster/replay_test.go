// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestDuplicatedCalls replays recorded calls of all nodes while quotas move between nodes. Some calls are
// replayed long after their response. Duplicates must neither break the total nor stop renewals.
func TestDuplicatedCalls(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(4, 3, 2), 4)
	answered := 0
	for round := range 4 {
		for _, n := range c.Nodes {
			for voter := range 3 {
				answered += n.VoterRelay(voter).Replay()
			}
		}
		c.Until("the leases are renewed up to the total", convergeTime, quotaReaches(c.Nodes, maxQuota(4)-6))
		if n := c.Nodes[3]; round%2 == 0 {
			// The next round replays calls of an exited process, the one after it also calls of the process that
			// preceded a running one.
			n.Kill()
		} else {
			n.Start()
			n.WaitReady()
		}
	}
	if answered < 50 {
		t.Errorf("replayed calls with a response: got %d, want at least 50", answered)
	}
	c.finish(t, connectTotal)
}

// TestReplayedCallsOfPartitionedNode cuts off a node that has leased most of the total, and replays its old
// calls. These report that the node has no quota. The leader must not grant the node's current quota to
// others because of them.
func TestReplayedCallsOfPartitionedNode(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"] = 4
	c, loadedNode, rest := startOneNodeLoaded(t, plan)
	for _, n := range rest {
		c.startLoad(n)
	}
	for voter := range 3 {
		loadedNode.VoterRelay(voter).Cut(testcluster.Forward)
		loadedNode.VoterRelay(voter).Cut(testcluster.Backward)
	}
	answered := 0
	for voter := range 3 {
		answered += loadedNode.VoterRelay(voter).Replay()
	}
	c.Until("the other nodes have leased the total", convergeTime,
		quotaReaches(rest, connectTotal-connectReserve-connectFloor-3))
	for voter := range 3 {
		loadedNode.VoterRelay(voter).Heal()
	}
	if answered < 5 {
		t.Errorf("replayed calls with a response: got %d, want at least 5", answered)
	}
	c.finish(t, connectTotal)
}

// TestSlowResponses delays the responses to a node that has leased most of the total by nearly the time-out
// of its calls, and then cuts off the node. A lease must count from the node's request. If it counted from
// the response, the node would still use its quota when the leader has granted this quota to others.
func TestSlowResponses(t *testing.T) {
	runParallel(t)
	const window = 400 * time.Millisecond
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"], plan.Fleet["lease_ms"], plan.Fleet["margin"] = 4, 3000, 0.01
	connectBudget := budgetSection(connectTotal, connectFloor, connectReserve)
	connectBudget["window_ms"] = window.Milliseconds()
	plan.Fleet["budgets"].(map[string]any)["connect"] = connectBudget
	c, loadedNode, rest := startOneNodeLoaded(t, plan)
	for voter := range 3 {
		loadedNode.VoterRelay(voter).Delay(testcluster.Backward, 900*time.Millisecond)
	}
	from := c.Now()
	c.Until("a lease was renewed under the delay, for half of the total", convergeTime, func() bool {
		return c.Now()-from > int64(3*time.Second) && connectQuota(loadedNode) >= connectTotal/2
	})
	for voter := range 3 {
		loadedNode.VoterRelay(voter).Cut(testcluster.Forward) // its last response still arrives
	}
	from = c.Now()
	c.Until("the last response to the node has arrived", convergeTime, func() bool {
		return c.Now()-from > int64(time.Second)
	})
	for _, n := range rest {
		c.startLoad(n)
	}
	c.Until("the other nodes have leased the total", 2*convergeTime,
		quotaReaches(rest, connectTotal-connectReserve-connectFloor-3))
	for _, stop := range c.stopLoads {
		stop()
	}
	accepted, _ := c.Servers[0].Received()
	maxInWindow := testcluster.MaxInWindow(accepted, window-jitter)
	t.Logf("%d connections, maximum in a window: %d", len(accepted), maxInWindow)
	if maxInWindow > connectTotal {
		t.Errorf("connections in a window: got %d, want at most the total of %d", maxInWindow, connectTotal)
	}
}
