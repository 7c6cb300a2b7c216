// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// A machine that answers full at once looks idle; it must not draw all attempts.
func TestRejectionsPauseServer(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.settings.Nodes = 20
	w.addServers(2, false)
	bad, full := w.endpoints[0].Server, 0
	for range 200 {
		w.arrive(0, 1, 1e8, 1e9)
		for len(w.open) > 0 {
			if attempt := w.open[0]; attempt.Server == bad {
				full++
				w.endAttempt(attempt, Rejected)
			} else {
				w.d.AttemptStarted(attempt)
				w.advance(5e7)
				w.endAttempt(attempt, Succeeded)
			}
		}
		w.advance(2e7)
	}
	if full > 30 {
		t.Fatalf("%d attempts to a server that refuses all", full)
	}
}

// A machine that rejects part with room to spare must not stand empty; one that is full starts late, and stays
// cut.
func TestLimitRecoversAfterRejections(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		server := w.endpoints[0].Server
		w.arrive(0, 1, 1e8, 5e9)
		w.completeAll() // how prompt a start can be is known
		had := server.limit
		w.arrive(0, 1, 1e8, 5e9)
		if w.endAttempt(w.open[0], Rejected); server.limit > had/2 {
			t.Fatalf("limit is %v, not cut from %v", server.limit, had)
		}
		for len(w.open) == 0 { // until it goes again
			w.advance(w.settings.Tick)
		}
		if late {
			w.advance(2e8)
		}
		if w.completeAll(); late == (server.limit >= had) {
			t.Fatalf("late %t: limit is %v, %v before the refusal", late, server.limit, had)
		}
	}
}

// A pause of a machine makes all that it holds late; that is one event, and its limit falls once for it.
func TestOneHoldUpReducesLimitOnce(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.arrive(0, 1, 1e8, 5e9)
	w.completeAll()
	server := w.endpoints[0].Server
	for range 4 {
		w.arrive(0, 1, 1e8, 5e9)
	}
	if w.advance(3e8); len(w.open) < 4 || server.limit != limitReduction*4 {
		t.Fatalf("%d out, limit is %v", len(w.open), server.limit)
	}
}

// Under congestion start notes come late; the limits must fall all the same, to a part of a slot for many
// nodes. Of machines that were seen to run more at once each node keeps its part at first, or they stand half
// empty; one that goes on being late has slowed, and is not judged by its best moments.
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
			t.Fatalf("limit is %v after a late start, not this node's part of %v slots", got, slots)
		}
		for range 12 {
			limit(4e8)
		}
		if server.limit != 1./20 {
			t.Fatalf("limit is %v, though all starts are late", server.limit)
		}
		for range 20 {
			w.advance(6e9) // what waited is over, and so is the pause
			limit(8e6)
		}
		if server.limit < slots/20 {
			t.Fatalf("limit is %v, though starts are prompt again", server.limit)
		}
	}
}
