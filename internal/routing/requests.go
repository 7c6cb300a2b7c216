// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

func (r *Router) Shed(t *dispatch.Request, returnIn int64) {
	r.respond(t, &protocol.Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Duration(returnIn)})
}

func (r *Router) Compensate(t *dispatch.Request) {
	r.respond(t, &protocol.Response{Status: http.StatusInternalServerError})
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
	err := r.tryEvent(func() {
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
		if r.tryEvent(func() { r.clientGone(t) }) != nil {
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

// reserveID reserves the id of a new request; false: it is in use, or was so until recently.
func (r *Router) reserveID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids.reserve(id, r.clock(), r.openIDs)
}

// openIDs iterates over the ids of the open requests. Under mu.
func (r *Router) openIDs(yield func(id string) bool) {
	for _, l := range r.requests {
		if !yield(l.request.ID) {
			return
		}
	}
}

// removeRequest takes a request out that has its final response or lost its client; nil: there is none. Under mu.
func (r *Router) removeRequest(t *dispatch.Request) *requestState {
	l := r.requests[t]
	if l != nil {
		delete(r.requests, t)
		r.ids.releaseAt(l.request.ID, r.clock()+idWindow(t.Class))
	}
	return l
}
