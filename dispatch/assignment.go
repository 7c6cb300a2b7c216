// SPDX-License-Identifier: Apache-2.0

package dispatch

// assign posts the txn or lets it wait at the node.
func (d *Dispatcher) assign(request *Request) {
	if request.Done || request.activeAttempts > 0 {
		return
	}
	// Danger: executors that never answer probes. What has heard nothing for some rounds goes out blindly.
	asking, count := d.settings.CapacityProbes && !d.settings.LiveCapacity && (request.probeRounds < probesPerRound || d.capacityReportedAt >= request.arrivedAt), 1
	if asking {
		count = probesPerRound
	}
	if len(request.Attempts) >= d.settings.MaxAttempts || request.firstPossibleRun() != nil && d.mayNotRepeat(request) {
		d.giveUp(request, AttemptsExhausted)
	} else if d.endpointsMayBeStale() {
		request.retryAt = d.now + minDelayTicks*d.settings.Tick
		d.queue.add(request)
	} else if drawn := d.draw(request, count); len(drawn) == 0 {
		// Danger: in a jam a node spends its processor time on looking for room that is not there.
		request.retryAt, request.fruitlessDraws = d.now+d.settings.Tick*min(request.fruitlessDraws, 16), request.fruitlessDraws+1
		d.queue.add(request)
	} else if asking {
		d.probeCapacity(request, drawn)
	} else {
		d.startAttempt(request, drawn[0])
	}
}

// startAttempt sends the txn and leaves behind what its outcome leads to.
func (d *Dispatcher) startAttempt(request *Request, server *Server) {
	attempt := &Attempt{Request: request, Server: server, Number: len(request.Attempts), InFlight: true, sentAt: d.now}
	request.Attempts = append(request.Attempts, attempt)
	server.slotsInFlight, d.slotsInFlight, request.keyState.slotsInFlight, request.activeAttempts = server.slotsInFlight+request.Slots, d.slotsInFlight+request.Slots, request.keyState.slotsInFlight+request.Slots, request.activeAttempts+1
	// Danger: a node that hears of a start late, and has sent to it as to a warm one since.
	if server.recentSends = server.recentSends.add(d.now, request.size, d.settings.OverloadWindow); d.settings.warmUpFactor(server, d.now) < 1 {
		attempt.SlowStartShare = request.size / d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1)
	}
	attempt.afterEnd = func() { d.assign(request) }
	d.actions.StartAttempt(attempt)
	d.superviseAttempt(attempt)
}

// MaySend says at a posting's first byte whether it may still leave. Danger: news that came while it waited.
func (d *Dispatcher) MaySend(attempt *Attempt) bool {
	return attempt.Server.State == Up && !attempt.Request.Done && !attempt.canceled && !d.endpointsMayBeStale()
}
