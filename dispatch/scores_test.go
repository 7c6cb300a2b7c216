// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestRankAgainstTwoOthers checks the scores of a server's results, ranked against those of two others.
func TestRankAgainstTwoOthers(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(3, false)
	fast, medium, slow := w.endpoints[0].Server, w.endpoints[1].Server, w.endpoints[2].Server
	recordResult := func(server *Server, time float64, failed bool) {
		w.d.recordRank(&Request{Class: w.settings.Classes[0], Slots: 1}, recentResult{server, time, failed})
	}
	recordResult(fast, 1, false)
	recordResult(medium, 2, false)
	if fast.scores.count+medium.scores.count != 0 {
		t.Fatalf("with one other result: got %d scores, want 0", fast.scores.count+medium.scores.count)
	}
	for range 60 {
		recordResult(slow, 3, false)
		recordResult(fast, 1, false)
		recordResult(medium, 2, false)
	}
	const n = scoreWindowSize
	if fast.scores.sum != 10*n || medium.scores.sum != 6*n || slow.scores.sum != 2*n {
		t.Fatalf("sums of scores of fast, medium and slow server: got %d, %d, %d, want %d, %d, %d",
			fast.scores.sum, medium.scores.sum, slow.scores.sum,
			10*n, 6*n, 2*n)
	}
	recordResult(fast, 0, true)
	if fast.scores.sum != 10*(scoreWindowSize-1) {
		t.Fatalf("sum of scores after a failed request is %d, want %d",
			fast.scores.sum, 10*(scoreWindowSize-1))
	}
}
