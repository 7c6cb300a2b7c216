// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

func clockSettings() *Settings {
	settings := testSettings()
	settings.DeadlineMargin = 3e9
	for _, class := range settings.Classes {
		class.MaxDeadline = 3e9
	}
	return settings
}

// TestDeadlinesToldTooShort: a node whose clock is ahead hears that its requests have no time left, and serves
// them all the same; what it can't serve is answered before the latest that the rules allow.
func TestDeadlinesToldTooShort(t *testing.T) {
	w := newHarness(t, 1, clockSettings())
	w.addServers(2, false)
	for i := range 40 {
		request := w.arrive(i%5, 1, 5e7, -int64(i%3)*1e6)
		if request.Done || len(request.Attempts) != 1 {
			t.Fatalf("request %d, told of nothing of 3 s, has %d attempts", i, len(request.Attempts))
		}
		w.completeAll()
	}
	for range 3 { // at odds with this node's other requests: a client's later try
		w.arrive(0, 1, 5e7, -1e9)
	}
	for range 40 {
		w.arrive(2, 4, 5e7, 0) // more than there is room for
	}
	w.advance(3e9)
	w.checkAllAnswered()
}

// TestDeadlinesToldTooLong: a node whose clock is behind hears of more time than any client waits; whatever is
// out, the final answer comes within the class's.
func TestDeadlinesToldTooLong(t *testing.T) {
	w := newHarness(t, 2, clockSettings())
	w.addServers(2, false)
	for i := range 8 {
		request := w.arrive(i%5, 1, 5e7, 45e8)
		if at := w.now + 3e9; request.Deadline > at {
			t.Fatalf("kept for %d ms too long", (request.Deadline-at)/1e6)
		}
	}
	later := w.arrive(0, 1, 5e7, 25e8) // a later try, told as much too long
	if left := later.Deadline - w.now; left > 11e8 {
		t.Errorf("a later try with 1 s left is kept for %d ms", left/1e6)
	}
	w.checkAllAnswered()
}

// TestTimeoutEndsRequest: the time-out says that the client has given up; the request gets its answer then and
// goes nowhere again.
func TestTimeoutEndsRequest(t *testing.T) {
	for i := range 5 {
		w := newHarness(t, 3, clockSettings())
		w.addServers(4, false)
		request := w.arrive(i, 1, 5e7, 25e8)
		w.advance(1e9)
		n := len(request.Attempts)
		w.endAttempt(request.Attempts[0], TimedOut)
		if w.advance(1e8); !request.Done || len(request.Attempts) != n {
			t.Errorf("class %d: over %v, %d attempts, %d before", i, request.Done, len(request.Attempts), n)
		}
	}
}

// TestServerClockAhead: a server whose own clock runs ahead rejects requests or fails them though it is well;
// they go elsewhere, and one such error takes it out of nobody's draw for good.
func TestServerClockAhead(t *testing.T) {
	w := newHarness(t, 4, clockSettings())
	w.addServers(4, false)
	ahead := w.endpoints[0].Server
	served := 0
	for range 200 {
		request := w.arrive(0, 1, 5e7, 25e8)
		for w.finals[request] == 0 && !request.Done {
			attempt := request.Attempts[len(request.Attempts)-1]
			if o := Rejected; attempt.Server == ahead {
				if w.IntN(2) == 0 {
					o = Failed
				}
				w.endAttempt(attempt, o)
				continue
			}
			w.d.AttemptStarted(attempt)
			w.endAttempt(attempt, Succeeded)
			served++
		}
		w.advance(1e7)
	}
	if served < 195 {
		t.Errorf("%d of 200 served", served)
	}
	w.advance(decayTime)
	if w.d.outlier(ahead) {
		t.Error("left out for good")
	}
	w.checkAllAnswered()
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
			share := settings.SlowStartShare + (1-settings.SlowStartShare)*float64(w.now-born)/float64(settings.SlowStart)
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
			t.Errorf("stamped %d s off: %d sent, warmth %.2f", off*4, len(sent), w.d.settings.warmUpFactor(server, w.now))
		}
	}
}
