// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

func (r *Router) StartAttempt(p *dispatch.Attempt) {
	till := p.Request.Deadline
	if p.Timeout > 0 {
		till = min(till, r.clock()+p.Timeout)
	}
	deadline := time.Now().Add(time.Duration(till - r.clock()))
	ctx, withdraw := context.WithDeadline(context.Background(), deadline)
	r.cancelFuncs[p] = withdraw
	job := &protocol.Attempt{Request: r.requests[p.Request].received, Deadline: deadline, Address: r.address(p.Server)}
	var charge Reservation
	if r.quotaSource != nil {
		if charge = r.quotaSource.Reserve(p.Server.Tag, r.tenantName(p.Request), p.Number > 0, p.SlowStartShare); charge == nil {
			defer withdraw()
			go r.attemptEnded(p, protocol.AttemptResult{Outcome: dispatch.NotSent}, r.clock())
			return
		}
	}
	go r.runAttempt(ctx, withdraw, p, job, charge)
}

func (r *Router) CancelAttempt(p *dispatch.Attempt) {
	if withdraw := r.cancelFuncs[p]; withdraw != nil {
		withdraw()
	}
}

// sendGate is asked by the connection at the first byte of a posting, of each there is.
// Danger: a posting that was decided before its executor was told of as leaving, or its txn was answered, and waited since
// for a connection, the processor or a descriptor. Nothing of it has left, so it is proved not run.
type sendGate struct {
	router      *Router
	attempt     *dispatch.Attempt
	outgoing    *protocol.Attempt
	ctx         context.Context
	reservation Reservation  // nil: it takes nothing
	sentAt      atomic.Int64 // when it was let go; 0: it has not been
}

func (l *sendGate) MaySend() bool {
	l.router.mu.Lock()
	l.router.module.SetSchedulingDelay(l.router.delay.Delay())
	stands := l.router.module.MaySend(l.attempt) && l.router.address(l.attempt.Server) == l.outgoing.Address
	l.router.mu.Unlock()
	if !stands || l.ctx.Err() != nil || l.outgoing.TimeoutOverstated(time.Now()) {
		return false
	}
	// Danger: word that a client has closed waits behind work at a full node, and its job is begun for nobody.
	if l.outgoing.Request.ClientGone() {
		l.router.event(func() { l.router.clientClosed(l.attempt.Request) })
		return false
	}
	if l.reservation != nil && !l.reservation.MaySend() {
		return false
	}
	l.sentAt.Store(l.router.clock())
	return true
}

func (l *sendGate) Sent() {
	if l.reservation != nil {
		l.reservation.Sent()
	}
}

// runAttempt takes one posting to its executor and tells the module of its one outcome.
func (r *Router) runAttempt(ctx context.Context, withdraw context.CancelFunc, p *dispatch.Attempt, job *protocol.Attempt, charge Reservation) {
	sent, gate := r.clock(), &sendGate{router: r, attempt: p, outgoing: job, ctx: ctx, reservation: charge}
	job.Gate = gate
	defer withdraw()
	began := int64(0) // when it told of its start
	ended := func(e protocol.AttemptResult) {
		r.log.Trace().Str("id", p.Request.Tag).Int("number", p.Number).Str("executor", p.Server.Tag).Stringer("outcome", e.Outcome).
			Int64("sent_us", sent/1e3).Int64("left_us", gate.sentAt.Load()/1e3).Int64("began_us", began/1e3).Int64("ended_us", r.clock()/1e3).Msg("posting")
		if charge != nil {
			charge.Release(e.Outcome == dispatch.Succeeded || e.Outcome == dispatch.Failed || e.Outcome == dispatch.Rejected)
		}
		r.attemptEnded(p, e, sent)
	}
	// Danger: a fault in one posting's goroutine takes the node down; it may have run by then.
	if err := r.recoverPanic(func() {
		r.forwarder.Forward(ctx, job, func(line protocol.JobUpdate) {
			r.event(func() {
				if line.State == protocol.Started {
					began = r.clock()
					r.module.AttemptStarted(p)
				} else {
					r.module.AttemptProgressed(p)
				}
			})
		}, ended)
	}); err != nil {
		ended(protocol.AttemptResult{Outcome: dispatch.ConnectionLost, Cause: err})
	}
}

// attemptEnded tells the module of a posting's one outcome.
func (r *Router) attemptEnded(p *dispatch.Attempt, e protocol.AttemptResult, sent int64) {
	r.event(func() {
		if r.cancelFuncs[p] == nil {
			return
		}
		delete(r.cancelFuncs, p)
		if e.Outcome == dispatch.Succeeded {
			r.respond(p.Request, &protocol.Response{Status: http.StatusOK, Body: e.Result})
		}
		p.FreeSlots = e.FreeSlots
		r.module.AttemptEnded(p, e.Outcome, r.clock()-sent, r.requests[p.Request] == nil)
	})
	if r.onOutcome != nil {
		switch e.Outcome {
		case dispatch.Succeeded:
			r.onOutcome(p.Server.Tag, false)
		case dispatch.Failed, dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionLost:
			r.onOutcome(p.Server.Tag, true)
		}
	}
	if e.Cause != nil && e.Outcome != dispatch.Canceled {
		r.log.Debug().Err(e.Cause).Str("id", p.Request.Tag).Int("number", p.Number).Str("executor", p.Server.Tag).Stringer("outcome", e.Outcome).
			Int64("lag_ms", r.delay.Delay()/1e6).Msg("attempt failed")
	}
}
