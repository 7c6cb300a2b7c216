// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// minRetrySuccess is the probability of success at another server below which a second failure ends a
	// request.
	minRetrySuccess = 0.1
	// likelyRetrySuccess is the probability of success at another server from which on a failure is
	// attributed to the server rather than to the request.
	likelyRetrySuccess = 0.5
)

// AttemptEnded processes the outcome of an attempt, took ns after it was sent. If requestEnded is true, the
// request has its final answer.
func (d *Dispatcher) AttemptEnded(attempt *Attempt, outcome Outcome, took int64, requestEnded bool) {
	request, server := attempt.Request, attempt.Server
	d.releaseSlots(attempt, outcome)
	attempt.provedNotRun = outcome.provesNotRun()
	if !attempt.canceled {
		request.activeAttempts--
	}
	// With many nodes, each one has only a few requests at a server. Without the reports, it would
	// underestimate the server's number of slots.
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, attempt.FreeSlots)

	failedElsewhere := request.failedServer != nil && request.failedServer != server
	retrySuccess := d.retrySuccessRate(request)
	if outcome == Succeeded || outcome == Failed {
		if failedElsewhere {
			d.recordRetry(request, outcome)
		}
		d.adjustKeyLimit(attempt, outcome, retrySuccess)
	}
	switch outcome {
	case Succeeded:
		d.attemptSucceeded(attempt, took)
	case Failed:
		request.failedServer = server
		// Requests that fail at every server, and faults of a service that all servers depend on, would
		// otherwise make healthy servers outliers.
		d.attemptFailed(attempt, retrySuccess)
	case TimedOut, ConnectFailed, ConnectionLost:
		d.attemptFailed(attempt, 1)
	case StaleConnection:
		// A connection that was closed while idle fails sooner, which is not a failure of the server.
		if took > d.minStartTimeout() {
			d.attemptFailed(attempt, 1)
		}
	case Rejected:
		d.attemptRejected(attempt)
	}
	switch {
	case requestEnded:
		d.Finish(request)
	case outcome == TimedOut && attempt.Timeout == 0: // the client gave up, whatever deadline it had sent
		d.giveUp(request, ClientTimeout)
	case outcome == Failed && failedElsewhere && retrySuccess < minRetrySuccess:
		d.giveUp(request, FailsEverywhere)
	}
	d.assign(request)
}

// releaseSlots subtracts the attempt's slots from those in flight. A canceled attempt may still run, so its
// slots stay reserved for the expected running time; otherwise the server would be filled with work whose
// results are unused.
func (d *Dispatcher) releaseSlots(attempt *Attempt, outcome Outcome) {
	request, server := attempt.Request, attempt.Server
	attempt.InFlight = false
	server.lastEndedAt = d.now
	if attempt.startedAt > 0 {
		server.startedSlots -= request.Slots
	}
	release := func() {
		server.slotsInFlight -= request.Slots
		d.slotsInFlight -= request.Slots
		request.keyState.slotsInFlight -= request.Slots
		request.keyState.lastEndedAt = d.now
	}
	if outcome == Canceled {
		d.actions.Schedule(d.expectedRuntime(request, medianQuantile), release)
	} else {
		release()
	}
}

// recordRetry records the result of a request that had failed at another server before.
func (d *Dispatcher) recordRetry(request *Request, outcome Outcome) {
	succeeded := outcome == Succeeded
	d.retrySuccess[request.Class.Index].decay(d.now).record(succeeded)
	request.keyState.retrySuccess.decay(d.now).record(succeeded)
}

// attemptSucceeded processes a successful response that arrived took ns after the attempt was sent.
func (d *Dispatcher) attemptSucceeded(attempt *Attempt, took int64) {
	request, server := attempt.Request, attempt.Server
	if !request.Done && d.now <= request.objectiveAt {
		d.classValues[request.Class.Index].hits += request.priorityWeight
	}
	if !attempt.failureRecorded {
		server.reliability.recordSuccess(d.now)
		server.idleUntil = d.now + d.settings.IdleTimeout
		if server.listed {
			d.withIdleConnection.add(server)
		}
		d.recordRank(request, recentResult{server: server, duration: float64(took) / request.workUnit()})
	}
	d.recordRuntime(attempt, d.now-max(attempt.sentAt, attempt.startedAt))
}

// attemptFailed lowers the server's reliability in proportion to its part of the blame, unless the attempt
// was canceled before.
func (d *Dispatcher) attemptFailed(attempt *Attempt, blame float64) {
	if !attempt.canceled {
		d.recordFailure(attempt, blame)
	}
}

// attemptRejected reduces the server's limit. Otherwise a server that rejects every request at once would
// look idle and attract all requests.
func (d *Dispatcher) attemptRejected(attempt *Attempt) {
	server := attempt.Server
	server.limitBeforeRejections = max(server.limitBeforeRejections, server.limit)
	d.recordLateStart(attempt, server.slotsInFlight+attempt.Request.Slots)
}
