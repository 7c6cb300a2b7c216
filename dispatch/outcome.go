// SPDX-License-Identifier: Apache-2.0

package dispatch

// AttemptEnded takes the outcome of a posting; over says that the txn has ended by it or earlier.
func (d *Dispatcher) AttemptEnded(attempt *Attempt, o Outcome, took int64, over bool) {
	request, server := attempt.Request, attempt.Server
	if attempt.InFlight, server.lastEndedAt = false, d.now; attempt.startedAt > 0 {
		server.startedSlots -= request.Slots
	}
	free := func() {
		server.slotsInFlight, d.slotsInFlight, request.keyState.slotsInFlight, request.keyState.lastEndedAt = server.slotsInFlight-request.Slots, d.slotsInFlight-request.Slots, request.keyState.slotsInFlight-request.Slots, d.now
	}
	// Danger: what was taken back may run all the same; with its place taken for free a jam outlives its cause.
	if o == Canceled {
		d.actions.Schedule(d.expectedRuntime(request, 0.5), free)
	} else {
		free()
	}
	if attempt.provedNotRun = o == Rejected || o == ConnectFailed || o == NotSent; !attempt.canceled {
		request.activeAttempts--
	}
	// Danger: of many nodes none has more than one or two txns at an executor, and takes it for that small.
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, attempt.FreeSlots)
	// Danger: a txn that errs wherever it goes, or what is behind all executors, takes the healthy ones out.
	part, again, cured := 1.0, request.failedServer != nil && request.failedServer != server, d.retrySuccessRate(request)
	if o == Failed {
		part, request.failedServer = cured, server
	}
	if again && (o == Succeeded || o == Failed) {
		d.retrySuccess[request.Class.Index].decay(d.now).record(o == Succeeded)
		request.keyState.retrySuccess.decay(d.now).record(o == Succeeded)
	}
	if (request.AffinityKey != 0 || len(d.settings.Tenants) > 1) && (o == Succeeded || o == Failed) {
		far := float64(d.now-max(attempt.sentAt, attempt.startedAt)) > overdueFactor*float64(d.expectedRuntime(request, 0.5))
		// What is about one thing is alike; of a tenant's long runs alone say nothing.
		if bad := far && cured < minChance || request.AffinityKey != 0 && (far || part < minChance); bad || o == Succeeded {
			d.reduceKeyLimit(request.keyState, attempt, bad)
		}
	}
	switch o {
	case Succeeded:
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
	case Failed, TimedOut, ConnectFailed, ConnectionLost, StaleConnection: // Danger: a gone connection, at once, is no sick executor
		if !attempt.canceled && (o != StaleConnection || took > d.minStartTimeout()) {
			d.recordFailure(attempt, part)
		}
	case Rejected:
		// Danger: an executor that turns all away at once looks idle and draws everything; its limit falls as well.
		server.limitBeforeRejections = max(server.limitBeforeRejections, server.limit)
		d.adjustLimit(attempt, server.slotsInFlight+request.Slots, false)
	}
	if over {
		d.Finish(request)
	} else if o == TimedOut && attempt.Timeout == 0 { // its client has given up, whatever was told
		d.giveUp(request, ClientTimeout)
	} else if again && o == Failed && part < minRetrySuccess {
		d.giveUp(request, FailsEverywhere)
	}
	attempt.afterEnd()
}
