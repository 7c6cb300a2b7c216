// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// Copies must not take the room of requests that wait for it.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	w.arrive(0, 1, 1e8, 5e9)
	w.d.queue.requests = []*Request{{Class: w.settings.Classes[0]}}
	if w.d.hedge(w.open[0].Request); len(w.open) != 1 {
		t.Fatal("a hedge went out while a request waited")
	}
	w.d.queue.requests = nil
	w.d.promptStarts[ownZone] = decayingRatio{20, 0.5, w.now}
	if w.d.hedge(w.open[0].Request); len(w.open) != 1 {
		t.Fatal("a hedge went out though none of those left should find room")
	}
	w.settings.LoadReports = true
	w.d.promptStarts[ownZone] = decayingRatio{10, 6, w.now}
	if w.d.hedge(w.open[0].Request); len(w.open) != 1 {
		t.Fatal("a hedge went out though four starts in ten were late, as other nodes' requests wait")
	}
	w.d.promptStarts[ownZone].hits = 10
	if w.d.hedge(w.open[0].Request); len(w.open) != 2 {
		t.Fatal("no hedge though there is room")
	}
}

// TestLateAttemptIsCanceled: where hedges are not allowed, an attempt that does not start is canceled once the
// endpoint list tells of load, or its server stands still, and only then goes elsewhere; where neither holds it
// stays, and a non-idempotent request always.
func TestLateAttemptIsCanceled(t *testing.T) {
	for name, c := range map[string]struct {
		scheme      int
		live, still bool
		want        int
	}{
		"list tells load": {0, true, false, 2}, "stands still": {0, false, true, 2}, "waits": {0, false, false, 1},
		"once-only": {2, true, true, 1}, "referenced": {3, true, false, 2},
	} {
		settings := testSettings()
		settings.AllowHedging, settings.LiveCapacity = false, c.live
		w := newHarness(t, 5, settings)
		w.addServers(8, false)
		request := w.arrive(c.scheme, 1, 1e8, 4e9)
		attempt := w.open[0]
		if c.still {
			w.d.AttemptStarted(attempt)
			w.advance(35e8)
		} else {
			w.advance(3e8)
		}
		if len(request.Attempts) > 1 {
			t.Fatalf("%s: two attempts out", name)
		}
		if w.canceled > 0 {
			w.endAttempt(attempt, Canceled)
		}
		if len(request.Attempts) != c.want || c.want > 1 && request.Attempts[1].Server == attempt.Server {
			t.Errorf("%s: %d attempts, want %d", name, len(request.Attempts), c.want)
		}
	}
}
