// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestDuplicatedCalls: all calls of all nodes come once more, some of them long after they were answered, while
// shares move.
func TestDuplicatedCalls(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(4, 3, 2), 4)
	answered := 0
	for round := range 4 {
		for _, n := range b.Nodes {
			for voter := range 3 {
				answered += n.VoterRelay(voter).Replay()
			}
		}
		b.Until("shares go on", convergeTime, quotaReaches(b.Nodes, sharedQuota(4)-6))
		if n := b.Nodes[3]; round%2 == 0 {
			n.Kill() // what comes again is of a process that is gone, and then of one before this one
		} else {
			n.Start()
			n.WaitReady()
		}
	}
	if answered < 50 {
		t.Errorf("%d calls came again: too few to have tried it", answered)
	}
	b.finish(t, connectTotal)
}

// TestReplayedCallsOfAPartitionedNode: a node that holds most of the whole is cut off, and calls of its from long
// before come again. They tell of a time when it held nothing; what it holds now is not granted to others for that.
func TestReplayedCallsOfAPartitionedNode(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"] = 4
	b, one, rest := startHoggingNode(t, plan)
	for _, n := range rest {
		b.startLoad(n)
	}
	for voter := range 3 {
		one.VoterRelay(voter).Cut(testcluster.Forward)
		one.VoterRelay(voter).Cut(testcluster.Backward)
	}
	answered := 0
	for voter := range 3 {
		answered += one.VoterRelay(voter).Replay()
	}
	b.Until("the rest have the whole", convergeTime, quotaReaches(rest, connectTotal-connectReserve-connectFloor-3))
	for voter := range 3 {
		one.VoterRelay(voter).Heal()
	}
	if answered < 5 {
		t.Errorf("%d calls came again: too few to have tried it", answered)
	}
	b.finish(t, connectTotal)
}

// TestSlowResponses: answers to a node that holds most of the whole take nearly as long as it waits for them,
// and then it is cut off. Its lease counts from its requests: when others are granted what it held it uses that no
// more.
func TestSlowResponses(t *testing.T) {
	runParallel(t)
	const window = 400 * time.Millisecond
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"], plan.Fleet["lease_ms"], plan.Fleet["margin"] = 4, 3000, 0.01
	connectBudget := budgetSection(connectTotal, connectFloor, connectReserve)
	connectBudget["window_ms"] = window.Milliseconds()
	plan.Fleet["budgets"].(map[string]any)["connect"] = connectBudget
	b, one, rest := startHoggingNode(t, plan)
	for voter := range 3 {
		one.VoterRelay(voter).Delay(testcluster.Backward, 900*time.Millisecond)
	}
	from := b.Now()
	b.Until("a lease has passed under the delay", convergeTime, func() bool {
		return b.Now()-from > int64(3*time.Second) && connectQuota(one) >= connectTotal/2
	})
	for voter := range 3 {
		one.VoterRelay(voter).Cut(testcluster.Forward) // its last answer still comes
	}
	from = b.Now()
	b.Until("its last answer has come", convergeTime, func() bool { return b.Now()-from > int64(time.Second) })
	for _, n := range rest {
		b.startLoad(n)
	}
	b.Until("the rest have the whole", 2*convergeTime, quotaReaches(rest, connectTotal-connectReserve-connectFloor-3))
	for _, end := range b.stopLoads {
		end()
	}
	accepted, _ := b.Servers[0].Received()
	most := testcluster.MaxInWindow(accepted, window-jitter)
	t.Logf("%d connections, at most %d in a window", len(accepted), most)
	if most > connectTotal {
		t.Errorf("at most %d in a window, the whole is %d", most, connectTotal)
	}
}
