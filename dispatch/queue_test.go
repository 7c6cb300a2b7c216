// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestWrongWorkHintsDoNotShedNewRequests guards against running times far above their hints that make every
// new request look late. A request that has not waited must be sent.
func TestWrongWorkHintsDoNotShedNewRequests(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateShare = 0
	w := newHarness(t, 3, settings)
	w.addServers(4, false)
	for range 40 {
		w.arrive(0, 1, 1e9, 9e9)
		attempt := w.inFlight[len(w.inFlight)-1]
		w.d.AttemptStarted(attempt)
		w.advance(24e8)
		w.endAttempt(attempt, Succeeded)
	}
	request := w.arrive(0, 1, 1e9, 9e9)
	if w.finalAnswers[request] != 0 || len(request.Attempts) == 0 {
		t.Error("new request shed because of its wrong work hint")
	}
}

// TestDrawsWithoutServerBackOff guards against waiting requests that consider all servers at every event
// under congestion. A node with a large pool spent all its time on that and stopped. A request without a
// server must retry at growing intervals, and find capacity once there is some.
func TestDrawsWithoutServerBackOff(t *testing.T) {
	w := newHarness(t, 6, testSettings())
	w.addServers(2, false)
	for _, m := range w.endpoints {
		m.Server.limit, m.Server.slotsInFlight = 1, 1
	}
	request := w.arrive(0, 1, 2e9, 2e10)
	for range 100 {
		w.advance(w.settings.Tick)
		w.d.ProcessQueue()
	}
	if request.failedDraws == 0 || request.failedDraws > 20 {
		t.Errorf("request was drawn for %d times in 100 rounds, want 1 to 20", request.failedDraws)
	}
	for _, m := range w.endpoints {
		m.Server.slotsInFlight = 0
	}
	if w.advance(32 * w.settings.Tick); len(request.Attempts) != 1 {
		t.Errorf("servers have capacity: got %d attempts, want 1", len(request.Attempts))
	}
}
