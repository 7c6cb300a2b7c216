// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

func TestRetryStaysInDedupGroup(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(4, false)
	request := w.arrive(1, 1, 1e8, 9e9)
	w.endAttempt(w.open[0], ConnectionLost)
	if len(request.Attempts) != 2 || request.Attempts[0].Server.cell != request.Attempts[1].Server.cell {
		t.Fatal("not sent again within its cell")
	}
	w.advance(w.settings.Classes[1].DedupWindow)
	for len(w.open) > 0 {
		w.endAttempt(w.open[0], ConnectionLost)
	}
	if !request.Done || w.finals[request] != 1 {
		t.Fatal("past its deduplication window it must be reversed at once")
	}
}
