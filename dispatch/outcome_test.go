// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestCanceledAttemptKeepsSlotsReserved checks that the slots of a canceled attempt stay reserved for an
// expected running time, since it may still run. The slots of attempts with another outcome are released at
// once.
func TestCanceledAttemptKeepsSlotsReserved(t *testing.T) {
	for _, o := range []Outcome{Canceled, Failed} {
		w := newHarness(t, 1, testSettings())
		w.addServers(1, false)
		w.arrive(0, 1, 2e8, 4e9)
		server := w.inFlight[0].Server
		w.d.Finish(w.requests[0])
		w.finalAnswers[w.requests[0]] = 1
		w.endAttempt(w.inFlight[0], o)
		if reserved := server.slotsInFlight == 1; reserved != (o == Canceled) {
			t.Errorf("%v: %v slots reserved after the outcome, want 1 only if canceled",
				o, server.slotsInFlight)
		}
		w.advance(19e7)
		if reserved := server.slotsInFlight == 1; reserved != (o == Canceled) {
			t.Errorf("%v: %v slots reserved shortly before the expected end, want 1 only if canceled",
				o, server.slotsInFlight)
		}
		if w.advance(2e8); server.slotsInFlight != 0 {
			t.Errorf("%v: %v slots reserved after the expected end, want 0", o, server.slotsInFlight)
		}
	}
}

// TestTimeoutEndsRequest checks that a time-out means that the client has given up: the request gets its
// final answer and is not sent again.
func TestTimeoutEndsRequest(t *testing.T) {
	for i := range 5 {
		w := newHarness(t, 3, clockSettings())
		w.addServers(4, false)
		request := w.arrive(i, 1, 5e7, 25e8)
		w.advance(1e9)
		n := len(request.Attempts)
		w.endAttempt(request.Attempts[0], TimedOut)
		if w.advance(1e8); !request.Done || len(request.Attempts) != n {
			t.Errorf("class %d: done is %v, want true; got %d attempts, want %d",
				i, request.Done, len(request.Attempts), n)
		}
	}
}
