// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestNoHedgeWhileRequestsWait checks that hedges do not use capacity that waiting requests need.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	w.arrive(0, 1, 1e8, 5e9)
	w.d.queue.requests = []*Request{{Class: w.settings.Classes[0]}}
	if w.d.hedge(w.inFlight[0].Request); len(w.inFlight) != 1 {
		t.Fatalf("a request is queued: got %d attempts in flight, want 1", len(w.inFlight))
	}
	w.d.queue.requests = nil
	w.d.promptStarts[ownZone] = decayingRatio{20, 0.5, w.now}
	if w.d.hedge(w.inFlight[0].Request); len(w.inFlight) != 1 {
		t.Fatalf("almost no start was prompt: got %d attempts in flight, want 1", len(w.inFlight))
	}
	w.settings.LoadReports = true
	w.d.promptStarts[ownZone] = decayingRatio{10, 6, w.now}
	if w.d.hedge(w.inFlight[0].Request); len(w.inFlight) != 1 {
		t.Fatalf("4 of 10 starts late, as requests of other nodes wait: got %d attempts in flight, want 1",
			len(w.inFlight))
	}
	w.d.promptStarts[ownZone].hits = 10
	if w.d.hedge(w.inFlight[0].Request); len(w.inFlight) != 2 {
		t.Fatalf("all starts were prompt: got %d attempts in flight, want 2", len(w.inFlight))
	}
}

// TestLateAttemptIsCanceled checks attempts without a start if hedging is not allowed. Such an attempt is
// canceled only if the endpoint list reports load or if its server makes no progress, and the request then
// goes to another server. Otherwise it stays, and a non-idempotent request always stays.
func TestLateAttemptIsCanceled(t *testing.T) {
	for name, c := range map[string]struct {
		class         int
		live, stalled bool
		want          int
	}{
		"list reports load": {0, true, false, 2}, "stalled": {0, false, true, 2},
		"waits":          {0, false, false, 1},
		"non-idempotent": {2, true, true, 1}, "idempotent in zone": {3, true, false, 2},
	} {
		settings := testSettings()
		settings.AllowHedging, settings.LiveCapacity = false, c.live
		w := newHarness(t, 5, settings)
		w.addServers(8, false)
		request := w.arrive(c.class, 1, 1e8, 4e9)
		attempt := w.inFlight[0]
		if c.stalled {
			w.d.AttemptStarted(attempt)
			w.advance(35e8)
		} else {
			w.advance(3e8)
		}
		if len(request.Attempts) > 1 {
			t.Fatalf("%s: second attempt started before the first one ended", name)
		}
		if w.canceled > 0 {
			w.endAttempt(attempt, Canceled)
		}
		if len(request.Attempts) != c.want || c.want > 1 && request.Attempts[1].Server == attempt.Server {
			t.Errorf("%s: got %d attempts, want %d, the second at another server",
				name, len(request.Attempts), c.want)
		}
	}
}
