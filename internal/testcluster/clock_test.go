// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestClockBeyondMargin runs a reachable node whose clock is slower than the margin permits. The node must
// report the fault and get no lease, and the total must not be exceeded.
func TestClockBeyondMargin(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(4, 3, 1), 4)
	slow := c.Nodes[3]
	slow.Kill()
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.5,0,0"}
	slow.Start()
	c.Until("the node and the leader report the clock rate", convergeTime, func() bool {
		status := statusOf(slow)
		leaderNode := leader(c.Cluster)
		if status == nil || status.ClockRate <= 0.4 || status.ClockRate >= 0.6 {
			return false
		}
		return leaderNode != nil && statusOf(leaderNode).Voter.ClockRates[slow.Name] > 0
	})
	c.Until("the quota of the node is at most its floor", convergeTime, func() bool {
		return connectQuota(slow) <= connectFloor
	})
	c.finish(t, connectTotal)
}

// TestSlowClockExceedsTotal slows the clock of a node to a fifth of its rate when the node is cut off. The
// node then uses its lease for five times its duration, and the stand-ins record more connections than the
// total. This shows why leases have a margin, and that the other tests would detect a violation. After the
// links are healed, the node must report the fault of its clock.
func TestSlowClockExceedsTotal(t *testing.T) {
	runParallel(t)
	c := testcluster.New(t, fleetPlan(4, 3, 1))
	loaded, slow := &loadedCluster{Cluster: c}, c.Nodes[3]
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.2,0,-1"}
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
	}
	loaded.startLoad(c.Nodes[0])
	stopFirstLoad := slow.StartLoad("first", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond)
	loaded.Until("the node has leased half of the total", 20*time.Second, func() bool {
		return connectQuota(slow) >= maxQuota(4)/2-4
	})
	maxBefore, _ := countConnections(c)
	stopFirstLoad()
	loaded.RunFor(windowTime) // the quota becomes unused, so that the next load can use all of it at once
	// The clock slows down only after the links are cut. While the node is reachable, its slow clock would be
	// detected, and the total would not be exceeded.
	stopLoad := slow.StartLoad("job", "/look?close=1", 12, 8*time.Millisecond, 400*time.Millisecond)
	loaded.stopLoads = append(loaded.stopLoads, stopLoad)
	// On a loaded machine a lease is renewed late. Without this wait the rest of the lease could end before
	// other nodes have its quota.
	loaded.Until("the lease of the node has just been renewed", convergeTime, func() bool {
		status := statusOf(slow)
		return status != nil && status.LeaseMillis > 9*leaseTime.Milliseconds()/10
	})
	cutLinks([]*testcluster.Node{slow}, c.Nodes[:3], testcluster.Forward, testcluster.Backward)
	slow.Signal(syscall.SIGUSR1)
	loaded.Until("the total is exceeded", convergeTime, func() bool {
		maxInWindow, _ := countConnections(c)
		return maxInWindow > connectTotal
	})
	for voter := range 3 {
		slow.VoterRelay(voter).Heal()
	}
	loaded.Until("the node reports its clock rate", 2*convergeTime, func() bool {
		status := statusOf(slow)
		return status != nil && status.ClockRate > 0.1 && status.ClockRate < 0.9
	})
	maxInWindow, _ := countConnections(c)
	t.Logf("maximum connections in a window: %d before the cut, %d after it", maxBefore, maxInWindow)
	if maxBefore > connectTotal {
		t.Errorf("connections in a window before the cut: got %d, want at most the total of %d",
			maxBefore, connectTotal)
	}
	for _, stop := range loaded.stopLoads {
		stop()
	}
}
