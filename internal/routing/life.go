// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// defaultIDWindow is how long an id is not taken again once its txn has ended, where the scheme does not say how long repeats are
// dropped: whoever repeats another client's id goes on for a while after that one has its answer. Clients use an id once.
const defaultIDWindow = 10 * time.Second

// idWindow is the same for one scheme.
func (r *Router) idWindow(scheme int) int64 {
	return cmp.Or(r.settings.Classes[scheme].DedupWindow, int64(defaultIDWindow))
}

// reserveID says whether a txn's id is new to this node, and keeps it.
// Danger: an id that is another client's, taken a second time; the two would run under one name, and the wrong one might
// get the answer.
func (r *Router) reserveID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if now-r.idsRotatedAt >= r.longestIDWindow {
		r.seenIDs[1], r.seenIDs[0], r.idsRotatedAt = r.seenIDs[0], map[string]int64{}, now
		for _, l := range r.requests {
			r.seenIDs[0][l.request.ID] = math.MaxInt64
		}
	}
	if max(r.seenIDs[0][id], r.seenIDs[1][id]) > now {
		return false
	}
	r.seenIDs[0][id] = math.MaxInt64
	return true
}

// removeRequest takes a txn out that has its final answer or lost its client; nil: there is none. Under mu.
func (r *Router) removeRequest(t *dispatch.Request) *requestState {
	l := r.requests[t]
	if l != nil {
		delete(r.requests, t)
		r.seenIDs[0][l.request.ID] = r.clock() + r.idWindow(l.request.Class)
		delete(r.seenIDs[1], l.request.ID)
	}
	return l
}

// requestState is a txn that has no final answer yet.
type requestState struct {
	number       int // in the order of arrival
	request      *protocol.Request
	arrivedAt    int64                   // by the node's clock, ns
	clientClosed bool                    // its client has closed
	response     chan *protocol.Response // holds the one final answer; nil: its client has gone
}

// Serve is the life of one txn, from the request read whole to its one final answer; nil: the module failed, and none is known.
func (r *Router) Serve(ctx context.Context, q *protocol.Request) *protocol.Response {
	// Danger: a full node that works for clients which closed while their requests waited in the socket.
	if ctx.Err() != nil || q.ClientGone() {
		return &protocol.Response{Status: http.StatusServiceUnavailable, ClientClosed: true}
	}
	if !r.reserveID(q.ID) {
		return &protocol.Response{Status: http.StatusConflict}
	}
	// Danger: a client counts its time from when it sent, and a node that is behind reads late what lay in the socket meanwhile.
	waited := r.delay.Delay()
	l := &requestState{request: q, response: make(chan *protocol.Response, 1)}
	t := &dispatch.Request{Tag: q.ID, Tenant: q.Tenant, Slots: q.Slots, Memory: q.Memory, AffinityKey: q.AffinityKey, ExpectedWork: q.ExpectedWork, UnreadTime: waited,
		Class: r.settings.Classes[q.Class]}
	err := r.event(func() {
		t.Deadline = r.clock() + int64(q.Timeout)
		r.requestCount++
		l.number, l.arrivedAt = r.requestCount, r.clock()
		r.requests[t] = l
		r.module.Arrive(t)
		// Danger: where clocks may differ the module moves the expiry; a node that ends has no more time for all that.
		if !t.Done && t.Deadline > r.shutdownDeadline {
			r.module.SetDeadline(t, r.shutdownDeadline)
		}
	})
	// Danger: a txn that the module lost in a fault; it is owed an answer all the same.
	if err != nil {
		r.event(func() { r.abandonRequest(t) })
		return &protocol.Response{Status: http.StatusInternalServerError}
	}
	select {
	case a := <-l.response:
		r.logUnserved(t, l, a)
		return a
	case <-ctx.Done():
		r.log.Debug().Str("id", q.ID).Int64("lag_ms", r.delay.Delay()/1e6).Msg("client closed before its answer")
		if r.event(func() { r.clientGone(t) }) != nil {
			r.event(func() { r.abandonRequest(t) })
		}
		return <-l.response
	}
}

// clientGone ends a txn whose client has closed. Danger: one that shut its sending side alone still reads, and what was read from it and
// ends with no answer is lost.
func (r *Router) clientGone(t *dispatch.Request) {
	if l := r.requests[t]; l != nil {
		l.clientClosed = true
		r.module.ClientClosed(t)
	}
}

// logUnserved tells of a request that ends with no result: why, after how long, with how many attempts, and how far the process is behind.
func (r *Router) logUnserved(t *dispatch.Request, l *requestState, a *protocol.Response) {
	if a != nil && a.Status != http.StatusOK && !a.ClientClosed {
		r.log.Debug().Str("id", t.Tag).Int("status", a.Status).Stringer("reason", t.Reason).Int("attempts", len(t.Attempts)).
			Int64("age_ms", (r.clock()-l.arrivedAt)/1e6).Int64("lag_ms", r.delay.Delay()/1e6).Msg("request not served")
	}
}

// Shutdown brings forward what is out: the node has been told to end, and all is answered within that time.
func (r *Router) Shutdown(within time.Duration) {
	r.event(func() {
		r.shutdownDeadline = r.clock() + int64(within)
		inOrder := slices.SortedFunc(maps.Keys(r.requests), func(a, b *dispatch.Request) int {
			return cmp.Compare(r.requests[a].number, r.requests[b].number)
		})
		for _, t := range inOrder {
			r.module.SetDeadline(t, r.shutdownDeadline)
		}
	})
}

// abandonRequest ends a txn whose client takes no answer any more.
func (r *Router) abandonRequest(t *dispatch.Request) {
	if l := r.removeRequest(t); l != nil {
		r.module.Finish(t)
		l.response <- nil
	}
}

// respond gives a txn its final answer, the first one that comes.
func (r *Router) respond(t *dispatch.Request, a *protocol.Response) {
	if l := r.removeRequest(t); l != nil {
		a.ClientClosed = l.clientClosed
		l.response <- a
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
		l.router.event(func() { l.router.clientGone(l.attempt.Request) })
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
