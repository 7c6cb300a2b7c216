// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

func TestRankAgainstTwoOthers(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(3, false)
	fast, mid, slow := w.endpoints[0].Server, w.endpoints[1].Server, w.endpoints[2].Server
	job := func(server *Server, time float64, lost bool) {
		w.d.recordRank(&Request{Class: w.settings.Classes[0], Slots: 1}, recentResult{server, time, lost})
	}
	job(fast, 1, false)
	job(mid, 2, false)
	if fast.scores.count+mid.scores.count != 0 {
		t.Fatal("scored without two others")
	}
	for range 60 {
		job(slow, 3, false)
		job(fast, 1, false)
		job(mid, 2, false)
	}
	const n = scoreWindowSize
	if fast.scores.sum != 10*n || mid.scores.sum != 6*n || slow.scores.sum != 2*n {
		t.Fatalf("sums %d %d %d", fast.scores.sum, mid.scores.sum, slow.scores.sum)
	}
	job(fast, 0, true)
	if fast.scores.sum != 10*(scoreWindowSize-1) {
		t.Fatalf("a lost job must earn 0: sum %d", fast.scores.sum)
	}
}
