// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// subsetPlan returns the plan of a cluster with 30 servers. Each node uses a subset of the given size, or
// all servers if size is 0.
func subsetPlan(nodes, size int) testcluster.Plan {
	plan := fleetPlan(nodes, 3, 30)
	plan.Gossip = true
	plan.Fleet["most"] = 18
	// A node with little load prefers the few servers to which it has connections. Closing idle connections
	// at once makes it select all servers of its subset equally.
	plan.Settings["Limits"].(map[string]any)["IdleClose"] = 1_000_000
	delete(plan.Fleet["budgets"].(map[string]any), "connect")
	if size > 0 {
		plan.Fleet["subset"] = map[string]any{"size": size, "cover": 3}
	}
	return plan
}

// TestSubsetSpread checks that each of thirty servers is used by about the same number of nodes while a
// cluster under load grows from nine nodes to eighteen and shrinks to five, except for the time that gossip
// needs after a change. Each request to a running node must get its one response. Without subsets every
// server is used by all nodes, so the check can fail.
func TestSubsetSpread(t *testing.T) {
	runParallel(t)
	c := &loadedCluster{Cluster: testcluster.New(t, subsetPlan(18, 10))}
	checkSpread := func(description string, wantMin, wantMax int) {
		t.Helper()
		var since int64
		took := c.Until(description, 4*convergeTime, func() bool {
			if c.Now()-since < int64(1500*time.Millisecond) {
				return false
			}
			spread := c.Spread(since)
			if spread.MinNodes >= wantMin && spread.MaxNodes <= wantMax {
				return true
			}
			since = c.Now()
			return false
		})
		since = c.Now()
		c.RunFor(2 * time.Second)
		spread := c.Spread(since)
		minNodes, maxNodes, minJobs, maxJobs :=
			spread.MinNodes, spread.MaxNodes, spread.MinJobs, spread.MaxJobs
		t.Logf("%s: reached after %v; then %d to %d nodes per server, jobs per server %.2f to %.2f of the mean",
			description, took, minNodes, maxNodes, minJobs, maxJobs)
		if minNodes < wantMin || maxNodes > wantMax || minJobs < 0.3 || maxJobs > 2 {
			t.Errorf("%s: got %d to %d nodes per server, want %d to %d;"+
				" jobs per server: got %.2f to %.2f of the mean, want 0.3 to 2",
				description, minNodes, maxNodes, wantMin, wantMax, minJobs, maxJobs)
		}
	}
	start := func(nodes []*testcluster.Node) {
		for _, n := range nodes {
			n.Start()
		}
		for _, n := range nodes {
			n.WaitReady()
			c.stopLoads = append(c.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
		}
	}
	start(c.Nodes[:9])
	checkSpread("spread of nine nodes over the servers", 2, 4)
	start(c.Nodes[9:])
	checkSpread("spread of eighteen nodes over the servers", 5, 7)
	for _, n := range c.Nodes[5:] {
		n.Kill()
	}
	checkSpread("spread of five nodes over the servers", 2, 4)
	for i, statuses := range c.stopLoadsEach() {
		if i < 5 && (statuses[0] > 0 || statuses[200] < 100) {
			t.Errorf("%s: responses by status: %v, want none with 0 and at least 100 with 200",
				c.Nodes[i].Name, statuses)
		}
	}
}

// waitForMembers waits until all nodes count the given number of nodes in the division of the servers, and
// then for 500 ms.
func waitForMembers(c *loadedCluster, nodes []*testcluster.Node, memberCount int) {
	c.Until("all nodes count the running nodes", 4*convergeTime, func() bool {
		for _, n := range nodes {
			if f := statusOf(n); f == nil || f.Subset == nil || f.Subset.Nodes != memberCount {
				return false
			}
		}
		return true
	})
	c.RunFor(500 * time.Millisecond)
}

// TestSubsetWidens makes all servers of one node's subset abort the connections of this node, and then
// drain. The node must use other servers, but no more than it needs, and return to its subset once this
// works again. Another node must continue to use only its own subset.
func TestSubsetWidens(t *testing.T) {
	runParallel(t)
	plan := subsetPlan(6, 6)
	plan.Fleet["subset"] = map[string]any{"size": 6, "cover": 1}
	c := startAll(t, plan)
	for _, n := range c.Nodes {
		c.stopLoads = append(c.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
	}
	waitForMembers(c, c.Nodes, 6)
	affected, other := c.Nodes[4], c.Nodes[5]
	serversUsed := func() (affectedUsed, otherUsed map[*testcluster.StandInServer]bool) {
		since := c.Now()
		c.RunFor(1500 * time.Millisecond)
		return c.ServersUsedBy(affected, since), c.ServersUsedBy(other, since)
	}
	assigned, otherUsed := serversUsed()
	if len(assigned) != statusOf(affected).Subset.Assigned || len(assigned) > 8 || len(otherUsed) > 8 {
		t.Fatalf("servers used by two nodes: got %d and %d, want the %d assigned ones, and at most 8",
			len(assigned), len(otherUsed), statusOf(affected).Subset.Assigned)
	}
	isSubset := func(subset, superset map[*testcluster.StandInServer]bool) bool {
		for server := range subset {
			if !superset[server] {
				return false
			}
		}
		return true
	}
	checkWidened := func(description string) {
		t.Helper()
		took := c.Until(description+": the node uses other servers", convergeTime, func() bool {
			since := c.Now()
			c.RunFor(300 * time.Millisecond)
			for server := range c.ServersUsedBy(affected, since) {
				if !assigned[server] {
					return true
				}
			}
			return false
		})
		c.RunFor(time.Second)
		affectedUsed, otherUsedNow := serversUsed()
		t.Logf("%s: other servers used after %v; the node uses %d of 30 servers",
			description, took, len(affectedUsed))
		if len(affectedUsed) > 20 || !isSubset(otherUsedNow, otherUsed) {
			t.Errorf("%s: the node uses %d servers, want at most 20;"+
				" the other node uses %d, want only those of its subset",
				description, len(affectedUsed), len(otherUsedNow))
		}
	}
	checkRestored := func() {
		t.Helper()
		t.Logf("subset used again after %v",
			c.Until("the node uses its own subset again", 3*convergeTime, func() bool {
				since := c.Now()
				c.RunFor(700 * time.Millisecond)
				affectedUsed := c.ServersUsedBy(affected, since)
				return len(affectedUsed) > 3 && isSubset(affectedUsed, assigned)
			}))
	}
	for server := range assigned {
		server.AbortJobsOf(func(node string) bool { return node == affected.Name })
	}
	checkWidened("connections aborted")
	for server := range assigned {
		server.AbortJobsOf(nil)
	}
	checkRestored()
	c.UpdateEndpoints(func(drained map[string]bool) {
		for server := range assigned {
			drained[server.Name] = true
		}
	})
	checkWidened("drained")
	c.UpdateEndpoints(func(drained map[string]bool) { clear(drained) })
	checkRestored()
	for i, statuses := range c.stopLoadsEach() {
		if t.Log("responses by status:", statuses); statuses[0] > 0 || statuses[503] > statuses[200]/10 {
			t.Errorf("%s: responses by status: %v, want none with 0 and at most a tenth as many with 503 as with 200",
				c.Nodes[i].Name, statuses)
		}
	}
}

// TestSubsetsUnderPartition cuts gossip between two halves of a cluster, while both can reach all servers.
// Each half must cover all servers by itself. After the links are healed, all nodes must divide the servers
// together again within seconds.
func TestSubsetsUnderPartition(t *testing.T) {
	runParallel(t)
	plan := subsetPlan(8, 6)
	c := startAll(t, plan)
	for _, n := range c.Nodes {
		c.stopLoads = append(c.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
	}
	waitForMembers(c, c.Nodes, 8)
	forGossipBetweenHalves := func(apply func(*testcluster.Relay)) {
		for i, n := range c.Nodes {
			for j := range c.Nodes {
				if (i < 4) != (j < 4) {
					apply(n.GossipRelay(j))
				}
			}
		}
	}
	measure := func() (minNodes, maxNodes int, usedByHalf [2]int) {
		since := c.Now()
		c.RunFor(2 * time.Second)
		spread := c.Spread(since)
		minNodes, maxNodes = spread.MinNodes, spread.MaxNodes
		for half := range usedByHalf {
			used := map[*testcluster.StandInServer]bool{}
			for _, n := range c.Nodes[4*half : 4*half+4] {
				for server := range c.ServersUsedBy(n, since) {
					used[server] = true
				}
			}
			usedByHalf[half] = len(used)
		}
		return minNodes, maxNodes, usedByHalf
	}
	checkTogether := func() {
		t.Helper()
		minNodes, maxNodes, usedByHalf := measure()
		t.Logf("without a partition: %d to %d nodes per server; servers used by the halves: %v of 30",
			minNodes, maxNodes, usedByHalf)
		if minNodes < 2 || maxNodes > 4 {
			t.Errorf("nodes per server: got %d to %d, want 2 to 4", minNodes, maxNodes)
		}
	}
	checkTogether()
	forGossipBetweenHalves(func(r *testcluster.Relay) {
		r.Cut(testcluster.Forward)
		r.Cut(testcluster.Backward)
	})
	waitForMembers(c, c.Nodes, 4)
	if _, _, usedByHalf := measure(); usedByHalf != [2]int{30, 30} {
		t.Errorf("servers used by the halves: got %v, want all 30 by each", usedByHalf)
	}
	forGossipBetweenHalves(func(r *testcluster.Relay) {
		r.Heal()
		r.Reset()
	})
	from := c.Now()
	waitForMembers(c, c.Nodes, 8)
	t.Logf("servers divided among all nodes again after %v", time.Duration(c.Now()-from))
	checkTogether()
	for i, statuses := range c.stopLoadsEach() {
		if statuses[0] > 0 || statuses[200] < 100 {
			t.Errorf("%s: responses by status: %v, want none with 0 and at least 100 with 200",
				c.Nodes[i].Name, statuses)
		}
	}
}
