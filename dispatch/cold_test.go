// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"math"
	"testing"
)

// TestSlowStartBudgetOfAllNodes: two machine types, requests of which nothing is told beforehand, and nodes
// that learn what they take from their own few. All machines are swapped for new ones at once, at more load
// than they can take, while some of the nodes start again and know nothing; some hear of it late. In no window
// does a server in slow start get more than N + 2 root N + 2 jobs of mean work from all nodes together, N being
// what the settings allow it then; and the cold are used.
func TestSlowStartBudgetOfAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 5, 20, 30, 300} {
		for _, mean := range []float64{1.6e9, 1e8, 2.5e7} { // N of some 4 to 300 at the coldest
			for seed := range uint64(2) {
				name := fmt.Sprintf("%d nodes, mean %.0f ms, seed %d", nodes, mean/1e6, seed)
				h := newCluster(seed, nodes, 6)
				h.workOf, h.speed = map[*Request]int64{}, []float64{0.7, 0.8, 0.9, 1.7, 2, 2.3}
				h.work = func() int64 { return int64(mean * h.ExpFloat64()) }
				if seed%2 == 1 {
					h.work = func() int64 { return int64(mean * math.Exp(h.NormFloat64()*0.66-0.22)) } // lognormal, cv 0.74
				}
				h.settings.Classes[0].LatencyObjective, h.settings.Classes[0].MaxDeadline = int64(2*mean), 0
				can := 0.0
				for _, v := range h.speed {
					can += v * h.slots / mean * float64(h.settings.Tick) // jobs a tick
				}
				h.clientTimeout = int64(20 * mean)
				h.advance(int64(max(30*mean, 3e9)), 2, 0.7*can/float64(nodes))
				h.restartServers(0, 1)
				h.sent = make([][]timedAmount, len(h.startedAt))
				for range 4 {
					h.advance(h.settings.SlowStart/8, 2, 2*can/float64(nodes))
					for range max(nodes/10, 1) {
						again := *h.settings
						again.NodeIndex = h.IntN(nodes)
						h.startNode(&again)
					}
				}
				worst, most, used := 0.0, 0.0, 0.0
				for i, sends := range h.sent {
					for from, first := range sends {
						sum := 0.0
						for _, c := range sends[from:] {
							if c.at-first.at > h.settings.OverloadWindow {
								break
							}
							sum++
						}
						n := h.settings.OverloadFactor * h.warmUpShare(i, first.at) * h.slots * h.speed[i] * float64(h.settings.OverloadWindow) / mean
						worst, most = max(worst, sum/(n+2*math.Sqrt(n)+2)), max(most, sum/n)
						used += first.amount
					}
				}
				span, all := 4*h.settings.SlowStart/8, 0.0
				for _, v := range h.speed {
					all += v * h.slots * (h.settings.SlowStartShare + (1-h.settings.SlowStartShare)/4) * float64(span)
				}
				t.Logf("%s: %.2f of the bound, %.2f of N, %.2f of what they can do", name, worst, most, used/all)
				if worst > 1 {
					t.Errorf("%s: %.2f of what a server in slow start bears", name, worst)
				}
			}
		}
	}
}

// TestLateUpdateOfAStart: a node has sent much to a server that had started anew, and hears of the start then.
// What it sent since counts as if it had known.
func TestLateUpdateOfAStart(t *testing.T) {
	for _, heard := range []bool{false, true} {
		settings := testSettings()
		settings.Nodes, settings.Classes = 1, settings.Classes[:1]
		w := newHarness(t, 1, settings)
		w.addServers(1, false)
		w.advance(settings.OverloadWindow)
		since := w.now
		w.advance(settings.Tick)
		for range 40 {
			if heard {
				w.arrive(0, 1, 5e7, 1e9)
			}
			w.completeAll()
		}
		before := len(w.sentAt)
		w.slowStartWork = map[*Server][]timedAmount{}
		w.endpoints[0].StartedAt = since
		w.updateEndpoints(true)
		for range 40 {
			w.arrive(0, 1, 5e7, 1e9)
			w.completeAll()
		}
		if sent := len(w.sentAt) - before; (sent == 0) != heard {
			t.Errorf("%d sent, %d before the news", sent, before)
		}
	}
}
