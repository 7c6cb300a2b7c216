// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"math"
	"testing"
)

// TestSlowStartBudgetOfAllNodes checks the slow start budget with two machine types, requests without work
// hints, and nodes that estimate the work only from their own few requests. All servers are replaced at once
// at more load than they can handle, while some nodes restart without any record. In no window may a server
// in slow start receive more than N + 2*sqrt(N) + 2 requests of mean work from all nodes together, where N
// is what the settings allow it at that time. The servers in slow start must be used.
func TestSlowStartBudgetOfAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 5, 20, 30, 300} {
		for _, mean := range []float64{1.6e9, 1e8, 2.5e7} { // N is about 4 to 300 at the minimum capacity
			for seed := range uint64(2) {
				name := fmt.Sprintf("%d nodes, mean %.0f ms, seed %d", nodes, mean/1e6, seed)
				h := newCluster(seed, nodes, 6)
				h.workOf, h.speed = map[*Request]int64{}, []float64{0.7, 0.8, 0.9, 1.7, 2, 2.3}
				h.work = func() int64 { return int64(mean * h.ExpFloat64()) }
				if seed%2 == 1 {
					// Lognormal, with a coefficient of variation of 0.74.
					h.work = func() int64 { return int64(mean * math.Exp(h.NormFloat64()*0.66-0.22)) }
				}
				h.settings.Classes[0].LatencyObjective, h.settings.Classes[0].MaxDeadline = int64(2*mean), 0
				requestsPerTick := 0.0
				for _, v := range h.speed {
					requestsPerTick += v * h.slots / mean * float64(h.settings.Tick)
				}
				h.clientTimeout = int64(20 * mean)
				h.advance(int64(max(30*mean, 3e9)), 2, 0.7*requestsPerTick/float64(nodes))
				h.restartServers(0, 1)
				h.sent = make([][]timedAmount, len(h.startedAt))
				for range 4 {
					h.advance(h.settings.SlowStart/8, 2, 2*requestsPerTick/float64(nodes))
					for range max(nodes/10, 1) {
						restarted := *h.settings
						restarted.NodeIndex = h.IntN(nodes)
						h.startNode(&restarted)
					}
				}
				worst, mostOfN, used := 0.0, 0.0, 0.0
				for i, sends := range h.sent {
					for from, first := range sends {
						sum := 0.0
						for _, c := range sends[from:] {
							if c.at-first.at > h.settings.OverloadWindow {
								break
							}
							sum++
						}
						capacity := h.warmUpShare(i, first.at) * h.slots * h.speed[i] / mean
						n := h.settings.OverloadFactor * capacity * float64(h.settings.OverloadWindow)
						worst, mostOfN = max(worst, sum/(n+2*math.Sqrt(n)+2)), max(mostOfN, sum/n)
						used += first.amount
					}
				}
				span, all := 4*h.settings.SlowStart/8, 0.0
				for _, v := range h.speed {
					all += v * h.slots *
						(h.settings.SlowStartShare + (1-h.settings.SlowStartShare)/4) * float64(span)
				}
				t.Logf("%s: %.2f of the bound, %.2f of N, %.2f of the capacity used",
					name, worst, mostOfN, used/all)
				if worst > 1 {
					t.Errorf("%s: a server in slow start received %.2f of its bound, want at most 1",
						name, worst)
				}
			}
		}
	}
}

// FuzzSlowStartBudget runs all nodes under the most adverse conditions: much more work than the servers can
// handle, all servers in slow start, some nodes restarted meanwhile, different estimates of the sizes of
// requests and servers at each node, and errors of the start times. What all nodes send together, including
// rejected requests, must stay within the budget in every window.
func FuzzSlowStartBudget(f *testing.F) {
	for seed := range uint64(10) {
		f.Add(seed, uint16(1+seed*seed*3/2), seed%2 == 0)
	}
	f.Fuzz(func(t *testing.T, seed uint64, nodes uint16, rejecting bool) {
		h := newCluster(seed, 1+int(nodes)%500, 1+int(seed%3))
		h.rejecting = rejecting
		h.settings.StartTimeError = []int64{0, h.settings.OverloadWindow, h.settings.SlowStart}[seed%3]
		for _, n := range h.nodes {
			n.d.settings.StartTimeError = h.settings.StartTimeError
		}
		size := int64(2e7) << (seed % 5)
		h.advance(h.settings.OverloadWindow, size, 0)
		h.restartServers(int64(seed%2)*h.settings.SlowStart/3, 1+int(seed/2)%4)
		for range 5 {
			h.advance(h.settings.OverloadWindow/2, size, min(800/float64(len(h.nodes)), 1)/4)
			restarted := *h.settings
			restarted.NodeIndex = h.IntN(len(h.nodes))
			h.startNode(&restarted)
		}
		h.checkInvariants(t)
		if worst := h.maxBudgetShare(); worst > 1 {
			t.Fatalf("%.2f of a slow start budget was sent by %d nodes, want at most 1", worst, len(h.nodes))
		} else {
			t.Logf("%.2f of a slow start budget sent by %d nodes, size %d ms", worst, len(h.nodes), size/1e6)
		}
	})
}

// TestManyNodesUseSlowStart checks that a pool of new servers is used by eighty nodes although no node's
// part of the budget is as large as one request, and that the budget holds.
func TestManyNodesUseSlowStart(t *testing.T) {
	h := newCluster(5, 80, 3)
	h.advance(h.settings.OverloadWindow, 1e8, 0)
	h.restartServers(h.settings.SlowStart/10, 4)
	h.advance(h.settings.SlowStart/2, 3e8, 0.05)
	h.checkInvariants(t)
	work := 0.0
	for _, sends := range h.sent {
		for _, c := range sends {
			work += c.amount
		}
	}
	// capacity of the servers in that time, if they warm up as late as the settings allow
	capacity := 3 * h.slots * capacityShare(h.settings, h.settings.SlowStart/4) *
		float64(h.settings.SlowStart/2)
	if used := work / capacity; used < 0.3 || h.maxBudgetShare() > 1 {
		t.Errorf(
			"%.2f of the slow start capacity used, want at least 0.3; %.2f of a budget sent, want at most 1",
			used, h.maxBudgetShare())
	} else {
		t.Logf("%.2f of the slow start capacity used, at most %.2f of a budget sent",
			used, h.maxBudgetShare())
	}
}

// TestSlowStartBudgetWithLateConnections checks the budget if connections are established late and many at once,
// as after a moment in which a server does not answer. Attempts that were decided in several turns, or before the
// server was listed as restarted, are then sent in one window.
func TestSlowStartBudgetWithLateConnections(t *testing.T) {
	for _, nodes := range []int{80, 300} {
		for _, windows := range []float64{0.25, 1} {
			h := newCluster(uint64(nodes), nodes, 2)
			h.connectCycle = int64(windows * float64(h.settings.OverloadWindow))
			h.advance(h.settings.OverloadWindow, 1e8, 0)
			arrivals := min(800/float64(nodes), 1) / 4
			h.advance(3*h.settings.OverloadWindow/2, 1e8, arrivals)
			h.restartServers(0, 1)
			h.sent = make([][]timedAmount, len(h.startedAt))
			h.advance(2*h.settings.OverloadWindow, 1e8, arrivals)
			worst := h.maxBudgetShare()
			t.Logf("%d nodes, connections each %d ms: %.2f of a budget sent", nodes, h.connectCycle/1e6, worst)
			if worst > 1 {
				t.Errorf("%d nodes, connections each %d ms: %.2f of a budget was sent, want at most 1",
					nodes, h.connectCycle/1e6, worst)
			}
		}
	}
}
