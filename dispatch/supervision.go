// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
)

const (
	// overdueFactor is the multiple of the high estimate of running times after which an attempt counts as
	// failed.
	overdueFactor = 4.0
	// missedProgressPeriods is the number of reporting periods without a progress report after which an
	// attempt counts as stalled.
	missedProgressPeriods = 1.5
)

// AttemptStarted processes a server's report that an attempt has started.
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
	// The first hedged attempt to start is kept. Canceling attempts that have not started costs nothing.
	for _, other := range request.Attempts {
		if other != attempt && other.startedAt == 0 {
			d.cancelAttempt(other)
		}
	}
	d.superviseAttempt(attempt)
}

// AttemptProgressed processes a server's progress report.
func (d *Dispatcher) AttemptProgressed(attempt *Attempt) { attempt.progressAt = d.now }

// checkLater calls check after a delay (ns) if the attempt is still in flight then. A process that was
// stalled finds due timers and unread reports at the same time, and would attribute its own delay to the
// servers. In that case it first reads the reports for one tick.
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

// superviseAttempt waits for the start of an attempt, if servers report it, and then for its end.
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

// handleLateStart reduces the limit of a server at which an attempt waits for its start. The first reduction
// does not go below this node's equal part of the slots that the server's machine type is known to have;
// otherwise servers with many slots would be half idle. Each consecutive late start halves that bound, since
// a server that has become slow no longer runs as many requests.
func (d *Dispatcher) handleLateStart(attempt *Attempt) {
	server := attempt.Server
	nodeSlots := server.typeStats.maxSlots / float64(max(d.settings.Nodes, 1))
	minLimit := min(server.limit, nodeSlots*math.Exp2(-server.lateStarts))
	d.recordLateStart(attempt, server.slotsInFlight)
	server.limitBeforeRejections = 0
	server.limit = max(server.limit, minLimit)
	server.lateStarts++
	d.recordLowLimit(server)
}

// awaitStart periodically decides whether to give up, hedge or retry an attempt that waits at its server.
func (d *Dispatcher) awaitStart(attempt *Attempt) {
	if attempt.startedAt > 0 {
		return
	}
	request := attempt.Request
	// Only if a late answer earns nothing: a request that is shed here may still run, and may return as a
	// retry repeatedly.
	lateWorthless := request.Class.Idempotency == Idempotent && request.Class.LateShare == 0
	if lateWorthless && d.expectedValue(request) <= 0 {
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

// awaitEnd periodically checks a running attempt for a stall or an excessive running time. The interval
// starts at the given wait (ns) and doubles each time, up to a bound.
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

// stalled reports whether an attempt's progress report is overdue.
func (d *Dispatcher) stalled(attempt *Attempt) bool {
	period := d.settings.ProgressInterval
	silence := d.now - max(attempt.progressAt, attempt.startedAt, attempt.sentAt)
	return period > 0 && silence > int64(missedProgressPeriods*float64(period))
}
