// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"net/http"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// StartAttempt implements dispatch.Actions: it sends a request to a server.
func (r *Router) StartAttempt(attempt *dispatch.Attempt) {
	deadline := r.attemptDeadline(attempt)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	r.cancelFuncs[attempt] = cancel
	run := &attemptRun{
		router:  r,
		attempt: attempt,
		outgoing: &protocol.Attempt{
			Request:  r.requests[attempt.Request].received,
			Deadline: deadline,
			Address:  r.address(attempt.Server),
		},
	}
	if r.quotaSource != nil {
		run.reservation = r.reserve(attempt)
		if run.reservation == nil {
			cancel()
			go r.attemptEnded(attempt, protocol.AttemptResult{Outcome: dispatch.NotSent}, r.clock())
			return
		}
	}
	go run.forward(ctx, cancel)
}

// attemptDeadline returns the time at which an attempt times out: the deadline of its request, or the
// end of the attempt's own timeout if that is earlier.
func (r *Router) attemptDeadline(attempt *dispatch.Attempt) time.Time {
	deadline := attempt.Request.Deadline
	if attempt.Timeout > 0 {
		deadline = min(deadline, r.clock()+attempt.Timeout)
	}
	return time.Now().Add(time.Duration(deadline - r.clock()))
}

// CancelAttempt implements dispatch.Actions. The outcome of the attempt is still reported afterwards.
func (r *Router) CancelAttempt(attempt *dispatch.Attempt) {
	if cancel := r.cancelFuncs[attempt]; cancel != nil {
		cancel()
	}
}

// attemptRun forwards one attempt to its server and reports its outcome exactly once. It runs on its
// own goroutine, which ends at the latest when the attempt's context ends.
type attemptRun struct {
	router      *Router
	attempt     *dispatch.Attempt
	outgoing    *protocol.Attempt
	reservation Reservation // nil: the node uses no quotas
	gate        *sendGate
	decidedAt   int64 // when the attempt was decided, by the node's clock, ns
	startedAt   int64 // when the server reported the start, by the node's clock, ns; 0: not reported
}

// forward sends the attempt and waits for its outcome.
func (a *attemptRun) forward(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	a.decidedAt = a.router.clock()
	a.gate = &sendGate{
		router:      a.router,
		attempt:     a.attempt,
		outgoing:    a.outgoing,
		ctx:         ctx,
		reservation: a.reservation,
	}
	a.outgoing.Gate = a.gate
	err := a.router.recoverPanic(func() {
		a.router.forwarder.Forward(ctx, a.outgoing, a.update, a.end)
	})
	// After a panic it is unknown whether the job has run, so the attempt counts as a lost connection.
	if err != nil {
		a.end(protocol.AttemptResult{Outcome: dispatch.ConnectionLost, Cause: err})
	}
}

// update reports to the module that the job has started or made progress.
func (a *attemptRun) update(update protocol.JobUpdate) {
	a.router.event(func() {
		if update.State != protocol.Started {
			a.router.module.AttemptProgressed(a.attempt)
			return
		}
		a.startedAt = a.router.clock()
		a.router.module.AttemptStarted(a.attempt)
	})
}

// end logs the attempt, releases its reservation and reports its outcome to the module.
func (a *attemptRun) end(result protocol.AttemptResult) {
	a.logTrace(result.Outcome)
	if a.reservation != nil {
		a.reservation.Release(serverFinished(result.Outcome))
	}
	a.router.attemptEnded(a.attempt, result, a.decidedAt)
}

// logTrace writes the log line that "fleetsim count" reads; its message and keys must not change. Times
// are Unix times in microseconds.
func (a *attemptRun) logTrace(outcome dispatch.Outcome) {
	a.router.log.Trace().
		Str("id", a.attempt.Request.Tag).
		Int("number", a.attempt.Number).
		Str("executor", a.attempt.Server.Tag).
		Stringer("outcome", outcome).
		Int64("sent_us", a.decidedAt/1e3).
		Int64("left_us", a.gate.sentAt.Load()/1e3).
		Int64("began_us", a.startedAt/1e3).
		Int64("ended_us", a.router.clock()/1e3).
		Msg("posting")
}

// serverFinished reports whether an outcome came from the server itself, which means that the attempt
// no longer runs there.
func serverFinished(outcome dispatch.Outcome) bool {
	return outcome == dispatch.Succeeded || outcome == dispatch.Failed || outcome == dispatch.Rejected
}

// attemptEnded reports the outcome of an attempt to the module and to the OnOutcome callback.
func (r *Router) attemptEnded(attempt *dispatch.Attempt, result protocol.AttemptResult, decidedAt int64) {
	r.event(func() { r.applyResult(attempt, result, decidedAt) })
	r.reportOutcome(attempt.Server.Tag, result.Outcome)
	if result.Cause == nil || result.Outcome == dispatch.Canceled {
		return
	}
	r.log.Debug().
		Err(result.Cause).
		Str("id", attempt.Request.Tag).
		Int("number", attempt.Number).
		Str("executor", attempt.Server.Tag).
		Stringer("outcome", result.Outcome).
		Int64("lag_ms", r.delay.Delay()/1e6).
		Msg("attempt failed")
}

// applyResult responds to the request if the attempt succeeded, and reports the outcome to the module.
// A second result of an attempt, which a panic after the first one can cause, is dropped. The caller
// must hold r.mu.
func (r *Router) applyResult(attempt *dispatch.Attempt, result protocol.AttemptResult, decidedAt int64) {
	if r.cancelFuncs[attempt] == nil {
		return
	}
	delete(r.cancelFuncs, attempt)
	if result.Outcome == dispatch.Succeeded {
		r.respond(attempt.Request, &protocol.Response{Status: http.StatusOK, Body: result.Result})
	}
	attempt.FreeSlots = result.FreeSlots
	answered := r.requests[attempt.Request] == nil
	r.module.AttemptEnded(attempt, result.Outcome, r.clock()-decidedAt, answered)
}

// reportOutcome reports to the OnOutcome callback whether an attempt failed at its server. Outcomes
// that are no evidence of the server's health are not reported.
func (r *Router) reportOutcome(serverID string, outcome dispatch.Outcome) {
	if r.onOutcome == nil {
		return
	}
	switch outcome {
	case dispatch.Succeeded:
		r.onOutcome(serverID, false)
	case dispatch.Failed, dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionLost:
		r.onOutcome(serverID, true)
	}
}
