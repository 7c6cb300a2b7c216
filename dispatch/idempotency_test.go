// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestRetryStaysInDedupGroup checks that a retry goes to the cell of the first attempt, and that after the
// deduplication window the request is compensated without a further attempt.
func TestRetryStaysInDedupGroup(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(4, false)
	request := w.arrive(1, 1, 1e8, 9e9)
	w.endAttempt(w.inFlight[0], ConnectionLost)
	if len(request.Attempts) != 2 || request.Attempts[0].Server.cell != request.Attempts[1].Server.cell {
		t.Fatalf("retry after a lost connection: got %d attempts, want 2 in the same cell",
			len(request.Attempts))
	}
	w.advance(w.settings.Classes[1].DedupWindow)
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], ConnectionLost)
	}
	if !request.Done || w.finalAnswers[request] != 1 {
		t.Fatalf("after its deduplication window: done is %v, want true; got %d final answers, want 1",
			request.Done, w.finalAnswers[request])
	}
}
