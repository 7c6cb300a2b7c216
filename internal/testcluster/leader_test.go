// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestLeaderKilled kills the leader of three nodes. The total must never be exceeded. The other nodes must
// get the quota of the killed node within the times of a lease, its margin, a window and the election.
func TestLeaderKilled(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(3, 3, 2), 3)
	killed := waitForLeader(c.Cluster)
	killed.Kill()
	rest := without(c.Nodes, killed)
	t.Logf("leased to the others after %v",
		c.Until("the quota of the killed node is leased to the others", convergeTime,
			quotaReaches(rest, maxQuota(2)-2)))
	c.finish(t, connectTotal)
}

// TestLeaderStopped stops the leader with SIGSTOP for longer than a lease, with requests waiting in its
// sockets, and then continues it. Neither its grants nor its own lease may be valid any more, although
// the process resumes as if nothing had happened.
func TestLeaderStopped(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(5, 5, 2), 5)
	for range 2 {
		stopped := waitForLeader(c.Cluster)
		stopped.Signal(syscall.SIGSTOP)
		rest := without(c.Nodes, stopped)
		t.Logf("leased to the others after %v",
			c.Until("the quota of the stopped node is leased to the others", convergeTime,
				quotaReaches(rest, maxQuota(4)-4)))
		stopped.Signal(syscall.SIGCONT)
		t.Logf("lease renewed after %v",
			c.Until("the continued node has a lease", convergeTime, func() bool {
				return connectQuota(stopped) > connectFloor
			}))
	}
	c.finish(t, connectTotal)
}

// TestPartitions separates two of five voters from the other three, then the leader from the others, and
// then each direction of the links to the leader. Nodes of the minority must fall back to their floors, and
// the majority must get the total. After the links are healed, all nodes must get leases.
func TestPartitions(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(5, 5, 2), 5)
	atFloors := func(nodes []*testcluster.Node) func() bool {
		return func() bool { return totalQuota(nodes) == int64(len(nodes))*connectFloor }
	}
	healAndWait := func() {
		t.Helper()
		healLinks(c.Nodes)
		t.Logf("leases of all nodes after %v", c.Until("all nodes have leases", convergeTime, func() bool {
			for _, n := range c.Nodes {
				if connectQuota(n) <= connectFloor {
					return false
				}
			}
			return true
		}))
	}
	two, three := c.Nodes[:2], c.Nodes[2:]
	cutLinks(two, three, testcluster.Forward, testcluster.Backward)
	cutLinks(three, two, testcluster.Forward, testcluster.Backward)
	t.Logf("partition 2|3: minority at its floors after %v",
		c.Until("the two nodes are at their floors", convergeTime, atFloors(two)))
	t.Logf("partition 2|3: total leased to the majority after %v",
		c.Until("the three nodes have leased the total", convergeTime, quotaReaches(three, maxQuota(3)-3)))
	healAndWait()
	oldLeader := waitForLeader(c.Cluster)
	rest := without(c.Nodes, oldLeader)
	cutLinks([]*testcluster.Node{oldLeader}, rest, testcluster.Forward, testcluster.Backward)
	cutLinks(rest, []*testcluster.Node{oldLeader}, testcluster.Forward, testcluster.Backward)
	t.Logf("isolated leader: at its floor after %v",
		c.Until("the isolated leader is at its floor", convergeTime, atFloors([]*testcluster.Node{oldLeader})))
	t.Logf("isolated leader: total leased to the others after %v",
		c.Until("the other nodes have leased the total", convergeTime, quotaReaches(rest, maxQuota(4)-4)))
	healAndWait()
	for _, d := range []testcluster.Direction{testcluster.Forward, testcluster.Backward} {
		isolated := waitForLeader(c.Cluster)
		rest := without(c.Nodes, isolated)
		// Only connections from the others to the leader are cut, in only one direction.
		cutLinks(rest, []*testcluster.Node{isolated}, d)
		t.Logf("direction %d cut: other leader after %v", d,
			c.Until("another node is the leader, and the total is leased", convergeTime, func() bool {
				newLeader := leader(c.Cluster)
				return newLeader != nil && newLeader != isolated &&
					totalQuota(rest) >= maxQuota(5)-connectQuota(isolated)-5
			}))
		healAndWait()
	}
	c.finish(t, connectTotal)
}

// TestEachVoterPartitioned isolates each of five voters in a cluster of nine nodes in turn, and at last two
// voters at the same time, each from all other nodes. Isolated nodes must fall back to their floors, and
// the others must get the total.
func TestEachVoterPartitioned(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(9, 5, 2), 9)
	testIsolated := func(isolated ...*testcluster.Node) {
		t.Helper()
		for _, n := range isolated {
			cutLinks([]*testcluster.Node{n}, c.Nodes[:5], testcluster.Forward, testcluster.Backward)
			cutLinks(without(c.Nodes, n), []*testcluster.Node{n}, testcluster.Forward, testcluster.Backward)
		}
		rest := c.Nodes
		for _, n := range isolated {
			rest = without(rest, n)
		}
		c.Until("isolated nodes are at their floors, and the others have the total", 2*convergeTime, func() bool {
			isolatedAtFloors := totalQuota(isolated) == int64(len(isolated))*connectFloor
			return isolatedAtFloors && totalQuota(rest) >= maxQuota(len(rest))-int64(len(rest))
		})
		for _, n := range c.Nodes {
			for voter := range 5 {
				n.VoterRelay(voter).Heal()
			}
		}
		c.Until("an isolated node has a lease again", 2*convergeTime, func() bool {
			return totalQuota(isolated) > int64(len(isolated))*connectFloor
		})
	}
	for _, n := range c.Nodes[:5] {
		testIsolated(n)
	}
	testIsolated(c.Nodes[1], c.Nodes[3])
	c.finish(t, connectTotal)
}

// TestResponsesLaterThanLease delays responses to one node by more than the duration of a lease. The node
// must stay at its floor, and the others must get the quota that it was granted and never used.
func TestResponsesLaterThanLease(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(4, 3, 2), 4)
	delayed := c.Nodes[3]
	for voter := range 3 {
		delayed.VoterRelay(voter).Delay(testcluster.Backward, leaseTime+200*time.Millisecond)
	}
	c.Until("the delayed node is at its floor", convergeTime, func() bool {
		return connectQuota(delayed) == connectFloor
	})
	c.Until("the other nodes have leased the total", convergeTime, quotaReaches(c.Nodes[:3], maxQuota(3)-3))
	for voter := range 3 {
		delayed.VoterRelay(voter).Delay(testcluster.Backward, 0)
	}
	c.Until("the delayed node has a lease again", convergeTime, func() bool {
		return connectQuota(delayed) > connectFloor
	})
	c.finish(t, connectTotal)
}
