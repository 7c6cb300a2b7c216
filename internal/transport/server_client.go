// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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
