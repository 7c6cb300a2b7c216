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

// requestState is an open request: one that has no final response yet.
type requestState struct {
	sequence     int // in the order of arrival
	received     *protocol.Request
	arrivedAt    int64 // by the node's clock, ns
	clientClosed bool
	response     chan *protocol.Response // holds the one final response; nil: the module failed and none is known
}

// Serve takes a request, read completely, to its one final response. nil: the module failed, and
// none is known.
func (r *Router) Serve(ctx context.Context, received *protocol.Request) *protocol.Response {
	// A client may have closed while its request waited in the socket. Without this an overloaded
	// node would work for nobody.
	if ctx.Err() != nil || received.ClientGone() {
		return &protocol.Response{Status: http.StatusServiceUnavailable, ClientClosed: true}
	}
	if !r.reserveID(received.ID) {
		return &protocol.Response{Status: http.StatusConflict}
	}
	request := r.newRequest(received)
	state := &requestState{received: received, response: make(chan *protocol.Response, 1)}
	if err := r.tryEvent(func() { r.arrive(request, state) }); err != nil {
		// The module may have lost the request in the panic, so that it would never end it.
		r.event(func() { r.abandonRequest(request) })
		return &protocol.Response{Status: http.StatusInternalServerError}
	}
	select {
	case response := <-state.response:
		r.logUnserved(request, state, response)
		return response
	case <-ctx.Done():
		r.endForClosedClient(request)
		return <-state.response
	}
}

// newRequest gives the decision module's form of a request.
func (r *Router) newRequest(received *protocol.Request) *dispatch.Request {
	return &dispatch.Request{
		Tag:          received.ID,
		Class:        r.settings.Classes[received.Class],
		Tenant:       received.Tenant,
		Slots:        received.Slots,
		Memory:       received.Memory,
		AffinityKey:  received.AffinityKey,
		ExpectedWork: received.ExpectedWork,
		// The client counts its timeout from when it sent. A process that is short of CPU reads
		// late what has lain in the socket.
		UnreadTime: r.delay.Delay(),
	}
}

// arrive registers a request and hands it to the module. Under mu.
func (r *Router) arrive(request *dispatch.Request, state *requestState) {
	now := r.clock()
	request.Deadline = now + int64(state.received.Timeout)
	r.requestCount++
	state.sequence = r.requestCount
	state.arrivedAt = now
	r.requests[request] = state
	r.module.Arrive(request)
	// Where clocks may differ the module has changed the deadline; a node that shuts down has no
	// more time for that.
	if !request.Done && request.Deadline > r.shutdownDeadline {
		r.module.SetDeadline(request, r.shutdownDeadline)
	}
}

// endForClosedClient has the module end a request whose client has closed.
func (r *Router) endForClosedClient(request *dispatch.Request) {
	r.log.Debug().
		Str("id", request.Tag).
		Int64("lag_ms", r.delay.Delay()/1e6).
		Msg("client closed before its answer")
	if r.tryEvent(func() { r.clientClosed(request) }) != nil {
		r.event(func() { r.abandonRequest(request) })
	}
}

// clientClosed tells the module that a client has closed. The request still gets its final
// response: a client that has only shut its sending side may read it, and would otherwise not learn
// what became of its request. Under mu.
func (r *Router) clientClosed(request *dispatch.Request) {
	if state := r.requests[request]; state != nil {
		state.clientClosed = true
		r.module.ClientClosed(request)
	}
}

// logUnserved logs a request that ends without a result: why, how old it is and how long runnable
// work waits in this process.
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

// Shutdown has all requests, open ones and those still to come, answered within a time.
func (r *Router) Shutdown(within time.Duration) {
	r.event(func() {
		r.shutdownDeadline = r.clock() + int64(within)
		for _, request := range r.openRequests() {
			r.module.SetDeadline(request, r.shutdownDeadline)
		}
	})
}

// openRequests gives the open requests in the order of their arrival. Under mu.
func (r *Router) openRequests() []*dispatch.Request {
	return slices.SortedFunc(maps.Keys(r.requests), func(a, b *dispatch.Request) int {
		return cmp.Compare(r.requests[a].sequence, r.requests[b].sequence)
	})
}

// Shed implements dispatch.Actions: the request is rejected as one that has not run. retryAfter, in
// ns, is advice; 0: none.
func (r *Router) Shed(request *dispatch.Request, retryAfter int64) {
	r.respond(request, &protocol.Response{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: time.Duration(retryAfter),
	})
}

// Compensate implements dispatch.Actions: the request fails, and may have run.
func (r *Router) Compensate(request *dispatch.Request) {
	r.respond(request, &protocol.Response{Status: http.StatusInternalServerError})
}

// respond gives a request its final response. Later ones for the same request are dropped. Under mu.
func (r *Router) respond(request *dispatch.Request, response *protocol.Response) {
	if state := r.removeRequest(request); state != nil {
		response.ClientClosed = state.clientClosed
		state.response <- response
	}
}

// abandonRequest ends a request that gets no response any more. Under mu.
func (r *Router) abandonRequest(request *dispatch.Request) {
	if state := r.removeRequest(request); state != nil {
		r.module.Finish(request)
		state.response <- nil
	}
}

// removeRequest removes an open request and gives its state; nil: it is not open. Under mu.
func (r *Router) removeRequest(request *dispatch.Request) *requestState {
	state := r.requests[request]
	if state == nil {
		return nil
	}
	delete(r.requests, request)
	r.ids.releaseAt(state.received.ID, r.clock()+idWindow(request.Class))
	return state
}

// reserveID reserves the id of a new request; false: it is in use, or was so until recently.
func (r *Router) reserveID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids.reserve(id, r.clock(), r.openIDs)
}

// openIDs iterates over the ids of the open requests. Under mu.
func (r *Router) openIDs(yield func(id string) bool) {
	for _, state := range r.requests {
		if !yield(state.received.ID) {
			return
		}
	}
}
