// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestCapacityProbes checks that a request goes to the server that reports enough slots and memory, and not
// to those that report too little. If no server answers, the request is sent before it is given up.
func TestCapacityProbes(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes = true
	w := newHarness(t, 9, settings)
	w.addServers(8, false)
	request := w.arrive(0, 2, 1e8, 9e9)
	if len(request.Attempts) > 0 || len(w.probes) != probesPerRound {
		t.Fatalf("got %d attempts, want 0; got %d probes, want %d",
			len(request.Attempts), len(w.probes), probesPerRound)
	}
	request.Memory = 2
	w.d.CapacityReported(w.probes[0], true, 1, 4)
	w.d.CapacityReported(w.probes[1], true, 4, 1)
	w.d.CapacityReported(w.probes[2], false, 0, 0)
	w.d.ProcessQueue()
	if len(request.Attempts) > 0 {
		t.Fatalf("no server has enough capacity: got %d attempts, want 0", len(request.Attempts))
	}
	w.d.CapacityReported(w.probes[3], true, 2, 2)
	w.d.ProcessQueue()
	if len(request.Attempts) != 1 || request.Attempts[0].Server != w.probes[3] {
		t.Fatalf("got %d attempts, want 1 at the server that reported enough capacity", len(request.Attempts))
	}
	w.completeAll()
	unanswered := newHarness(t, 9, settings)
	unanswered.addServers(8, false)
	request = unanswered.arrive(0, 1, 3e9, 9e9)
	if unanswered.advance(2e9); len(request.Attempts) == 0 {
		t.Error("no probe was answered, and the request was not sent within 2 s")
	}
}

// TestLateCapacityReports checks that a report has no effect if it arrives after the server was removed or
// the request ended.
func TestLateCapacityReports(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes = true
	w := newHarness(t, 9, settings)
	w.addServers(4, false)
	request := w.arrive(0, 1, 1e8, 9e9)
	for _, m := range w.endpoints[:2] {
		m.State = Draining
	}
	w.endpoints[2].State = Removed
	w.updateEndpoints(true)
	for _, m := range w.endpoints[:3] {
		w.d.CapacityReported(m.Server, true, 9, 9)
	}
	w.finalAnswers[request] = 1
	w.d.Finish(request)
	w.d.CapacityReported(w.endpoints[3].Server, true, 9, 9)
	if w.d.ProcessQueue(); len(request.Attempts) > 0 {
		t.Errorf("reports arrived too late: got %d attempts, want 0", len(request.Attempts))
	}
}

// TestReportedCapacityIsUsedAtRandom checks that reported capacity is used only with a certain probability
// if starts are late despite reported capacity.
func TestReportedCapacityIsUsedAtRandom(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes = true
	accepted := 0
	for seed := range uint64(100) {
		w := newHarness(t, seed, settings)
		w.addServers(4, false)
		w.d.promptStarts[ownZone].total, w.d.promptStarts[ownZone].decayedAt = 9, w.now
		request := w.arrive(0, 1, 1e8, 9e9)
		if w.d.CapacityReported(w.probes[0], true, 9, 9); len(request.Attempts) > 0 {
			accepted++
		}
		w.completeAll()
	}
	if accepted > 30 || accepted == 0 {
		t.Errorf("reported capacity used by %d of 100 requests with one of ten starts prompt, want 1 to 30",
			accepted)
	}
}

// TestReservationsAreNotified checks that reservations by this node and others are subtracted from reports,
// which may be too old to include them. A request that found no capacity at first notifies the other nodes
// of its reservation. Old reservations have no effect.
func TestReservationsAreNotified(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes, settings.PeerMessages = true, true
	start := func() (*harness, *Server) {
		w := newHarness(t, 9, settings)
		w.addServers(1, false)
		w.endpoints[0].Server.Hash = HashName("e")
		return w, w.endpoints[0].Server
	}
	w, server := start()
	first := w.arrive(0, 1, 1e8, 9e9)
	w.d.CapacityReported(server, true, 1, 9)
	if len(first.Attempts) != 1 || len(w.notified) > 0 {
		t.Fatalf(
			"got %d attempts, want 1; got %d notifications of a request that found capacity at once, want 0",
			len(first.Attempts), len(w.notified))
	}
	w.completeAll()
	second := w.arrive(0, 1, 1e9, 9e9)
	w.d.CapacityReported(server, true, 1, 9)
	if len(second.Attempts) > 0 {
		t.Fatalf("slot reserved by this node: got %d attempts of another request, want 0",
			len(second.Attempts))
	}
	w.advance(6 * maxReportLifetime)
	w.d.CapacityReported(server, true, 1, 9)
	if len(second.Attempts) != 1 || len(w.notified) != 1 {
		t.Fatalf("after the reservation expired: got %d attempts, want 1; got %d notifications, want 1",
			len(second.Attempts), len(w.notified))
	}
	other, server := start()
	other.d.RecordReservation(server, w.notified[0])
	waiting := other.arrive(0, 1, 1e9, 9e9)
	if other.d.CapacityReported(server, true, 1, 9); len(waiting.Attempts) > 0 {
		t.Errorf("slot reserved by another node: got %d attempts, want 0", len(waiting.Attempts))
	}
	other.advance(6 * maxReportLifetime)
	if other.d.CapacityReported(server, true, 1, 9); len(waiting.Attempts) != 1 {
		t.Errorf("reservation of another node expired: got %d attempts, want 1", len(waiting.Attempts))
	}
}
