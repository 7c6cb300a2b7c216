// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestSlowStartBudget checks that one node sends a server in slow start 3 to 5 attempts with 0.1 s of work
// each in one overload window, however many requests arrive.
func TestSlowStartBudget(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.advance(w.settings.OverloadWindow)
	w.endpoints[0].StartedAt = w.now
	w.updateEndpoints(true)
	for range 32 {
		w.advance(w.settings.OverloadWindow / 32)
		w.arrive(0, 1, 1e8, 9e9)
		w.completeAll()
	}
	if n := len(w.slowStartWork[w.endpoints[0].Server]); n < 3 || n > 5 {
		t.Fatalf("got %d attempts with 0.1 s of work each in one window, want 3 to 5", n)
	}
}

// TestRestartedNodeWaitsForNextTurn guards against a restarted node that exceeds its part of the budget: it
// may have used it up before the restart and has no record of that.
func TestRestartedNodeWaitsForNextTurn(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.endpoints[0].StartedAt = w.now
	w.updateEndpoints(true)
	w.arrive(0, 1, 1e8, 9e9)
	if w.advance(w.settings.OverloadWindow / 8); len(w.inFlight) > 0 {
		t.Fatalf("right after the node's start: got %d attempts at a server in slow start, want 0",
			len(w.inFlight))
	}
	w.advance(w.settings.OverloadWindow)
	if w.arrive(0, 1, 1e8, 9e9); len(w.inFlight) == 0 {
		t.Fatal("no attempt sent to the server in slow start after the next turn began")
	}
}

// TestStartTimeErrorWithinBudget checks a server whose reported start time is off by StartTimeError. If the
// reported time is in the future, requests to the server count from the actual start and stay within the
// budget. If it is too early, the server counts as in slow start for StartTimeError longer, since it may have
// started that much later.
func TestStartTimeErrorWithinBudget(t *testing.T) {
	for _, sign := range []int64{-1, 1} {
		settings := clockSettings()
		settings.StartTimeError = 4e9
		w := newHarness(t, 5, settings)
		w.addServers(2, false)
		w.advance(2 * settings.OverloadWindow)
		server := w.endpoints[0].Server
		w.endpoints[0].StartedAt, w.d.machineTypes[0].maxSlots = w.now+sign*settings.StartTimeError, testSlots
		w.updateEndpoints(false)
		start, sent := w.now, []timedAmount{}
		for w.now < start+settings.SlowStart-settings.StartTimeError {
			for range 8 {
				for _, attempt := range w.arrive(0, 1, 1e8, 2e9).Attempts {
					if attempt.Server == server {
						sent = append(sent, timedAmount{w.now, 1e8})
					}
				}
			}
			w.completeAll()
			w.advance(2e7)
			share := capacityShare(settings, w.now-start)
			sum := 0.0
			for _, c := range sent {
				if w.now-c.at <= settings.OverloadWindow {
					sum += c.amount
				}
			}
			if budget := settings.OverloadFactor * share * testSlots *
				float64(settings.OverloadWindow); sum > budget {
				t.Fatalf("start time error %d s: %.2f of the budget sent after %d ms, want at most 1",
					sign*4, sum/budget, (w.now-start)/1e6)
			}
		}
		if len(sent) == 0 || w.d.settings.warmUpFactor(server, w.now) == 1 {
			warm := w.d.settings.warmUpFactor(server, w.now)
			t.Errorf(
				"start time error %d s: %d attempts sent, want over 0; warm-up factor %.2f, want less than 1",
				sign*4, len(sent), warm)
		}
	}
}

// TestSlowStartOwner checks that a process without this node's quota of the slow start budget sends nothing
// to servers in slow start. A process that takes the quota over uses it from the next turn on, since another
// process may have used up the current one.
func TestSlowStartOwner(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.SlowStart = 1, 100e9
	w := newHarness(t, 1, settings)
	w.addServers(1, false)
	w.endpoints[0].StartedAt = w.now
	w.updateEndpoints(true)
	sent := func() int { return len(w.slowStartWork[w.endpoints[0].Server]) }
	turn := settings.OverloadWindow / turnsPerWindow
	w.advance(8 * turn)
	w.d.SetSlowStartOwner(false)
	within := func(span int64) (count int) {
		before := sent()
		for end := w.now + span; w.now < end; w.advance(2e7) {
			w.arrive(0, 1, 2e7, 4e8)
			w.completeAll()
			for len(w.inFlight) > 0 {
				w.endAttempt(w.inFlight[0], Succeeded)
			}
		}
		return sent() - before
	}
	if n := within(8*turn + turn/4); n > 0 {
		t.Errorf("%d attempts sent from another process's budget, want 0", n)
	}
	w.d.SetSlowStartOwner(true)
	if n := within(turn / 2); n > 0 {
		t.Errorf("%d attempts sent in the turn in which the budget was taken over, want 0", n)
	}
	if within(2*turn) == 0 {
		t.Error("no attempt sent within two turns after the budget was taken over")
	}
}

// TestLateUpdateOfServerStart checks a node that sends requests to a restarted server before it receives the
// update with the restart. The requests since the start count as if the update had arrived in time.
func TestLateUpdateOfServerStart(t *testing.T) {
	for _, busy := range []bool{false, true} {
		settings := testSettings()
		settings.Nodes, settings.Classes = 1, settings.Classes[:1]
		w := newHarness(t, 1, settings)
		w.addServers(1, false)
		w.advance(settings.OverloadWindow)
		since := w.now
		w.advance(settings.Tick)
		for range 40 {
			if busy {
				w.arrive(0, 1, 5e7, 1e9)
			}
			w.completeAll()
		}
		before := len(w.sentAt)
		w.slowStartWork = map[*Server][]timedAmount{}
		w.endpoints[0].StartedAt = since
		w.updateEndpoints(true)
		for range 40 {
			w.arrive(0, 1, 5e7, 1e9)
			w.completeAll()
		}
		if sent := len(w.sentAt) - before; (sent == 0) != busy {
			t.Errorf(
				"%d attempts sent after the update, %d before it; want some only if none was sent before",
				sent, before)
		}
	}
}

// TestLoadReportsRevealSlots checks that a node that never has more than one request at a server uses load
// reports to estimate the server's slots, and from them its capacity in slow start.
func TestLoadReportsRevealSlots(t *testing.T) {
	turnBudget := func(free float64) float64 {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		w.advance(w.settings.OverloadWindow)
		w.arrive(0, 1, 1e8, 9e9)
		w.inFlight[0].FreeSlots = free
		w.completeAll()
		w.endpoints[0].StartedAt = w.now
		w.updateEndpoints(true)
		budget := w.d.currentTurn(w.endpoints[0].Server).nodeBudget
		return budget
	}
	if withoutReport, withReport := turnBudget(0), turnBudget(4); withReport <= withoutReport {
		t.Errorf("turn budget %v without a report, %v with a report of 4 free slots, want it larger",
			withoutReport, withReport)
	}
}
