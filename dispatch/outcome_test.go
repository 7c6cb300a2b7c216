// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestCanceledAttemptKeepsItsSlots: a job that was canceled may run all the same, so its place counts as taken
// for as long as one runs; what ended otherwise leaves at once.
func TestCanceledAttemptKeepsItsSlots(t *testing.T) {
	for _, o := range []Outcome{Canceled, Failed} {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		w.arrive(0, 1, 2e8, 4e9)
		server := w.open[0].Server
		w.d.Finish(w.requests[0])
		w.finals[w.requests[0]] = 1
		w.endAttempt(w.open[0], o)
		if kept := server.slotsInFlight == 1; kept != (o == Canceled) {
			t.Errorf("%v: %v slots are taken", o, server.slotsInFlight)
		}
		w.advance(19e7)
		if kept := server.slotsInFlight == 1; kept != (o == Canceled) {
			t.Errorf("%v: %v slots are taken just before it would have run", o, server.slotsInFlight)
		}
		if w.advance(2e8); server.slotsInFlight != 0 {
			t.Errorf("%v: %v slots are taken for good", o, server.slotsInFlight)
		}
	}
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
