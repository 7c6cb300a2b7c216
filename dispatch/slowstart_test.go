// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

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
		t.Fatalf("%d attempts of 0.1 s", n)
	}
}

// A node killed and started again may have used up its part just before; it can't know.
func TestRestartedNodeWaitsForNextTurn(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.endpoints[0].StartedAt = w.now
	w.updateEndpoints(true)
	w.arrive(0, 1, 1e8, 9e9)
	if w.advance(w.settings.OverloadWindow / 8); len(w.open) > 0 {
		t.Fatal("sent to a server in slow start right after the start")
	}
	w.advance(w.settings.OverloadWindow)
	if w.arrive(0, 1, 1e8, 9e9); len(w.open) == 0 {
		t.Fatal("nothing is sent to it later")
	}
}

// TestStartTimeOff: a start that is stamped in the future is one all the same: what is sent to it counts, and
// it gets no more than its budget; stamped earlier it stays cold for as long as it may be.
func TestStartTimeOff(t *testing.T) {
	for _, off := range []int64{-1, 1} {
		settings := clockSettings()
		settings.StartTimeError = 4e9
		w := newHarness(t, 5, settings)
		w.addServers(2, false)
		w.advance(2 * settings.OverloadWindow)
		server := w.endpoints[0].Server
		w.endpoints[0].StartedAt, w.d.machineTypes[0].maxSlots = w.now+off*settings.StartTimeError, testSlots
		w.updateEndpoints(false)
		born, sent := w.now, []timedAmount{}
		for w.now < born+settings.SlowStart-settings.StartTimeError {
			for range 8 {
				for _, attempt := range w.arrive(0, 1, 1e8, 2e9).Attempts {
					if attempt.Server == server {
						sent = append(sent, timedAmount{w.now, 1e8})
					}
				}
			}
			w.completeAll()
			w.advance(2e7)
			share := capacityShare(settings, w.now-born)
			sum := 0.0
			for _, c := range sent {
				if w.now-c.at <= settings.OverloadWindow {
					sum += c.amount
				}
			}
			if budget := settings.OverloadFactor * share * testSlots * float64(settings.OverloadWindow); sum > budget {
				t.Fatalf("stamped %d s off: %.2f of its budget after %d ms", off*4, sum/budget, (w.now-born)/1e6)
			}
		}
		if len(sent) == 0 || w.d.settings.warmUpFactor(server, w.now) == 1 {
			warm := w.d.settings.warmUpFactor(server, w.now)
			t.Errorf("stamped %d s off: %d sent, %.2f of its capacity", off*4, len(sent), warm)
		}
	}
}

// TestSlowStartOwner: without this node's part of the budget nothing goes to the cold, and one that takes it
// over uses it from the next turn on; in the present one another process may have sent all of it.
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
			for len(w.open) > 0 {
				w.endAttempt(w.open[0], Succeeded)
			}
		}
		return sent() - before
	}
	if n := within(8*turn + turn/4); n > 0 {
		t.Errorf("%d sent on another process's budget", n)
	}
	w.d.SetSlowStartOwner(true)
	if n := within(turn / 2); n > 0 {
		t.Errorf("%d sent right after the budget was taken over", n)
	}
	if within(2*turn) == 0 {
		t.Error("the budget is not used")
	}
}

// TestLateUpdateOfAStart: a node has sent much to a server that had started anew, and hears of the start then.
// What it sent since counts as if it had known.
func TestLateUpdateOfAStart(t *testing.T) {
	for _, heard := range []bool{false, true} {
		settings := testSettings()
		settings.Nodes, settings.Classes = 1, settings.Classes[:1]
		w := newHarness(t, 1, settings)
		w.addServers(1, false)
		w.advance(settings.OverloadWindow)
		since := w.now
		w.advance(settings.Tick)
		for range 40 {
			if heard {
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
		if sent := len(w.sentAt) - before; (sent == 0) != heard {
			t.Errorf("%d sent, %d before the news", sent, before)
		}
	}
}

// TestLoadReportsTellSlots: a node that never has more than one request at a server learns from load reports
// how large it is, and with that how much a server in slow start can take.
func TestLoadReportsTellSlots(t *testing.T) {
	part := func(free float64) float64 {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		w.advance(w.settings.OverloadWindow)
		w.arrive(0, 1, 1e8, 9e9)
		w.open[0].FreeSlots = free
		w.completeAll()
		w.endpoints[0].StartedAt = w.now
		w.updateEndpoints(true)
		part := w.d.currentTurn(w.endpoints[0].Server).nodeBudget
		return part
	}
	if untold, told := part(0), part(4); told <= untold {
		t.Errorf("%v untold, %v told", untold, told)
	}
}
