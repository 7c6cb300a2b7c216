// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// probesPerRound is the number of servers that are asked for their capacity at a time.
	probesPerRound = 4
	// maxUnansweredRounds is the number of rounds of probes after which a request is sent blindly if no server
	// has reported since it came.
	maxUnansweredRounds = 4
	// maxReportLifetime (ns) is the longest time for which a capacity report counts, and after which other
	// servers are asked.
	maxReportLifetime = 1e8
	// reservationLifetimes is the number of report lifetimes for which reports may lack a reservation.
	reservationLifetimes = 4
)

// shouldProbe says whether servers are asked for their capacity before the request is sent. After some rounds
// without any answer it is sent blindly: such servers never answer probes.
func (d *Dispatcher) shouldProbe(request *Request) bool {
	if !d.settings.CapacityProbes || d.settings.LiveCapacity {
		return false
	}
	return request.probeRounds < maxUnansweredRounds || d.capacityReportedAt >= request.arrivedAt
}

// probeCapacity asks some servers for their capacity; the first that reports enough gets the request. Each of
// many nodes sees next to nothing of the servers' load, and the late start of a long request can't be made
// good.
func (d *Dispatcher) probeCapacity(request *Request, servers []*Server) {
	for _, server := range servers {
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

// CapacityReported takes the end of a capacity probe. Where the server did not answer, reported is false and free slots
// and memory are 0.
func (d *Dispatcher) CapacityReported(server *Server, reported bool, freeSlots, freeMemory float64) {
	waiting := server.probeWaiters
	server.probeWaiters = nil
	server.capacityReportedAt = d.now
	server.freeSlots = server.reservations.sum(freeSlots, d.now-reservationLifetimes*d.reportLifetime)
	server.freeMemory = freeMemory
	if reported {
		d.capacityReportedAt = d.now
	}
	for _, request := range waiting {
		if d.acceptCapacity(request, server) {
			d.reserveCapacity(request, server)
		}
	}
}

// acceptCapacity says whether a request that waited for the report is sent to the server. The report may come
// late, after the server was removed or the request sent elsewhere. All nodes that hear of the same free slots
// would take them, so it is by chance.
func (d *Dispatcher) acceptCapacity(request *Request, server *Server) bool {
	if request.Done || request.activeAttempts != 0 {
		return false
	}
	if d.reportedFull(request, server) || !d.allowed(request, server) {
		return false
	}
	return d.random.Float64() < d.promptShare(d.zoneOf(server))
}

// reserveCapacity sends a request to a server that reported capacity.
func (d *Dispatcher) reserveCapacity(request *Request, server *Server) {
	server.freeMemory -= request.Memory
	d.startAttempt(request, server)
	d.SlotsReserved(server, request.Slots)
	if d.settings.PeerMessages && request.probeRounds > 1 {
		d.actions.NotifyPeers(server, request.Slots)
	}
}

// SlotsReserved takes a reservation of slots by this or another node. It counts for as long as reports may lack
// it.
func (d *Dispatcher) SlotsReserved(server *Server, slots float64) {
	server.reservations = server.reservations.add(d.now, -slots, reservationLifetimes*d.reportLifetime)
	server.freeSlots -= slots
}

// reportedFull says whether the server reported of late that it has too little capacity for the request.
func (d *Dispatcher) reportedFull(request *Request, server *Server) bool {
	if server.capacityReportedAt <= 0 || d.now-server.capacityReportedAt >= d.reportLifetime {
		return false
	}
	return server.freeSlots < request.Slots || server.freeMemory < request.Memory
}
