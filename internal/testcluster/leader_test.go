// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestLeaderKilled: three nodes, one budget, one fault. The whole holds throughout; the survivors go on, and what
// the dead one held is theirs within a lease, its margin, a window and the election.
func TestLeaderKilled(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(3, 3, 2), 3)
	dead := waitForLeader(b.Cluster)
	dead.Kill()
	rest := without(b.Nodes, dead)
	t.Logf("in use again after %v",
		b.Until("what the dead one held is in use", convergeTime, quotaReaches(rest, sharedQuota(2)-2)))
	b.finish(t, connectTotal)
}

// TestLeaderStopped: the leader stands still for longer than a lease, with requests in its sockets, and goes on as if
// nothing had happened. Neither its grants nor its own lease count any more.
func TestLeaderStopped(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(5, 5, 2), 5)
	for range 2 {
		stopped := waitForLeader(b.Cluster)
		stopped.Signal(syscall.SIGSTOP)
		rest := without(b.Nodes, stopped)
		t.Logf("in use again after %v",
			b.Until("what the stopped one held is in use", convergeTime, quotaReaches(rest, sharedQuota(4)-4)))
		stopped.Signal(syscall.SIGCONT)
		t.Logf("it has a share again after %v",
			b.Until("it has a share again", convergeTime, func() bool { return connectQuota(stopped) > connectFloor }))
	}
	b.finish(t, connectTotal)
}

// TestPartitions: two voters of five apart from three, then the leader alone, then each direction alone. Who is on the
// smaller side falls to its floors; the larger goes on with the whole; healed, all have shares again.
func TestPartitions(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(5, 5, 2), 5)
	floors := func(part []*testcluster.Node) func() bool {
		return func() bool { return totalQuota(part) == int64(len(part))*connectFloor }
	}
	whole := func() {
		t.Helper()
		healLinks(b.Nodes)
		t.Logf("healed after %v", b.Until("all have shares again", convergeTime, func() bool {
			for _, n := range b.Nodes {
				if connectQuota(n) <= connectFloor {
					return false
				}
			}
			return true
		}))
	}
	two, three := b.Nodes[:2], b.Nodes[2:]
	cutLinks(two, three, testcluster.Forward, testcluster.Backward)
	cutLinks(three, two, testcluster.Forward, testcluster.Backward)
	t.Logf("2|3: on floors after %v", b.Until("the two are on their floors", convergeTime, floors(two)))
	t.Logf("2|3: in use again after %v",
		b.Until("the three have the whole", convergeTime, quotaReaches(three, sharedQuota(3)-3)))
	whole()
	alone := waitForLeader(b.Cluster)
	rest := without(b.Nodes, alone)
	cutLinks([]*testcluster.Node{alone}, rest, testcluster.Forward, testcluster.Backward)
	cutLinks(rest, []*testcluster.Node{alone}, testcluster.Forward, testcluster.Backward)
	t.Logf("leader alone: on its floors after %v",
		b.Until("it is on its floors", convergeTime, floors([]*testcluster.Node{alone})))
	t.Logf("leader alone: in use again after %v",
		b.Until("the rest have the whole", convergeTime, quotaReaches(rest, sharedQuota(4)-4)))
	whole()
	for _, d := range []testcluster.Direction{testcluster.Forward, testcluster.Backward} {
		deaf := waitForLeader(b.Cluster)
		rest := without(b.Nodes, deaf)
		cutLinks(rest, []*testcluster.Node{deaf}, d) // calls and streams of the others to it, one way alone
		t.Logf("one way %d: another grants after %v", d, b.Until("another one grants", convergeTime, func() bool {
			g := leader(b.Cluster)
			return g != nil && g != deaf && totalQuota(rest) >= sharedQuota(5)-connectQuota(deaf)-5
		}))
		whole()
	}
	b.finish(t, connectTotal)
}

// TestEachVoterPartitioned: of nine nodes with five voters each voter in turn is cut off from all the others. It
// falls to its floors, the rest have the whole; and in the end two are cut off at once, each alone.
func TestEachVoterPartitioned(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(9, 5, 2), 9)
	apart := func(alone ...*testcluster.Node) {
		t.Helper()
		for _, a := range alone {
			cutLinks([]*testcluster.Node{a}, b.Nodes[:5], testcluster.Forward, testcluster.Backward)
			cutLinks(without(b.Nodes, a), []*testcluster.Node{a}, testcluster.Forward, testcluster.Backward)
		}
		rest := b.Nodes
		for _, a := range alone {
			rest = without(rest, a)
		}
		b.Until("they are on their floors, and the rest have the whole", 2*convergeTime, func() bool {
			onFloors := totalQuota(alone) == int64(len(alone))*connectFloor
			return onFloors && totalQuota(rest) >= sharedQuota(len(rest))-int64(len(rest))
		})
		for _, n := range b.Nodes {
			for voter := range 5 {
				n.VoterRelay(voter).Heal()
			}
		}
		b.Until("they have shares again", 2*convergeTime, func() bool {
			return totalQuota(alone) > int64(len(alone))*connectFloor
		})
	}
	for _, n := range b.Nodes[:5] {
		apart(n)
	}
	apart(b.Nodes[1], b.Nodes[3])
	b.finish(t, connectTotal)
}

// TestLateResponses: answers to one node come later than its lease is long. It lives on its floors; what it was
// granted and never used goes to the others.
func TestLateResponses(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(4, 3, 2), 4)
	late := b.Nodes[3]
	for voter := range 3 {
		late.VoterRelay(voter).Delay(testcluster.Backward, leaseTime+200*time.Millisecond)
	}
	b.Until("it is on its floors", convergeTime, func() bool { return connectQuota(late) == connectFloor })
	b.Until("the rest have the whole", convergeTime, quotaReaches(b.Nodes[:3], sharedQuota(3)-3))
	for voter := range 3 {
		late.VoterRelay(voter).Delay(testcluster.Backward, 0)
	}
	b.Until("it has a share again", convergeTime, func() bool { return connectQuota(late) > connectFloor })
	b.finish(t, connectTotal)
}
