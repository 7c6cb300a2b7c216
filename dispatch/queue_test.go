// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestWrongWorkHintsShedNothingNew: running times far beyond their hints make every fresh request look late.
// One that has not waited is tried all the same; one whose wait took half of the hope it had is given up at
// once.
func TestWrongWorkHintsShedNothingNew(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LateShare = 0
	w := newHarness(t, 3, settings)
	w.addServers(4, false)
	for range 40 {
		w.arrive(0, 1, 1e9, 9e9)
		attempt := w.open[len(w.open)-1]
		w.d.AttemptStarted(attempt)
		w.advance(24e8)
		w.endAttempt(attempt, Succeeded)
	}
	fresh := w.arrive(0, 1, 1e9, 9e9)
	if w.finals[fresh] != 0 || len(fresh.Attempts) == 0 {
		t.Error("a fresh request is shed for its hint")
	}
}

// TestFruitlessDrawsBackOff: under congestion each waiting request would look at the whole pool with every
// event, and a node would spend all of its time on that; a large pool stopped so. What finds no room looks
// again later and later, and finds it when there is some.
func TestFruitlessDrawsBackOff(t *testing.T) {
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
		t.Errorf("looked for room %d times in 100 rounds", request.failedDraws)
	}
	for _, m := range w.endpoints {
		m.Server.slotsInFlight = 0
	}
	if w.advance(32 * w.settings.Tick); len(request.Attempts) != 1 {
		t.Error("room is not found")
	}
}
