// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"net/http/httptrace"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// exchange is one request to a server and its response. It records the connection that http.Transport assigns
// to the request.
type exchange struct {
	attempt         *protocol.Attempt // nil for a probe
	schedulingDelay func() time.Duration

	conn *serverConn // nil if no connection was assigned
	use  int         // number of uses of conn, this request included
	// unexpectedResponse is set if the response arrived before the request's first byte was written. It is a
	// second response to an earlier request, which http.Transport treats as the response to this one. If it
	// is a rejection, a job that is running would be sent again.
	unexpectedResponse bool
}

// clientTrace returns the hooks that http.Transport calls during the exchange. They run in the goroutine of
// RoundTrip, or before it returns.
func (e *exchange) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.start(info.Conn.(*serverConn)) },
		GotFirstResponseByte: func() {
			e.unexpectedResponse = e.conn.exchangeState.Load() != exchangeResponseStarted
		},
		PutIdleConn: func(err error) {
			if err == nil {
				e.conn.budget.markIdle(&e.conn.trackedConn, e.use)
			}
		},
	}
}

// start prepares the connection for the request, and sets the request's remaining time at the moment it is
// sent.
func (e *exchange) start(conn *serverConn) {
	e.conn = conn
	e.use = conn.budget.markActive(&conn.trackedConn)
	if e.attempt == nil {
		conn.beginExchange(nil)
		return
	}
	e.attempt.SetTimeout(time.Now().Add(e.schedulingDelay()))
	conn.beginExchange(e.attempt.Gate)
}

// reused reports whether the connection was used for another request before.
func (e *exchange) reused() bool { return e.use > 1 }

// failureOutcome returns the outcome of an attempt without a response, depending on what is proved about how
// much of it was sent. A connection that was idle may have been closed by the server or by a middlebox, which
// is not a failure of the server.
func (e *exchange) failureOutcome(ctx context.Context, err error) dispatch.Outcome {
	// http.Transport calls GotConn before it writes to the connection, so without a connection nothing was
	// sent.
	if e.conn == nil && isLocalFailure(err) {
		return dispatch.NotSent
	}
	if outcome, ended := contextOutcome(ctx); ended {
		return outcome
	}
	if e.conn == nil {
		return dispatch.ConnectFailed
	}
	unsent, reclaimed := e.conn.closeAndCheckUnsent(e.use)
	switch {
	case unsent && (reclaimed || e.reused() || e.conn.wasDenied()):
		return dispatch.NotSent
	case unsent:
		return dispatch.ConnectFailed
	case e.reused():
		return dispatch.StaleConnection
	default:
		return dispatch.ConnectionLost
	}
}

// contextOutcome returns the outcome of an attempt whose context has ended. ended is false if the context has
// not ended.
func contextOutcome(ctx context.Context) (outcome dispatch.Outcome, ended bool) {
	err := ctx.Err()
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, context.Canceled):
		return dispatch.Canceled, true
	default:
		return dispatch.TimedOut, true
	}
}
