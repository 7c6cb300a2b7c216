// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"testing"
)

// FuzzRules drives the dispatcher through random valid histories. Every action is checked against the four
// rules.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed, uint8(seed*11))
	}
	f.Fuzz(func(t *testing.T, seed uint64, flags uint8) {
		w := newHarness(t, seed, testSettings())
		w.settings.AllowHedging = flags&1 == 0
		w.settings.AllowCancel = flags&2 == 0
		w.settings.StartNotices = flags&4 == 0
		w.settings.Nodes, w.settings.LoadReports = 1+int(seed%3)*200, flags&16 != 0
		w.settings.CapacityProbes, w.settings.PeerMessages = flags&32 != 0, flags&32 != 0
		w.settings.LiveCapacity = flags&64 != 0
		if flags&8 != 0 {
			w.settings.CrossZoneCost, w.settings.ProgressInterval = 0.1, 0
		}
		w.addServers(int(seed%13), true)
		for range 600 {
			w.randomStep()
		}
		w.checkAllAnswered()
		for len(w.inFlight) > 0 {
			w.endAttempt(w.inFlight[0], Canceled)
		}
		w.advance(6e9) // the slots of canceled attempts stay reserved for a while
		for _, m := range w.endpoints {
			if server := m.Server; server.slotsInFlight != 0 || server.startedSlots != 0 {
				t.Fatalf("server has %v slots in flight and %v started after all attempts ended, want 0",
					server.slotsInFlight, server.startedSlots)
			}
		}
	})
}

// randomStep performs one random valid step.
func (w *harness) randomStep() {
	switch n := w.IntN(20); {
	case n < 6:
		w.arrive(w.IntN(len(w.settings.Classes)), float64(int(1)<<w.IntN(3)),
			1e7+w.Int64N(6e8), w.Int64N(5e9)+2e7)
	case n < 10 && len(w.inFlight) > 0:
		w.endAttempt(w.inFlight[w.IntN(len(w.inFlight))], Outcome(w.IntN(int(StaleConnection)+1)))
	case n < 14 && len(w.inFlight) > 0:
		attempt := w.inFlight[w.IntN(len(w.inFlight))]
		if busy := attempt.Server.startedSlots; busy+attempt.Request.Slots <= testSlots {
			w.d.AttemptStarted(attempt)
		}
		w.d.AttemptProgressed(attempt)
	case n == 14 && len(w.endpoints) > 0:
		m := w.endpoints[w.IntN(len(w.endpoints))]
		if m.State = EndpointState(w.IntN(3)); m.State == Up && w.IntN(2) == 0 {
			m.StartedAt = w.now
		}
		w.updateEndpoints(w.IntN(3) == 0)
	case n == 15 && len(w.requests) > 0:
		if request := w.requests[w.IntN(len(w.requests))]; w.finalAnswers[request] == 0 && w.IntN(4) == 0 {
			w.finalAnswers[request] = 1
			w.d.Finish(request)
		}
	case n == 17 && len(w.probes) > 0:
		i := w.IntN(len(w.probes))
		server := w.probes[i]
		w.probes = slices.Delete(w.probes, i, i+1)
		w.d.CapacityReported(server, w.IntN(3) > 0, float64(w.IntN(3)), float64(w.IntN(3)))
	case n == 18 && len(w.endpoints) > 0:
		w.d.RecordReservation(w.endpoints[w.IntN(len(w.endpoints))].Server, float64(w.IntN(300)))
	case n == 16:
		w.d.PollFailed(0, 0)
	default:
		w.advance(w.Int64N(3e8))
	}
}

// checkAllAnswered advances past all deadlines and checks that each request has exactly one final answer.
func (w *harness) checkAllAnswered() {
	w.advance(6e9)
	for _, request := range w.requests {
		if w.finalAnswers[request] != 1 {
			w.Fatalf("rule 1: request of class %d has %d final answers, want 1",
				request.Class.Index, w.finalAnswers[request])
		}
	}
}
