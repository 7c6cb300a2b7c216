// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"strings"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// loadedCluster is a fleet under traffic that wants more connections than there are.
type loadedCluster struct {
	*testcluster.Cluster
	stopLoads []func() map[int]int
}

func startLoaded(t *testing.T, plan testcluster.Plan, start int) *loadedCluster {
	most := int64(plan.Fleet["most"].(int))
	b := &loadedCluster{Cluster: testcluster.New(t, plan)}
	for _, n := range b.Nodes[:start] {
		n.Start()
	}
	for _, n := range b.Nodes[:start] {
		n.WaitReady()
		b.startLoad(n)
	}
	// All of it is out, so that nothing can be had but from another.
	b.Until("a share for each", 20*time.Second, func() bool {
		return totalQuota(b.Nodes[:start]) >= connectTotal-connectReserve-connectFloor*(most-int64(start))-int64(start)
	})
	return b
}

func (b *loadedCluster) startLoad(n *testcluster.Node) {
	b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond))
}

// stopEach ends the traffic, and gives the statuses of the answers to each part of it.
func (b *loadedCluster) stopEach() []map[int]int {
	return testcluster.StopLoads(b.stopLoads)
}

// stopAll ends the traffic, and gives the statuses of all its answers.
func (b *loadedCluster) stopAll() map[int]int {
	sum := map[int]int{}
	for _, statuses := range b.stopEach() {
		for status, count := range statuses {
			sum[status] += count
		}
	}
	return sum
}

// startAll is a fleet of which all nodes serve.
func startAll(t *testing.T, plan testcluster.Plan) *loadedCluster {
	b := &loadedCluster{Cluster: testcluster.New(t, plan)}
	for _, n := range b.Nodes {
		n.Start()
	}
	for _, n := range b.Nodes {
		n.WaitReady()
	}
	return b
}

// killAll ends all nodes, where one test has several fleets.
func (b *loadedCluster) killAll() {
	for _, n := range b.Nodes {
		if n.Running() {
			n.Kill()
		}
	}
}

// finish ends the traffic and checks what arrived, over all that happened.
func (b *loadedCluster) finish(t *testing.T, least int) {
	t.Helper()
	t.Logf("answers %v", b.stopAll())
	if all := checkConnectTotal(t, b.Cluster); all < least {
		t.Errorf("%d connections: too few to have tried the whole", all)
	}
	for _, n := range b.Nodes {
		if log := n.Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			t.Errorf("%s: %s", n.Name, log[max(len(log)-4000, 0):])
		}
	}
}

// startHoggingNode has one node without a voter hold most of the whole, with nobody else wanting any.
func startHoggingNode(
	t *testing.T,
	plan testcluster.Plan,
) (b *loadedCluster, one *testcluster.Node, rest []*testcluster.Node) {
	t.Helper()
	b = &loadedCluster{Cluster: testcluster.New(t, plan)}
	one, rest = b.Nodes[3], b.Nodes[:3]
	for _, n := range b.Nodes {
		n.Start()
	}
	for _, n := range b.Nodes {
		n.WaitReady()
	}
	b.startLoad(one)
	b.Until("it has most of the whole", 4*convergeTime, func() bool { return connectQuota(one) >= connectTotal*3/4 })
	return b, one, rest
}
