// SPDX-License-Identifier: Apache-2.0

package dispatch

// maxDrawPause is the number of ticks up to which the pause after a draw without a server grows.
const maxDrawPause = 16

// assign sends a request to a server, asks servers for their capacity, or lets the request wait.
func (d *Dispatcher) assign(request *Request) {
	if request.Done || request.activeAttempts > 0 {
		return
	}
	if len(request.Attempts) >= d.settings.MaxAttempts || !d.mayRepeat(request) {
		d.giveUp(request, AttemptsExhausted)
		return
	}
	if d.endpointsMayBeStale() {
		request.retryAt = d.now + minDelayTicks*d.settings.Tick
		d.queue.add(request)
		return
	}
	probing := d.shouldProbe(request)
	count := 1
	if probing {
		count = probesPerRound
	}
	servers := d.draw(request, count)
	switch {
	case len(servers) == 0:
		// Under congestion a node would spend its processor time on looking for capacity that is not there.
		request.retryAt = d.now + d.settings.Tick*min(request.fruitlessDraws, maxDrawPause)
		request.fruitlessDraws++
		d.queue.add(request)
	case probing:
		d.probeCapacity(request, servers)
	default:
		d.startAttempt(request, servers[0])
	}
}

// startAttempt sends a request to a server.
func (d *Dispatcher) startAttempt(request *Request, server *Server) {
	attempt := &Attempt{Request: request, Server: server, Number: len(request.Attempts), InFlight: true, sentAt: d.now}
	request.Attempts = append(request.Attempts, attempt)
	request.activeAttempts++
	request.keyState.slotsInFlight += request.Slots
	server.slotsInFlight += request.Slots
	d.slotsInFlight += request.Slots
	// Counted for warm servers too: the report of a server's restart may come after what is sent here.
	server.recentSends = server.recentSends.add(d.now, request.size, d.settings.OverloadWindow)
	if d.settings.warmUpFactor(server, d.now) < 1 {
		attempt.SlowStartShare = d.slowStartCost(request, server)
	}
	d.actions.StartAttempt(attempt)
	d.superviseAttempt(attempt)
}

// MaySend says at the first byte of an attempt whether it may still leave. An update of the list may have come
// while it waited.
func (d *Dispatcher) MaySend(attempt *Attempt) bool {
	return attempt.Server.State == Up && !attempt.Request.Done && !attempt.canceled && !d.endpointsMayBeStale()
}
