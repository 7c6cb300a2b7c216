// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// exchange is the connection that one request has, and how often it has been used.
type exchange struct {
	conn            *trackedConn
	use             int
	attempt         *protocol.Attempt // nil: it is a probe
	schedulingDelay func() int64
	// unexpectedResponse: the answer had come before the request's first byte was written, a second one to an earlier request.
	// Danger: it says that the earlier one never ran, the library takes it for this one's, and what runs is sent again.
	unexpectedResponse bool
}

func (h *exchange) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			h.conn = i.Conn.(*trackedConn)
			h.use = h.conn.budget.markActive(h.conn)
			if h.attempt == nil {
				h.conn.beginExchange(nil)
				return
			}
			h.attempt.SetTimeout(time.Now().Add(time.Duration(h.schedulingDelay())))
			h.conn.beginExchange(h.attempt.Gate)
		},
		GotFirstResponseByte: func() { h.unexpectedResponse = h.conn.exchangeState.Load() != exchangeResponseStarted },
		PutIdleConn: func(err error) {
			if err == nil {
				h.conn.budget.markIdle(h.conn, h.use)
			}
		},
	}
}

// drainBody reads an answer to its end, which gives its connection back.
func drainBody(body io.Reader, cancel context.CancelFunc) {
	stop := time.AfterFunc(responseTailTimeout, cancel)
	defer stop.Stop()
	io.CopyN(io.Discard, body, 4096) // more than that is not worth a connection
}

// contextOutcome is the outcome of a posting that the node has stopped waiting for; Settled: it has not.
func contextOutcome(ctx context.Context) dispatch.Outcome {
	switch {
	case ctx.Err() == nil:
		return dispatch.Succeeded
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Canceled
	}
	return dispatch.TimedOut
}

// failureOutcome is the outcome of a posting that got no answer, by what is proved.
// Danger: kept connections that executors, or what stands between, close early are taken for executors in trouble.
func failureOutcome(ctx context.Context, h *exchange, err error) dispatch.Outcome {
	used, kept := h.conn, h.use > 1
	switch {
	case used == nil && (errors.Is(err, errNoDescriptor) || errors.Is(err, errSendDenied) || errors.Is(err, errDialDelayed)):
		return dispatch.NotSent
	case contextOutcome(ctx) != dispatch.Succeeded:
		return contextOutcome(ctx)
	// The library tells of a connection before it writes to it, in the same goroutine as the call.
	case used == nil:
		return dispatch.ConnectFailed
	}
	never, yielded := used.closeAndCheckUnsent(h.use)
	switch {
	case never && (yielded || kept || used.writeDenied):
		return dispatch.NotSent
	case never:
		return dispatch.ConnectFailed
	case kept:
		return dispatch.StaleConnection
	}
	return dispatch.ConnectionLost
}
