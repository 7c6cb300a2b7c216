// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"testing"
)

// TestApplyResponseAcrossClusters checks that a holder accepts responses of a newly founded cluster, whose
// epochs start low again, and ignores responses of an older epoch of the same cluster.
func TestApplyResponseAcrossClusters(t *testing.T) {
	agreement := &Agreement{MaxNodes: 1, Lease: 1000,
		Budgets: map[string]Limits{"b": {Total: 9, Step: 1, Window: 1}}}
	h := NewLeaseHolder("n", "p", agreement, 0)
	for i, c := range []struct {
		clusterID string
		epoch     uint64
		applied   bool
	}{{"x", 7, true}, {"x", 6, false}, {"y", 2, true}, {"y", 1, false}, {"y", 2, true}} {
		now := int64(i)
		request := h.NextRequest(nil, now)
		response := &LeaseResponse{
			ClusterID:  c.clusterID,
			Epoch:      c.epoch,
			Seq:        request.Seq,
			Lease:      1000,
			LeaderTime: now,
		}
		if got := h.ApplyResponse(response, now); got != c.applied {
			t.Errorf("response of epoch %d of cluster %s: applied %v, want %v",
				c.epoch, c.clusterID, got, c.applied)
		}
	}
}

// TestClockSkewDetection checks that a holder detects a clock rate beyond the margin regardless of message
// delays, and never reports skew because of slow messages.
func TestClockSkewDetection(t *testing.T) {
	agreement := &Agreement{Lease: 1000, ClockMargin: 0.1,
		Budgets: map[string]Limits{"b": {Total: 1, Window: 1}}}
	for _, c := range []struct {
		rate, callTime float64
		isSkewed       bool
	}{
		{1, 0, false}, {1, 400, false}, {0.92, 400, false}, {1.08, 400, false},
		{0.5, 0, true}, {0.5, 300, true}, {2, 300, true},
	} {
		h := NewLeaseHolder("n", "p", agreement, 0)
		clock := func(now float64) int64 { return int64(now * c.rate) }
		for now, i := 0.0, uint64(1); i < 20; i++ {
			callTime := c.callTime * float64(i%3) / 3
			h.NextRequest(nil, clock(now))
			leaderTime := int64(now + callTime*float64(i%2))
			h.ApplyResponse(&LeaseResponse{Epoch: 1, Seq: i, Lease: 1000, LeaderTime: leaderTime},
				clock(now+callTime))
			now += callTime + 500
		}
		if (h.ClockRate() != 0) != c.isSkewed {
			t.Errorf("clock rate %v, calls of up to %v ns: got rate %v, want skew detected: %v",
				c.rate, c.callTime, h.ClockRate(), c.isSkewed)
		}
	}
}
