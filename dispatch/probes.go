// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// probesPerRound is the number of servers that are probed for their capacity at a time.
	probesPerRound = 4
	// maxUnansweredRounds is the number of probe rounds after which a request is sent without a capacity
	// report if no server has reported its capacity since the request arrived.
	maxUnansweredRounds = 4
	// maxReportLifetime (ns) is the longest time for which a capacity report is valid, and after which other
	// servers are probed.
	maxReportLifetime = 1e8
	// reservationLifetimes is the number of report lifetimes for which a server's reports may not include a
	// reservation yet.
	reservationLifetimes = 4
)

// shouldProbe reports whether servers are probed for their capacity before the request is sent. After
// several rounds without any answer the request is sent without a report, since such servers never answer
// probes.
func (d *Dispatcher) shouldProbe(request *Request) bool {
	if !d.settings.CapacityProbes || d.settings.LiveCapacity {
		return false
	}
	return request.probeRounds < maxUnansweredRounds || d.capacityReportedAt >= request.arrivedAt
}

// probeCapacity probes some servers for their capacity. The first one that reports enough receives the
// request. With many nodes, each one observes only a small part of the servers' load, and the delay from the
// late start of a long request cannot be recovered.
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

// CapacityReported processes the result of a capacity probe. If the server did not answer, reported is
// false, and freeSlots and freeMemory are 0.
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

// acceptCapacity reports whether a request that waited for the report is sent to the server. The report may
// arrive after the server was removed or the request was sent elsewhere. The decision is random, since all
// nodes that receive a report of the same free slots would otherwise use them at once.
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
	d.RecordReservation(server, request.Slots)
	if d.settings.PeerMessages && request.probeRounds > 1 {
		d.actions.NotifyPeers(server, request.Slots)
	}
}

// RecordReservation records a reservation of slots by this or another node. It counts for as long as the
// server's reports may not include it yet.
func (d *Dispatcher) RecordReservation(server *Server, slots float64) {
	server.reservations = server.reservations.add(d.now, -slots, reservationLifetimes*d.reportLifetime)
	server.freeSlots -= slots
}

// reportedFull reports whether a valid capacity report of the server shows too little capacity for the
// request.
func (d *Dispatcher) reportedFull(request *Request, server *Server) bool {
	if server.capacityReportedAt <= 0 || d.now-server.capacityReportedAt >= d.reportLifetime {
		return false
	}
	return server.freeSlots < request.Slots || server.freeMemory < request.Memory
}
