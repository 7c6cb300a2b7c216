// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
)

func (d *Dispatcher) AttemptStarted(attempt *Attempt) {
	if !attempt.InFlight || attempt.startedAt > 0 {
		return
	}
	request, server := attempt.Request, attempt.Server
	attempt.startedAt, d.minStartDelay = d.now, min(cmp.Or(d.minStartDelay, d.now-attempt.sentAt), d.now-attempt.sentAt)
	server.startedSlots += request.Slots
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, server.startedSlots)
	if d.now-attempt.sentAt <= d.startTimeout(attempt) {
		d.adjustLimit(attempt, server.slotsInFlight, true)
	}
	// Tied copies: the first to start is kept, the others are still waiting and cost nothing to take back.
	for _, q := range request.Attempts {
		if q != attempt && q.startedAt == 0 {
			d.cancelAttempt(q)
		}
	}
	d.superviseAttempt(attempt)
}

func (d *Dispatcher) AttemptProgressed(attempt *Attempt) { attempt.progressAt = d.now }

// checkLater looks after a while at a posting that is still out.
// Danger: a node that stood still finds alarms and notes at once; its lateness looks like its executors'.
func (d *Dispatcher) checkLater(attempt *Attempt, after int64, then func()) {
	due := d.now + after + d.minStartTimeout()
	d.actions.Schedule(after, func() {
		switch {
		case !attempt.InFlight || attempt.Request.Done:
		case d.now > due:
			d.checkLater(attempt, d.settings.Tick, then)
		default:
			then()
		}
	})
}

// superviseAttempt sees to a posting's start, where executors tell of it, and then to its end.
func (d *Dispatcher) superviseAttempt(attempt *Attempt) {
	if attempt.startedAt > 0 || !d.settings.StartNotices {
		d.awaitEnd(attempt, d.settings.Tick)
		return
	}
	d.checkLater(attempt, d.startTimeout(attempt), func() {
		if server := attempt.Server; attempt.startedAt == 0 {
			// Danger: many slots stand half empty, or one that slowed is judged by its best. Late in a row, ever less.
			least := min(server.limit, server.typeStats.maxSlots/float64(max(d.settings.Nodes, 1))*math.Exp2(-server.lateStarts))
			d.adjustLimit(attempt, server.slotsInFlight, false)
			server.limitBeforeRejections, server.limit, server.lateStarts = 0, max(server.limit, least), server.lateStarts+1
			d.recordLowLimit(server)
			d.awaitStart(attempt)
		}
	})
}

// awaitStart decides what becomes of a posting that waits at its executor.
func (d *Dispatcher) awaitStart(attempt *Attempt) {
	wait, class := d.slack(attempt.Request, d.now)/2, attempt.Request.Class
	switch {
	case attempt.startedAt > 0:
		return
	// Danger: what is declined here may run all the same and comes back as a retry, so that a jam never ends.
	case class.Idempotency == Idempotent && class.LateShare == 0 && d.expectedValue(attempt.Request) <= 0:
		d.giveUp(attempt.Request, LateAtServer)
		return
	case !d.settings.LoadReports || wait <= d.minStartTimeout():
		d.hedge(attempt)
		wait = max((d.now-attempt.sentAt)/2, d.minStartTimeout())
	}
	d.checkLater(attempt, wait, func() { d.awaitStart(attempt) })
}

// awaitEnd decides what becomes of a posting that runs too long or stands still.
func (d *Dispatcher) awaitEnd(attempt *Attempt, wait int64) {
	run, period := d.expectedRuntime(attempt.Request, highQuantile), d.settings.ProgressInterval
	still := period > 0 && d.now-max(attempt.progressAt, attempt.startedAt, attempt.sentAt) > int64(missedProgressPeriods*float64(period))
	if still || d.now-max(attempt.sentAt, attempt.startedAt) > int64(overdueFactor*float64(run)) {
		if d.recordFailure(attempt, 1); still || d.settings.AllowHedging {
			d.hedge(attempt)
		}
	}
	wait = min(max(run/2, wait), cmp.Or(period, run))
	d.checkLater(attempt, wait, func() { d.awaitEnd(attempt, 2*wait) })
}

// minStartTimeout is how long the note of a start is waited for.
// Danger: measured from common delays it would grow with every jam, so that no limit ever fell.
func (d *Dispatcher) minStartTimeout() int64 { return 4 * (d.settings.Tick + d.minStartDelay) }

// startTimeout is how long a posting may wait at its executor before that counts as full: a part of its slack.
func (d *Dispatcher) startTimeout(attempt *Attempt) int64 {
	if !d.settings.LoadReports {
		return d.minStartTimeout()
	}
	return max(d.minStartTimeout(), d.slack(attempt.Request, attempt.sentAt)/4)
}

// slack is the time left to start in. Without a hint a long job's SLA time is long too; the middle one tells.
func (d *Dispatcher) slack(request *Request, from int64) int64 {
	return request.objectiveAt - d.expectedRuntime(request, [2]float64{0.5, highQuantile}[min(max(request.ExpectedWork, 0), 1)]) - from
}

// promptShare is the share of postings that started promptly, at home or away; one while nothing is known.
func (d *Dispatcher) promptShare(home bool) float64 {
	l := d.startPromptness[home].decay(d.now)
	return (l.hits + 1) / (l.total + 1)
}
