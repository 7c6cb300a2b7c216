// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestRejectionsPauseServer guards against a server that rejects at once, looks idle and attracts all
// attempts.
func TestRejectionsPauseServer(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.settings.Nodes = 20
	w.addServers(2, false)
	rejecting, rejections := w.endpoints[0].Server, 0
	for range 200 {
		w.arrive(0, 1, 1e8, 1e9)
		for len(w.inFlight) > 0 {
			if attempt := w.inFlight[0]; attempt.Server == rejecting {
				rejections++
				w.endAttempt(attempt, Rejected)
			} else {
				w.d.AttemptStarted(attempt)
				w.advance(5e7)
				w.endAttempt(attempt, Succeeded)
			}
		}
		w.advance(2e7)
	}
	if rejections > 30 {
		t.Fatalf("%d attempts sent to a server that rejects all, want at most 30", rejections)
	}
}

// TestLimitRecoversAfterRejections checks that a server that rejects some requests despite free capacity
// does not stay idle. A server without capacity starts requests late, so its limit stays reduced.
func TestLimitRecoversAfterRejections(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		server := w.endpoints[0].Server
		w.arrive(0, 1, 1e8, 5e9)
		w.completeAll() // sets the minimum start delay
		before := server.limit
		w.arrive(0, 1, 1e8, 5e9)
		if w.endAttempt(w.inFlight[0], Rejected); server.limit > before/2 {
			t.Fatalf("limit after a rejection is %v, want at most half of %v", server.limit, before)
		}
		for len(w.inFlight) == 0 { // until the request is sent again
			w.advance(w.settings.Tick)
		}
		if late {
			w.advance(2e8)
		}
		if w.completeAll(); late == (server.limit >= before) {
			t.Fatalf(
				"late start %t: limit is %v, %v before the rejection; want it restored only by a prompt start",
				late, server.limit, before)
		}
	}
}

// TestStallReducesLimitOnce checks that a stall of a server, which makes all its attempts late, reduces its
// limit only once.
func TestStallReducesLimitOnce(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.arrive(0, 1, 1e8, 5e9)
	w.completeAll()
	server := w.endpoints[0].Server
	for range 4 {
		w.arrive(0, 1, 1e8, 5e9)
	}
	if w.advance(3e8); len(w.inFlight) < 4 || server.limit != limitReduction*4 {
		t.Fatalf("got %d attempts in flight, want 4; limit is %v, want a single reduction from 4",
			len(w.inFlight), server.limit)
	}
}

// TestLimitFallsUnderCongestion checks that limits are reduced under congestion although starts are reported
// late, with many nodes to a fraction of a slot. If the machine type has been observed to run more at once,
// each node at first keeps its part of that, or the servers would be half idle. A server that remains late
// has become slow, and the bound from its best observation no longer applies.
func TestLimitFallsUnderCongestion(t *testing.T) {
	for _, slots := range []float64{1, 4} {
		w := newHarness(t, 1, testSettings())
		w.settings.Nodes = 20
		w.addServers(1, false)
		server := w.endpoints[0].Server
		server.typeStats.maxSlots = slots
		limit := func(late int64) float64 {
			w.arrive(0, 1, 1e8, 5e9)
			w.advance(late)
			w.completeAll()
			return server.limit
		}
		limit(8e6)
		server.limit = slots / 20
		if got := limit(4e8); got != slots/20 {
			t.Fatalf("limit is %v after one late start, want this node's part (1/20) of %v slots", got, slots)
		}
		for range 12 {
			limit(4e8)
		}
		if server.limit != 1./20 {
			t.Fatalf("limit is %v after late starts only, want 1/20", server.limit)
		}
		for range 20 {
			w.advance(6e9) // the waiting requests have ended, and so has the pause
			limit(8e6)
		}
		if server.limit < slots/20 {
			t.Fatalf("limit is %v after starts became prompt, want at least 1/20 of the slots", server.limit)
		}
	}
}
