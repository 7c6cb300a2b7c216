// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestCapacityProbes: a request goes to the server that tells of room for it, slots and memory, and not to
// those that tell of none; where nobody answers it goes out all the same, before it is hopeless.
func TestCapacityProbes(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes = true
	w := newHarness(t, 9, settings)
	w.addServers(8, false)
	request := w.arrive(0, 2, 1e8, 9e9)
	if len(request.Attempts) > 0 || len(w.probes) != probesPerRound {
		t.Fatalf("%d attempts, %d probes", len(request.Attempts), len(w.probes))
	}
	request.Memory = 2
	w.d.CapacityReported(w.probes[0], true, 1, 4)
	w.d.CapacityReported(w.probes[1], true, 4, 1)
	w.d.CapacityReported(w.probes[2], false, 0, 0)
	w.d.ProcessQueue()
	if len(request.Attempts) > 0 {
		t.Fatal("sent to a server without room")
	}
	w.d.CapacityReported(w.probes[3], true, 2, 2)
	w.d.ProcessQueue()
	if len(request.Attempts) != 1 || request.Attempts[0].Server != w.probes[3] {
		t.Fatal("not sent where there is room")
	}
	w.completeAll()
	silent := newHarness(t, 9, settings)
	silent.addServers(8, false)
	request = silent.arrive(0, 1, 3e9, 9e9)
	if silent.advance(2e9); len(request.Attempts) == 0 {
		t.Error("no probe is answered, and the request never goes out")
	}
}

// TestLateCapacityReports: an answer that comes when the server is gone or the request over leads to nothing.
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
	w.finals[request] = 1
	w.d.Finish(request)
	w.d.CapacityReported(w.endpoints[3].Server, true, 9, 9)
	if w.d.ProcessQueue(); len(request.Attempts) > 0 {
		t.Error("sent")
	}
}

// TestReportedCapacityIsTakenByChance: where starts are late though room was told of, it is taken by chance
// only.
func TestReportedCapacityIsTakenByChance(t *testing.T) {
	settings := testSettings()
	settings.CapacityProbes = true
	taken := 0
	for seed := range uint64(100) {
		w := newHarness(t, seed, settings)
		w.addServers(4, false)
		w.d.promptStarts[ownZone].total, w.d.promptStarts[ownZone].decayedAt = 9, w.now
		request := w.arrive(0, 1, 1e8, 9e9)
		if w.d.CapacityReported(w.probes[0], true, 9, 9); len(request.Attempts) > 0 {
			taken++
		}
		w.completeAll()
	}
	if taken > 30 || taken == 0 {
		t.Errorf("taken by %d of 100 where one start in ten is prompt", taken)
	}
}

// TestReservationsAreNotified: reports are late, and what this node or another took since is not in them. A
// request that found no room at first tells the others what it took; words long past change nothing.
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
		t.Fatalf("%d attempts, %d told of a request that found room at once", len(first.Attempts), len(w.notified))
	}
	w.completeAll()
	second := w.arrive(0, 1, 1e9, 9e9)
	w.d.CapacityReported(server, true, 1, 9)
	if len(second.Attempts) > 0 {
		t.Fatal("the slot that this node has just taken is taken again")
	}
	w.advance(6 * maxReportLifetime)
	w.d.CapacityReported(server, true, 1, 9)
	if len(second.Attempts) != 1 || len(w.notified) != 1 {
		t.Fatalf("%d attempts, %d told", len(second.Attempts), len(w.notified))
	}
	other, server := start()
	other.d.SlotsReserved(server, w.notified[0])
	held := other.arrive(0, 1, 1e9, 9e9)
	if other.d.CapacityReported(server, true, 1, 9); len(held.Attempts) > 0 {
		t.Error("a slot that another node told it has taken is taken again")
	}
	other.advance(6 * maxReportLifetime)
	if other.d.CapacityReported(server, true, 1, 9); len(held.Attempts) != 1 {
		t.Error("what was told once counts for ever")
	}
}
