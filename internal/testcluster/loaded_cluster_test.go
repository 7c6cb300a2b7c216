// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"strings"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// loadedCluster is a cluster under traffic that requires more connections than the connect budget permits.
type loadedCluster struct {
	*testcluster.Cluster
	stopLoads []func() map[int]int
}

// startLoaded starts the first nodes of a cluster with load, and waits until the connect budget is fully
// leased.
func startLoaded(t *testing.T, plan testcluster.Plan, start int) *loadedCluster {
	nodeLimit := int64(plan.Fleet["most"].(int))
	c := &loadedCluster{Cluster: testcluster.New(t, plan)}
	for _, n := range c.Nodes[:start] {
		n.Start()
	}
	for _, n := range c.Nodes[:start] {
		n.WaitReady()
		c.startLoad(n)
	}
	// With the budget fully leased, a node can gain quota only if another node loses it.
	c.Until("the connect budget is fully leased to the started nodes", 20*time.Second, func() bool {
		return totalQuota(c.Nodes[:start]) >=
			connectTotal-connectReserve-connectFloor*(nodeLimit-int64(start))-int64(start)
	})
	return c
}

// startLoad starts clients that open a new connection for each job.
func (c *loadedCluster) startLoad(n *testcluster.Node) {
	c.stopLoads = append(c.stopLoads,
		n.StartLoad("job", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond))
}

// stopLoadsEach stops all loads and returns, for each, the number of responses by status.
func (c *loadedCluster) stopLoadsEach() []map[int]int {
	return testcluster.StopLoads(c.stopLoads)
}

// stopLoadsTotal stops all loads and returns the number of all responses by status.
func (c *loadedCluster) stopLoadsTotal() map[int]int {
	sum := map[int]int{}
	for _, statuses := range c.stopLoadsEach() {
		for status, count := range statuses {
			sum[status] += count
		}
	}
	return sum
}

// startAll starts a cluster without load and waits until all nodes serve.
func startAll(t *testing.T, plan testcluster.Plan) *loadedCluster {
	c := &loadedCluster{Cluster: testcluster.New(t, plan)}
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
	}
	return c
}

// killAll kills all nodes. It is for tests that start several clusters.
func (c *loadedCluster) killAll() {
	for _, n := range c.Nodes {
		if n.Running() {
			n.Kill()
		}
	}
}

// finish stops all loads, and checks the connect budget and the logs over the whole run of the test.
func (c *loadedCluster) finish(t *testing.T, minConnections int) {
	t.Helper()
	t.Logf("responses by status: %v", c.stopLoadsTotal())
	if connections := checkConnectTotal(t, c.Cluster); connections < minConnections {
		t.Errorf("connections: got %d, want at least %d to test the total", connections, minConnections)
	}
	for _, n := range c.Nodes {
		if log := n.Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			t.Errorf("the log of %s contains a panic or a data race; its end: %s", n.Name, log[max(len(log)-4000, 0):])
		}
	}
}

// startOneNodeLoaded starts a cluster in which only one node, which has no voter, has load. It waits until
// this node has leased most of the total. It returns this node and the other nodes.
func startOneNodeLoaded(
	t *testing.T,
	plan testcluster.Plan,
) (c *loadedCluster, loadedNode *testcluster.Node, rest []*testcluster.Node) {
	t.Helper()
	c = &loadedCluster{Cluster: testcluster.New(t, plan)}
	loadedNode, rest = c.Nodes[3], c.Nodes[:3]
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
	}
	c.startLoad(loadedNode)
	c.Until("the loaded node has 3/4 of the total", 4*convergeTime, func() bool {
		return connectQuota(loadedNode) >= connectTotal*3/4
	})
	return c, loadedNode, rest
}
