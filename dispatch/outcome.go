// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// minRetrySuccess is the chance to succeed at another server under which two failures end a request.
	minRetrySuccess = 0.1
	// likelyRetrySuccess is that chance from which a failure is taken for the server's.
	likelyRetrySuccess = 0.5
)

// AttemptEnded takes the outcome of an attempt, some ns after it was sent. With requestEnded the request has
// its final answer.
func (d *Dispatcher) AttemptEnded(attempt *Attempt, outcome Outcome, took int64, requestEnded bool) {
	request, server := attempt.Request, attempt.Server
	d.releaseSlots(attempt, outcome)
	attempt.provedNotRun = outcome.provesNotRun()
	if !attempt.canceled {
		request.activeAttempts--
	}
	// Of many nodes none has more than a few requests at a server, and would take it for that small without its
	// reports.
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
		// A request that fails wherever it goes, or what all servers depend on, would make healthy servers
		// outliers.
		d.attemptFailed(attempt, retrySuccess)
	case TimedOut, ConnectFailed, ConnectionLost:
		d.attemptFailed(attempt, 1)
	case StaleConnection:
		if took > d.minStartTimeout() { // one that was closed while it was idle shows at once, and is no failure
			d.attemptFailed(attempt, 1)
		}
	case Rejected:
		d.attemptRejected(attempt)
	}
	switch {
	case requestEnded:
		d.Finish(request)
	case outcome == TimedOut && attempt.Timeout == 0: // its client has given up, whatever deadline it told
		d.giveUp(request, ClientTimeout)
	case outcome == Failed && failedElsewhere && retrySuccess < minRetrySuccess:
		d.giveUp(request, FailsEverywhere)
	}
	d.assign(request)
}

// releaseSlots takes the attempt's slots out of those in flight. A canceled attempt may run all the same, so
// its slots stay reserved for a running time; without that a server would be filled with work that nobody waits
// for.
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

// recordRetry counts how a request that had failed elsewhere ended.
func (d *Dispatcher) recordRetry(request *Request, outcome Outcome) {
	succeeded := outcome == Succeeded
	d.retrySuccess[request.Class.Index].decay(d.now).record(succeeded)
	request.keyState.retrySuccess.decay(d.now).record(succeeded)
}

// attemptSucceeded takes an answer that came so many ns after the attempt was sent.
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

// attemptFailed lowers the server's reliability by its share of the blame, unless the attempt was canceled
// before.
func (d *Dispatcher) attemptFailed(attempt *Attempt, share float64) {
	if !attempt.canceled {
		d.recordFailure(attempt, share)
	}
}

// attemptRejected reduces the server's limit. A server that rejects everything at once looks idle and would be
// sent everything.
func (d *Dispatcher) attemptRejected(attempt *Attempt) {
	server := attempt.Server
	server.limitBeforeRejections = max(server.limitBeforeRejections, server.limit)
	d.recordLateStart(attempt, server.slotsInFlight+attempt.Request.Slots)
}
