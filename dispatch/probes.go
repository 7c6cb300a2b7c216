// SPDX-License-Identifier: Apache-2.0

package dispatch

// probeCapacity looks for room at a few executors drawn; the first to tell of some gets the txn.
// Danger: of many nodes each sees next to nothing of load, and a long job's late start can't be made good.
func (d *Dispatcher) probeCapacity(request *Request, drawn []*Server) {
	for _, server := range drawn {
		if len(server.probeWaiters) == 0 {
			d.actions.ProbeCapacity(server)
		}
		server.probeWaiters = append(server.probeWaiters, request)
	}
	request.probeRounds++
	round := request.probeRounds
	d.actions.Schedule(int64(round)*d.reportLifetime, func() {
		if !request.Done && request.activeAttempts == 0 && request.probeRounds == round {
			d.queue.add(request)
		}
	})
}

// CapacityReported takes what an executor told of its room, if it told of any.
// Danger: what many nodes were told they all take at once; so with the chance that starts are prompt.
func (d *Dispatcher) CapacityReported(server *Server, told bool, free, memory float64) {
	askers := server.probeWaiters
	server.freeSlots = server.reservations.sum(free, d.now-4*d.reportLifetime)
	if server.probeWaiters, server.capacityReportedAt, server.freeMemory = nil, d.now, memory; told {
		d.capacityReportedAt = d.now
	}
	for _, request := range askers {
		// Danger: an answer that comes late; the executor may be gone, and the txn out or over.
		if !request.Done && request.activeAttempts == 0 && !d.reportedFull(request, server) && d.allowed(request, server) &&
			d.random.Float64() < d.promptShare(d.zoneOf(server)) {
			server.freeMemory -= request.Memory
			d.startAttempt(request, server)
			d.SlotsReserved(server, request.Slots)
			if d.settings.PeerMessages && request.probeRounds > 1 {
				d.actions.NotifyPeers(server, request.Slots)
			}
		}
	}
}

// SlotsReserved notes slots that this or another node took at an executor, for as long as reports may lack them.
func (d *Dispatcher) SlotsReserved(server *Server, slots float64) {
	server.reservations = server.reservations.add(d.now, -slots, 4*d.reportLifetime)
	server.freeSlots -= slots
}

// reportedFull says whether the executor told lately that the txn finds no room there.
func (d *Dispatcher) reportedFull(request *Request, server *Server) bool {
	return server.capacityReportedAt > 0 && d.now-server.capacityReportedAt < d.reportLifetime && (server.freeSlots < request.Slots || server.freeMemory < request.Memory)
}

// shouldProbe says whether servers are asked for their capacity before the request is sent. After some rounds without any answer it is
// sent blindly: such servers never answer probes.
func (d *Dispatcher) shouldProbe(request *Request) bool {
	if !d.settings.CapacityProbes || d.settings.LiveCapacity {
		return false
	}
	return request.probeRounds < maxUnansweredRounds || d.capacityReportedAt >= request.arrivedAt
}
