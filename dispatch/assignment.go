// SPDX-License-Identifier: Apache-2.0

package dispatch

// maxDrawBackoffTicks is the maximum backoff after a draw without a server, in ticks.
const maxDrawBackoffTicks = 16

// assign sends a request to a server, probes servers for their capacity, or puts the request back into the
// queue.
func (d *Dispatcher) assign(request *Request) {
	if request.Done || request.activeAttempts > 0 {
		return
	}
	if request.clientUnverified {
		d.giveUp(request, ClientNotVerified)
		return
	}
	if len(request.Attempts) >= d.settings.MaxAttempts || !d.mayRepeat(request, nil) {
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
		// Back off: under congestion a node would otherwise spend its processor time on searching for
		// capacity that does not exist.
		request.retryAt = d.now + d.settings.Tick*min(request.failedDraws, maxDrawBackoffTicks)
		request.failedDraws++
		d.queue.add(request)
	case probing:
		d.probeCapacity(request, servers)
	default:
		d.startAttempt(request, servers[0])
	}
}

// startAttempt sends a request to a server.
func (d *Dispatcher) startAttempt(request *Request, server *Server) {
	attempt := &Attempt{
		Request: request, Server: server, Number: len(request.Attempts), InFlight: true, group: server.dedupGroup(),
		serverStartedAt: server.startedAt, sentAt: d.now}
	request.Attempts = append(request.Attempts, attempt)
	request.activeAttempts++
	request.keyState.slotsInFlight += request.Slots
	server.slotsInFlight += request.Slots
	d.slotsInFlight += request.Slots
	// Sends to warm servers are recorded too: the endpoint list may report a restart only after this request
	// was sent.
	server.recentSends = server.recentSends.add(d.now, request.size, d.settings.OverloadWindow)
	if d.settings.warmUpFactor(server, d.now) < 1 {
		attempt.SlowStartShare = d.slowStartCost(request, server)
	}
	d.actions.StartAttempt(attempt)
	d.superviseAttempt(attempt)
}

// MaySend reports whether an attempt may still be sent. The caller sets the clock and calls it immediately before
// the first byte, which may be much later than the decision: the attempt waits for a connection meanwhile. By
// then the endpoint list may have changed, the server may have restarted, and the group of servers may no longer
// remember the idempotency key of a request that may have run before.
func (d *Dispatcher) MaySend(attempt *Attempt) bool {
	request, server := attempt.Request, attempt.Server
	if request.Done || request.clientUnverified || attempt.canceled || server.State != Up || d.endpointsMayBeStale() {
		return false
	}
	// A server that has restarted has less capacity than the one for which the attempt was decided, and connections
	// that waited for it are established at the same time at all nodes.
	if server.startedAt != attempt.serverStartedAt || server.dedupGroup() != attempt.group {
		return false
	}
	return d.mayRepeat(request, attempt) && request.inDedupGroup(server, attempt)
}
