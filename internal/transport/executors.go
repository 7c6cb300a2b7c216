// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// responseTailTimeout is how long the end of an answer is waited for once its last line is in, to keep the connection.
const responseTailTimeout = time.Second

// errSendDenied says that a connection was not tried, or a request not written, since this node's share allows no more now.
var errSendDenied = errors.New("held back: the share of it is used up")

// errUnexpectedResponse says that an answer was there before its request.
var errUnexpectedResponse = errors.New("an answer to an earlier request")

// errNoDescriptor says that a connection was not tried, for want of a descriptor.
var errNoDescriptor = errors.New("no descriptor left")

// errDialDelayed says that a connection did not come up in time, as far as a process can tell that was itself late to look.
var errDialDelayed = errors.New("no connection in time, at a process that is behind")

// ServerClient holds the connections to executors.
type ServerClient struct {
	transport       *http.Transport
	reportKeys      protocol.LoadReportKeys // of load reports
	requestWritten  func()                  // told of each posting whose last byte was written
	mayDial         func(address string) bool
	schedulingDelay func() int64                                                         // how long work of this process waits until it runs, in ns
	dialContext     func(ctx context.Context, network, address string) (net.Conn, error) // tests alone put another one here
}

// NewServerClient: dial is how long a connection may take to come up, idle how long executors keep an unused one, values
// what their load reports tell by which name, wrote is told of each posting whose last byte was written.
func NewServerClient(d *ConnectionBudget, dial, idle time.Duration, values protocol.LoadReportKeys, wrote func()) *ServerClient {
	dialer := &net.Dialer{KeepAlive: -1}
	x := &ServerClient{reportKeys: values, requestWritten: wrote, mayDial: func(string) bool { return true }, schedulingDelay: func() int64 { return 0 }, dialContext: dialer.DialContext}
	x.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !d.acquire(serverSide) {
				return nil, errNoDescriptor
			}
			// Danger: connections that all nodes open together, at an executor that has just come back.
			if !x.mayDial(address) {
				d.release(serverSide)
				return nil, errSendDenied
			}
			c, err := x.dialServer(ctx, network, address, dial)
			if err != nil {
				d.release(serverSide)
				return nil, err
			}
			fresh := &trackedConn{Conn: c, budget: d, side: serverSide, address: address}
			d.markIdle(fresh, 0) // its request may have found another meanwhile
			return fresh, nil
		},
		// Danger: a request written to a connection as the executor closes it may have run. Ours end first.
		IdleConnTimeout:        max(idle-idle/5, time.Millisecond),
		MaxIdleConnsPerHost:    1 << 20, // the descriptor budget is the limit
		DisableCompression:     true,
		MaxResponseHeaderBytes: 16 << 10,
		WriteBufferSize:        8 << 10, // most requests go out in one write; a fleet of connections stays small
		ReadBufferSize:         4096,
	}
	return x
}

// dialServer opens a connection. A process that is behind looks at it later than it came up, and waits for it so much longer, but no
// more than twice.
// Danger: at a process that is behind each connection seems to be late, and its executor is blamed for it.
func (x *ServerClient) dialServer(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, within+min(time.Duration(x.schedulingDelay()), within))
	defer cancel()
	c, err := x.dialContext(ctx, network, address)
	if isLocalResourceError(err) {
		return nil, fmt.Errorf("%w: %w", errNoDescriptor, err)
	}
	if late := (net.Error)(nil); errors.As(err, &late) && late.Timeout() && time.Duration(x.schedulingDelay()) > within {
		return nil, errDialDelayed
	}
	return c, err
}

// isLocalResourceError says whether a connection failed for want of something that this machine is short of.
// Danger: for a moment without ports or descriptors all executors lose their reliability.
func isLocalResourceError(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// SetSchedulingDelay has the process's lag known; it is called before the node serves.
func (x *ServerClient) SetSchedulingDelay(lag func() int64) { x.schedulingDelay = lag }

// SetDialGate has each new connection to an executor asked for first, at the moment at which it would be opened.
func (x *ServerClient) SetDialGate(may func(address string) bool) { x.mayDial = may }

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

// Forward carries one posting to its end. It tells of starts and progress by heard, and of the end by ended, once, before
// it looks after the connection.
func (x *ServerClient) Forward(ctx context.Context, job *protocol.Attempt, heard func(protocol.JobUpdate),
	ended func(protocol.AttemptResult)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := exchange{attempt: job, schedulingDelay: x.schedulingDelay}
	trace := h.clientTrace()
	trace.WroteRequest = func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			x.requestWritten()
		}
	}
	response, err := x.transport.RoundTrip(job.Encode().WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && h.unexpectedResponse {
		response.Body.Close()
		err = errUnexpectedResponse
	}
	if err != nil {
		ended(protocol.AttemptResult{Outcome: failureOutcome(ctx, &h, err), Cause: err})
		return
	}
	defer response.Body.Close()
	switch {
	case protocol.IsRejection(response):
		ended(protocol.AttemptResult{Outcome: dispatch.Rejected})
		drainBody(response.Body, cancel)
		return
	case response.StatusCode != http.StatusOK:
		ended(protocol.AttemptResult{Outcome: dispatch.Failed})
		drainBody(response.Body, cancel)
		return
	}
	lines := protocol.NewUpdateReader(job.Request.ID, x.reportKeys.FreeSlots, response.Body)
	for {
		line, err := lines.Next()
		switch {
		case err != nil:
			// Danger: the module may send the txn again as soon as it knows; a connection that the library closes a
			// little later would make that a second copy where none is allowed.
			h.conn.Close()
			o := contextOutcome(ctx)
			if o == dispatch.Succeeded {
				o = dispatch.ConnectionLost
			}
			ended(protocol.AttemptResult{Outcome: o, Cause: err})
			return
		case !line.Final():
			heard(line)
			continue
		case line.State == protocol.Done:
			ended(protocol.AttemptResult{Outcome: dispatch.Succeeded, Result: line.Result, FreeSlots: line.FreeSlots})
		case line.State == protocol.Returned:
			ended(protocol.AttemptResult{Outcome: dispatch.Rejected})
		case line.State == protocol.Killed:
			ended(protocol.AttemptResult{Outcome: dispatch.ConnectionLost})
		default:
			ended(protocol.AttemptResult{Outcome: dispatch.Failed})
		}
		drainBody(response.Body, cancel)
		return
	}
}

// Probe asks an executor for its load.
func (x *ServerClient) Probe(ctx context.Context, address string) (protocol.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var h exchange
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, h.clientTrace()), http.MethodGet, "http://"+address+"/-/load", nil)
	if err != nil {
		return protocol.LoadReport{}, err
	}
	request.Header["User-Agent"] = nil
	response, err := x.transport.RoundTrip(request)
	if err != nil {
		return protocol.LoadReport{}, err
	}
	defer response.Body.Close()
	if h.unexpectedResponse {
		h.conn.Close()
		return protocol.LoadReport{}, errUnexpectedResponse
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxLoadReportBytes))
	if err != nil {
		return protocol.LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return protocol.LoadReport{}, errors.New("a probe was answered " + response.Status)
	}
	return protocol.DecodeLoadReport(text, x.reportKeys)
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
