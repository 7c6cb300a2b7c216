// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// subsetPlan is a fleet whose nodes use parts of the servers.
func subsetPlan(nodes, size int) testcluster.Plan {
	plan := fleetPlan(nodes, 3, 30)
	plan.Gossip = true
	plan.Fleet["most"] = 18
	// A node that is seldom busy goes on with the few that it has connections to; here all are drawn alike.
	plan.Settings["Limits"].(map[string]any)["IdleClose"] = 1_000_000
	delete(plan.Fleet["budgets"].(map[string]any), "connect")
	if size > 0 {
		plan.Fleet["subset"] = map[string]any{"size": size, "cover": 3}
	}
	return plan
}

// TestSubsets: of thirty servers each is used by about as many nodes as the next while a fleet of nine grows to
// eighteen and falls to five under traffic, all the time but for what gossip needs; no client of a node that lives
// goes without its one answer. Nodes that use all servers are heard by each: the count can fail.
func TestSubsets(t *testing.T) {
	runParallel(t)
	b := &loadedCluster{Cluster: testcluster.New(t, subsetPlan(18, 10))}
	steady := func(what string, fewest, most int) {
		t.Helper()
		var since int64
		took := b.Until(what, 4*convergeTime, func() bool {
			if b.Now()-since < int64(1500*time.Millisecond) {
				return false
			}
			spread := b.Spread(since)
			if spread.FewestNodes >= fewest && spread.MostNodes <= most {
				return true
			}
			since = b.Now()
			return false
		})
		since = b.Now()
		b.RunFor(2 * time.Second)
		spread := b.Spread(since)
		a, z, idlest, busiest := spread.FewestNodes, spread.MostNodes, spread.LeastWork, spread.MostWork
		t.Logf("%s after %v; then %d to %d nodes at a server, work %.2f to %.2f of the mean",
			what, took, a, z, idlest, busiest)
		if a < fewest || z > most || idlest < 0.3 || busiest > 2 {
			t.Errorf("%s: %d to %d nodes at a server, %d to %d are promised; work %.2f to %.2f of the mean",
				what, a, z, fewest, most, idlest, busiest)
		}
	}
	start := func(nodes []*testcluster.Node) {
		for _, n := range nodes {
			n.Start()
		}
		for _, n := range nodes {
			n.WaitReady()
			b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
		}
	}
	start(b.Nodes[:9])
	steady("nine", 2, 4)
	start(b.Nodes[9:])
	steady("eighteen", 5, 7)
	for _, n := range b.Nodes[5:] {
		n.Kill()
	}
	steady("five", 2, 4)
	for i, statuses := range b.stopLoadsEach() {
		if i < 5 && (statuses[0] > 0 || statuses[200] < 100) {
			t.Errorf("%s: answers %v", b.Nodes[i].Name, statuses)
		}
	}
}

// waitForMembers waits until all nodes take so many others for there, and lets a window pass.
func waitForMembers(b *loadedCluster, nodes []*testcluster.Node, others int) {
	b.Until("the nodes that are there are known", 4*convergeTime, func() bool {
		for _, n := range nodes {
			if f := statusOf(n); f == nil || f.Subset == nil || f.Subset.Nodes != others {
				return false
			}
		}
		return true
	})
	b.RunFor(500 * time.Millisecond)
}

