// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
)

const (
	// overdueFactor is the multiple of the high end of running times after which an attempt counts as failed.
	overdueFactor = 4.0
	// missedProgressPeriods is the number of periods without a progress report after which an attempt counts as
	// stalled.
	missedProgressPeriods = 1.5
)

// AttemptStarted takes a server's report that an attempt has started.
func (d *Dispatcher) AttemptStarted(attempt *Attempt) {
	if !attempt.InFlight || attempt.startedAt > 0 {
		return
	}
	request, server := attempt.Request, attempt.Server
	delay := d.now - attempt.sentAt
	attempt.startedAt = d.now
	d.minStartDelay = min(cmp.Or(d.minStartDelay, delay), delay)
	server.startedSlots += request.Slots
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, server.startedSlots)
	if delay <= d.startTimeout(attempt) {
		d.recordPromptStart(server)
	}
	// The first of the hedged attempts to start is kept. Those that still wait cost nothing to cancel.
	for _, other := range request.Attempts {
		if other != attempt && other.startedAt == 0 {
			d.cancelAttempt(other)
		}
	}
	d.superviseAttempt(attempt)
}

// AttemptProgressed takes a server's progress report.
func (d *Dispatcher) AttemptProgressed(attempt *Attempt) { attempt.progressAt = d.now }

// checkLater calls check after some ns, if the attempt is still in flight then. A process that was held up
// finds due timers and unread reports together and would take its own delay for the servers', so it first reads
// the reports, for a tick.
func (d *Dispatcher) checkLater(attempt *Attempt, after int64, check func()) {
	latest := d.now + after + d.minStartTimeout()
	d.actions.Schedule(after, func() {
		switch {
		case !attempt.InFlight || attempt.Request.Done:
		case d.now > latest:
			d.checkLater(attempt, d.settings.Tick, check)
		default:
			check()
		}
	})
}

// superviseAttempt waits for an attempt's start, where servers report it, and then for its end.
func (d *Dispatcher) superviseAttempt(attempt *Attempt) {
	if attempt.startedAt > 0 || !d.settings.StartNotices {
		d.awaitEnd(attempt, d.settings.Tick)
		return
	}
	d.checkLater(attempt, d.startTimeout(attempt), func() {
		if attempt.startedAt == 0 {
			d.handleLateStart(attempt)
			d.awaitStart(attempt)
		}
	})
}

// handleLateStart reduces the limit of a server where an attempt waits for its start, at first not below this
// node's share of the slots that its machine type is known to have: servers with many slots would stand half
// empty. Each late start in a row halves that bound, since a server that has become slow does not run as many
// any more.
func (d *Dispatcher) handleLateStart(attempt *Attempt) {
	server := attempt.Server
	share := server.typeStats.maxSlots / float64(max(d.settings.Nodes, 1))
	least := min(server.limit, share*math.Exp2(-server.lateStarts))
	d.recordLateStart(attempt, server.slotsInFlight)
	server.limitBeforeRejections = 0
	server.limit = max(server.limit, least)
	server.lateStarts++
	d.recordLowLimit(server)
}

// awaitStart decides from time to time what becomes of an attempt that waits at its server.
func (d *Dispatcher) awaitStart(attempt *Attempt) {
	if attempt.startedAt > 0 {
		return
	}
	request := attempt.Request
	// Only where a late answer earns nothing: what is shed here may run all the same and come back as a retry,
	// without an end.
	worthless := request.Class.Idempotency == Idempotent && request.Class.LateShare == 0
	if worthless && d.expectedValue(request) <= 0 {
		d.giveUp(request, LateAtServer)
		return
	}
	wait := d.slack(request, d.now) / 2
	if !d.settings.LoadReports || wait <= d.minStartTimeout() {
		d.hedgeOrRetry(attempt)
		wait = max((d.now-attempt.sentAt)/2, d.minStartTimeout())
	}
	d.checkLater(attempt, wait, func() { d.awaitStart(attempt) })
}

// awaitEnd decides from time to time what becomes of an attempt that runs. It waits longer each time, from a
// first number of ns on.
func (d *Dispatcher) awaitEnd(attempt *Attempt, wait int64) {
	runtime := d.expectedRuntime(attempt.Request, highQuantile)
	stalled := d.stalled(attempt)
	overdue := d.now-max(attempt.sentAt, attempt.startedAt) > int64(overdueFactor*float64(runtime))
	if stalled || overdue {
		d.recordFailure(attempt, 1)
		if stalled || d.settings.AllowHedging {
			d.hedgeOrRetry(attempt)
		}
	}
	wait = min(max(runtime/2, wait), cmp.Or(d.settings.ProgressInterval, runtime))
	d.checkLater(attempt, wait, func() { d.awaitEnd(attempt, 2*wait) })
}

// stalled says whether an attempt owes a progress report for too long.
func (d *Dispatcher) stalled(attempt *Attempt) bool {
	period := d.settings.ProgressInterval
	silence := d.now - max(attempt.progressAt, attempt.startedAt, attempt.sentAt)
	return period > 0 && silence > int64(missedProgressPeriods*float64(period))
}
