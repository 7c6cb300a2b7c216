// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// requestState is the state of an open request, one without a final response.
type requestState struct {
	sequence     int // number of the request in the order of arrival, from 1
	received     *protocol.Request
	arrivedAt    int64 // by the node's clock, ns
	clientClosed bool
	// response buffers the final response; nil: the module failed and the outcome is unknown.
	response chan *protocol.Response
}

// Serve processes a completely read request and returns its final response. It returns nil if the
// decision module failed and the outcome is unknown.
func (r *Router) Serve(ctx context.Context, received *protocol.Request) *protocol.Response {
	// The client may have closed while its request waited in the socket. An overloaded node must not
	// spend time on such requests.
	if rejection := rejectDeparted(ctx, received); rejection != nil {
		return rejection
	}
	if !r.reserveID(received.ID) {
		return &protocol.Response{Status: http.StatusConflict}
	}
	request := r.newRequest(received)
	if r.idRegistry != nil {
		if rejection := r.reserveInNode(request, received); rejection != nil {
			return rejection
		}
		defer func() { r.idRegistry.Release(received.ID, reservationAfterEnd(request)) }()
	}
	state := &requestState{received: received, response: make(chan *protocol.Response, 1)}
	if err := r.tryEvent(func() { r.arrive(request, state) }); err != nil {
		// The module may have lost track of the request in the panic and would then never end it.
		r.event(func() { r.abandonRequest(request) })
		return &protocol.Response{Status: http.StatusInternalServerError}
	}
	select {
	case response := <-state.response:
		r.logUnserved(request, state, response)
		return response
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), protocol.ErrClientUnknown) {
			r.event(func() { r.clientUnverified(request) })
		} else {
			r.endForClosedClient(request)
		}
		response := <-state.response
		r.logUnserved(request, state, response)
		return response
	}
}

// rejectDeparted returns the response to a request whose client has closed, or may have closed without notice. It
// returns nil for any other request.
func rejectDeparted(ctx context.Context, received *protocol.Request) *protocol.Response {
	state := received.CurrentClientState()
	closed := ctx.Err() != nil && !errors.Is(context.Cause(ctx), protocol.ErrClientUnknown)
	switch {
	case closed || state == protocol.ClientClosed:
		return &protocol.Response{Status: http.StatusServiceUnavailable, ClientClosed: true}
	case state == protocol.ClientUnknown:
		return &protocol.Response{Status: http.StatusServiceUnavailable}
	default:
		return nil
	}
}

// newRequest converts a received request to the form of the decision module.
func (r *Router) newRequest(received *protocol.Request) *dispatch.Request {
	return &dispatch.Request{
		Tag:          received.ID,
		Class:        r.settings.Classes[received.Class],
		Tenant:       received.Tenant,
		Slots:        received.Slots,
		Memory:       received.Memory,
		AffinityKey:  received.AffinityKey,
		ExpectedWork: received.ExpectedWork,
		// The client's timeout starts when it sends the request. A process that is short of CPU time
		// reads the request from the socket later.
		MaxUnreadDuration: r.delay.Delay(),
	}
}

// arrive registers a request and passes it to the module. The caller must hold r.mu.
func (r *Router) arrive(request *dispatch.Request, state *requestState) {
	now := r.clock()
	request.Deadline = now + int64(state.received.Timeout)
	r.requestCount++
	state.sequence = r.requestCount
	state.arrivedAt = now
	r.requests[request] = state
	r.module.Arrive(request)
	// The module may have moved the deadline, also to a later time, if the settings allow for clock
	// differences. A node that is shutting down must still respond before its shutdown deadline.
	if !request.Done && request.Deadline > r.shutdownDeadline {
		r.module.SetDeadline(request, r.shutdownDeadline)
	}
}