// TestSubsetWidens: what a node is to use breaks off for it alone, then drains; it goes on with others, of which it
// takes no more than it needs, and comes back once it can. The other nodes keep to theirs.
func TestSubsetWidens(t *testing.T) {
	runParallel(t)
	plan := subsetPlan(6, 6)
	plan.Fleet["subset"] = map[string]any{"size": 6, "cover": 1}
	b := startAll(t, plan)
	for _, n := range b.Nodes {
		b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
	}
	waitForMembers(b, b.Nodes, 6)
	hurt, other := b.Nodes[4], b.Nodes[5]
	look := func() (mine, theirs map[*testcluster.StandInServer]bool) {
		since := b.Now()
		b.RunFor(1500 * time.Millisecond)
		return b.ServersUsedBy(hurt, since), b.ServersUsedBy(other, since)
	}
	near, theirs := look()
	if len(near) != statusOf(hurt).Subset.Assigned || len(near) > 8 || len(theirs) > 8 {
		t.Fatalf("%d and %d servers are used, %d are to be", len(near), len(theirs), statusOf(hurt).Subset.Assigned)
	}
	same := func(a, b map[*testcluster.StandInServer]bool) bool {
		for e := range a {
			if !b[e] {
				return false
			}
		}
		return true
	}
	check := func(what string) {
		t.Helper()
		took := b.Until(what+": it uses others", convergeTime, func() bool {
			since := b.Now()
			b.RunFor(300 * time.Millisecond)
			for e := range b.ServersUsedBy(hurt, since) {
				if !near[e] {
					return true
				}
			}
			return false
		})
		b.RunFor(time.Second)
		mine, now := look()
		t.Logf("%s: after %v it uses %d, of 30", what, took, len(mine))
		if len(mine) > 20 || !same(now, theirs) {
			t.Errorf("%s: it uses %d servers, the other node %d", what, len(mine), len(now))
		}
	}
	back := func() {
		t.Helper()
		t.Logf("back after %v", b.Until("it uses its own again", 3*convergeTime, func() bool {
			since := b.Now()
			b.RunFor(700 * time.Millisecond)
			mine := b.ServersUsedBy(hurt, since)
			return len(mine) > 3 && same(mine, near)
		}))
	}
	for e := range near {
		e.AbortJobsOf(func(node string) bool { return node == hurt.Name })
	}
	check("broken off")
	for e := range near {
		e.AbortJobsOf(nil)
	}
	back()
	b.UpdateEndpoints(func(drained map[string]bool) {
		for e := range near {
			drained[e.Name] = true
		}
	})
	check("drained")
	b.UpdateEndpoints(func(drained map[string]bool) { clear(drained) })
	back()
	for i, statuses := range b.stopLoadsEach() {
		if t.Log(statuses); statuses[0] > 0 || statuses[503] > statuses[200]/10 {
			t.Errorf("%s: answers %v", b.Nodes[i].Name, statuses)
		}
	}
}

// TestSubsetsSplit: gossip is cut into two halves, while all servers are in reach of both. Each half covers all
// servers by itself; healed they divide them together again, within seconds.
func TestSubsetsSplit(t *testing.T) {
	runParallel(t)
	plan := subsetPlan(8, 6)
	b := startAll(t, plan)
	for _, n := range b.Nodes {
		b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look", 2, 15*time.Millisecond, time.Second))
	}
	waitForMembers(b, b.Nodes, 8)
	gossips := func(do func(*testcluster.Relay)) {
		for i, n := range b.Nodes {
			for j := range b.Nodes {
				if (i < 4) != (j < 4) {
					do(n.GossipRelay(j))
				}
			}
		}
	}
	look := func() (fewest, most int, half [2]int) {
		since := b.Now()
		b.RunFor(2 * time.Second)
		spread := b.Spread(since)
		fewest, most = spread.FewestNodes, spread.MostNodes
		for side := range half {
			used := map[*testcluster.StandInServer]bool{}
			for _, n := range b.Nodes[4*side : 4*side+4] {
				for e := range b.ServersUsedBy(n, since) {
					used[e] = true
				}
			}
			half[side] = len(used)
		}
		return fewest, most, half
	}
	whole := func() {
		t.Helper()
		fewest, most, half := look()
		t.Logf("together: %d to %d nodes at a server, %v of 30 by each half", fewest, most, half)
		if fewest < 2 || most > 4 {
			t.Errorf("%d to %d nodes at a server, 2 to 4 are promised", fewest, most)
		}
	}
	whole()
	gossips(func(r *testcluster.Relay) { r.Cut(testcluster.Forward); r.Cut(testcluster.Backward) })
	waitForMembers(b, b.Nodes, 4)
	if _, _, half := look(); half != [2]int{30, 30} {
		t.Errorf("the halves use %v servers, of 30", half)
	}
	gossips(func(r *testcluster.Relay) { r.Heal(); r.Reset() })
	from := b.Now()
	waitForMembers(b, b.Nodes, 8)
	t.Logf("divided together again after %v", time.Duration(b.Now()-from))
	whole()
	for i, statuses := range b.stopLoadsEach() {
		if statuses[0] > 0 || statuses[200] < 100 {
			t.Errorf("%s: answers %v", b.Nodes[i].Name, statuses)
		}
	}
}
