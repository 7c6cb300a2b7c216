// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestClockBeyondMargin: a clock that is slower than the margin allows, at a node that can be reached: it is named,
// gets no lease, and the whole holds.
func TestClockBeyondMargin(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(4, 3, 1), 4)
	slow := b.Nodes[3]
	slow.Kill()
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.5,0,0"}
	slow.Start()
	b.Until("it is named", convergeTime, func() bool {
		f := statusOf(slow)
		g := leader(b.Cluster)
		if f == nil || f.ClockRate <= 0.4 || f.ClockRate >= 0.6 {
			return false
		}
		return g != nil && statusOf(g).Voter.ClockRates[slow.Name] > 0
	})
	b.Until("it is on its floors", convergeTime, func() bool { return connectQuota(slow) <= connectFloor })
	b.finish(t, connectTotal)
}

// TestViolationIsDetected: a node's clock falls to a fifth of its rate as the node is cut off. Its lease lasts for
// five, and the stand-ins see more than the whole: this is what margins are for, and what the other tests would see
// if one were broken. Healed, the node is named.
func TestViolationIsDetected(t *testing.T) {
	runParallel(t)
	r := testcluster.New(t, fleetPlan(4, 3, 1))
	b, slow := &loadedCluster{Cluster: r}, r.Nodes[3]
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.2,0,-1"}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
	}
	b.startLoad(r.Nodes[0])
	end := slow.StartLoad("first", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond)
	b.Until("it has a share", 20*time.Second, func() bool { return connectQuota(slow) >= sharedQuota(4)/2-4 })
	before, _ := countConnections(r)
	end()
	b.RunFor(windowTime) // all it has is free at once, and goes out at once
	// The clock falls as the cut is there, whatever the machine does meanwhile: a slow clock that is
	// not cut off yet would be found out, and nothing would be broken.
	stop := slow.StartLoad("job", "/look?close=1", 12, 8*time.Millisecond, 400*time.Millisecond)
	b.stopLoads = append(b.stopLoads, stop)
	// On a busy machine a lease is renewed late; what is left of it at the cut would be over before others have
	// its quota.
	b.Until("a lease just renewed", convergeTime, func() bool {
		f := statusOf(slow)
		return f != nil && f.LeaseMillis > 9*leaseTime.Milliseconds()/10
	})
	cutLinks([]*testcluster.Node{slow}, r.Nodes[:3], testcluster.Forward, testcluster.Backward)
	slow.Signal(syscall.SIGUSR1)
	b.Until("the whole is broken", convergeTime, func() bool {
		most, _ := countConnections(r)
		return most > connectTotal
	})
	for voter := range 3 {
		slow.VoterRelay(voter).Heal()
	}
	b.Until("it is named", 2*convergeTime, func() bool {
		f := statusOf(slow)
		return f != nil && f.ClockRate > 0.1 && f.ClockRate < 0.9
	})
	most, _ := countConnections(r)
	t.Logf("%d in a window before, %d after", before, most)
	if before > connectTotal {
		t.Errorf("%d in a window before anything went wrong", before)
	}
	for _, end := range b.stopLoads {
		end()
	}
}