// endForClosedClient makes the module end a request whose client has closed its connection.
func (r *Router) endForClosedClient(request *dispatch.Request) {
	r.log.Debug().
		Str("id", request.Tag).
		Int64("lag_ms", r.delay.Delay()/1e6).
		Msg("client closed before the response; ending its request")
	if r.tryEvent(func() { r.clientClosed(request) }) != nil {
		r.event(func() { r.abandonRequest(request) })
	}
}

// clientClosed reports to the module that a client has closed its connection. The request still gets
// its final response, because a client that has closed only its sending side may read it and has no
// other way to learn the outcome. The caller must hold r.mu.
func (r *Router) clientClosed(request *dispatch.Request) {
	if state := r.requests[request]; state != nil {
		state.clientClosed = true
		r.module.ClientClosed(request)
	}
}

// clientUnverified reports to the module that the close of a client would not be detected. The caller must hold
// r.mu.
func (r *Router) clientUnverified(request *dispatch.Request) {
	if r.requests[request] != nil {
		r.module.ClientUnverified(request)
	}
}

// logUnserved logs a request that ended without a result, with the reason, the age of the request and
// the scheduling delay of this process.
func (r *Router) logUnserved(request *dispatch.Request, state *requestState, response *protocol.Response) {
	if response == nil || response.Status == http.StatusOK || response.ClientClosed {
		return
	}
	r.log.Debug().
		Str("id", request.Tag).
		Int("status", response.Status).
		Stringer("reason", request.Reason).
		Int("attempts", len(request.Attempts)).
		Int64("age_ms", (r.clock()-state.arrivedAt)/1e6).
		Int64("lag_ms", r.delay.Delay()/1e6).
		Msg("request not served")
}

// Shutdown limits the deadlines of all open and later requests, so that each gets its response within
// the given time.
func (r *Router) Shutdown(within time.Duration) {
	r.event(func() {
		r.shutdownDeadline = r.clock() + int64(within)
		for _, request := range r.openRequests() {
			r.module.SetDeadline(request, r.shutdownDeadline)
		}
	})
}

// openRequests returns the open requests in the order of arrival. The caller must hold r.mu.
func (r *Router) openRequests() []*dispatch.Request {
	return slices.SortedFunc(maps.Keys(r.requests), func(a, b *dispatch.Request) int {
		return cmp.Compare(r.requests[a].sequence, r.requests[b].sequence)
	})
}

// Shed implements dispatch.Actions: it rejects a request that has not run. retryAfter, in ns, is the
// delay that the client is advised to wait before a retry; 0: no advice.
func (r *Router) Shed(request *dispatch.Request, retryAfter int64) {
	r.respond(request, &protocol.Response{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: time.Duration(retryAfter),
	})
}

// Compensate implements dispatch.Actions: it fails a request that may have run.
func (r *Router) Compensate(request *dispatch.Request) {
	r.respond(request, &protocol.Response{Status: http.StatusInternalServerError})
}

// respond sends the final response of a request. Later responses to the same request are dropped. The
// caller must hold r.mu.
func (r *Router) respond(request *dispatch.Request, response *protocol.Response) {
	if state := r.removeRequest(request); state != nil {
		response.ClientClosed = state.clientClosed
		state.response <- response
	}
}

// abandonRequest ends a request without a response after the module has failed. The caller must hold
// r.mu.
func (r *Router) abandonRequest(request *dispatch.Request) {
	if state := r.removeRequest(request); state != nil {
		r.module.Finish(request)
		state.response <- nil
	}
}

// removeRequest removes an open request and returns its state, or nil if the request is not open. The
// caller must hold r.mu.
func (r *Router) removeRequest(request *dispatch.Request) *requestState {
	state := r.requests[request]
	if state == nil {
		return nil
	}
	delete(r.requests, request)
	if window := reservationAfterEnd(request); window > 0 {
		r.ids.releaseAt(state.received.ID, r.clock()+int64(window))
	} else {
		r.ids.release(state.received.ID)
	}
	return state
}
