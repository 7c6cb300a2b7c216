// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

const (
	// responseTailTimeout is how long to wait for the end of a response after its final line, so that the
	// connection can be reused.
	responseTailTimeout = time.Second
	// responseTailLimit is the maximum number of bytes read in that time. Reading more costs more than a new
	// connection.
	responseTailLimit = 4096
	// maxResponseHeaderBytes limits the head of a response.
	maxResponseHeaderBytes = 16 << 10
	// serverWriteBuffer is large enough, in bytes, that most requests are sent in one write.
	serverWriteBuffer = 8 << 10
	serverReadBuffer  = 4 << 10 // bytes
	// unlimitedIdleConns disables the limit of http.Transport; the connection budget sets the limit.
	unlimitedIdleConns = 1 << 20
)

// errUnexpectedResponse is returned if a response arrived before its request was sent. Such a response
// belongs to an earlier request on the connection.
var errUnexpectedResponse = errors.New("response to an earlier request received before this request was sent")

// ServerClient sends attempts and probes to the servers of the pool and reuses its connections.
type ServerClient struct {
	transport      *http.Transport
	dialer         *serverDialer
	reportKeys     protocol.LoadReportKeys
	requestWritten func()
}

// NewServerClient returns a client whose connections use permits of a budget. dialTimeout limits how long a
// connection may take to be established. idleTimeout is how long servers keep an unused connection open.
// reportKeys are the names of the values in their load reports. requestWritten is called for each attempt
// after its last byte was written.
func NewServerClient(
	budget *ConnectionBudget,
	dialTimeout, idleTimeout time.Duration,
	reportKeys protocol.LoadReportKeys,
	requestWritten func(),
) *ServerClient {
	dialer := &serverDialer{
		budget:          budget,
		timeout:         dialTimeout,
		mayDial:         func(string) bool { return true },
		schedulingDelay: func() time.Duration { return 0 },
		dialContext:     (&net.Dialer{KeepAlive: -1}).DialContext,
	}
	return &ServerClient{
		transport:      newServerTransport(dialer, idleTimeout),
		dialer:         dialer,
		reportKeys:     reportKeys,
		requestWritten: requestWritten,
	}
}

func newServerTransport(dialer *serverDialer, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: dialer.dial,
		// A request that is written while the server closes the connection may have run. So this side closes
		// first.
		IdleConnTimeout:        max(idleTimeout-idleTimeout/5, time.Millisecond),
		MaxIdleConnsPerHost:    unlimitedIdleConns,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        serverWriteBuffer,
		ReadBufferSize:         serverReadBuffer,
	}
}

// SetSchedulingDelay sets a function that returns the scheduling delay of this process in nanoseconds. It
// must be called before the node serves requests.
func (c *ServerClient) SetSchedulingDelay(delay func() int64) {
	c.dialer.schedulingDelay = func() time.Duration { return time.Duration(delay()) }
}

// SetDialGate sets a function that is called immediately before each dial to a server and reports whether it
// may be made. It must be called before the node serves requests.
func (c *ServerClient) SetDialGate(mayDial func(address string) bool) { c.dialer.mayDial = mayDial }

// Forward sends one attempt and reads its response. It calls onUpdate for each start or progress update, and
// onEnd exactly once with the result, before it reads the rest of the response.
func (c *ServerClient) Forward(
	ctx context.Context,
	attempt *protocol.Attempt,
	onUpdate func(protocol.JobUpdate),
	onEnd func(protocol.AttemptResult),
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := exchange{attempt: attempt, schedulingDelay: c.dialer.schedulingDelay}
	response, err := c.send(ctx, &e)
	if err != nil {
		onEnd(protocol.AttemptResult{Outcome: e.failureOutcome(ctx, err), Cause: err})
		return
	}
	defer response.Body.Close()
	result, ended := statusResult(response)
	if !ended {
		holder := c.dialer.budget.holdResult(e.conn)
		defer holder.release()
		result = c.readUpdates(ctx, &e, &heldReader{ReadCloser: response.Body, holder: holder}, onUpdate)
	}
	onEnd(result)
	if result.Cause == nil {
		drainBody(response.Body, cancel)
	}
}

// send sends the request of an attempt and returns the head of its response.
func (c *ServerClient) send(ctx context.Context, e *exchange) (*http.Response, error) {
	trace := e.clientTrace()
	trace.WroteRequest = func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			c.requestWritten()
		}
	}
	request := e.attempt.Encode().WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	e.conn.headEnded()
	if e.unexpectedResponse {
		response.Body.Close()
		return nil, errUnexpectedResponse
	}
	return response, nil
}

// statusResult returns the result of a response if its status alone determines it. Otherwise ended is false,
// and the body determines the result.
func statusResult(response *http.Response) (result protocol.AttemptResult, ended bool) {
	switch {
	case protocol.IsRejection(response):
		return protocol.AttemptResult{Outcome: dispatch.Rejected}, true
	case response.StatusCode != http.StatusOK:
		return protocol.AttemptResult{Outcome: dispatch.Failed}, true
	default:
		return protocol.AttemptResult{}, false
	}
}

// readUpdates reads the lines of a response up to the final one and returns the result that it reports.
func (c *ServerClient) readUpdates(
	ctx context.Context,
	e *exchange,
	body *heldReader,
	onUpdate func(protocol.JobUpdate),
) protocol.AttemptResult {
	updates := protocol.NewUpdateReader(e.attempt.Request.ID, c.reportKeys.FreeSlots, body)
	for {
		update, err := updates.Next()
		if err != nil {
			return e.abort(ctx, err)
		}
		if update.Final() {
			return finalResult(update)
		}
		body.holder.shrink(math.MaxInt) // the update is not kept
		onUpdate(update)
	}
}

// abort closes the connection and returns the result of an attempt whose response ended early. The request
// may be sent again as soon as the result is reported, and must not be in flight twice. http.Transport would
// close the connection slightly too late.
func (e *exchange) abort(ctx context.Context, cause error) protocol.AttemptResult {
	_ = e.conn.Close() // the connection is not used again even if the close fails
	outcome, ended := contextOutcome(ctx)
	if !ended {
		outcome = dispatch.ConnectionLost
	}
	return protocol.AttemptResult{Outcome: outcome, Cause: cause}
}

// finalResult returns the result that the final line of a response reports.
func finalResult(update protocol.JobUpdate) protocol.AttemptResult {
	switch update.State {
	case protocol.Done:
		return protocol.AttemptResult{
			Outcome:   dispatch.Succeeded,
			Result:    update.Result,
			FreeSlots: update.FreeSlots,
		}
	case protocol.Returned:
		return protocol.AttemptResult{Outcome: dispatch.Rejected}
	case protocol.Lost:
		return protocol.AttemptResult{Outcome: dispatch.ConnectionLost}
	default:
		return protocol.AttemptResult{Outcome: dispatch.Failed}
	}
}

// drainBody reads a response to its end, so that its connection can be reused for the next request.
func drainBody(body io.Reader, cancel context.CancelFunc) {
	stop := time.AfterFunc(responseTailTimeout, cancel)
	defer stop.Stop()
	// If the end is not reached, the connection is closed, which is no error.
	_, _ = io.CopyN(io.Discard, body, responseTailLimit)
}

// Probe requests the load report of a server.
func (c *ServerClient) Probe(ctx context.Context, address string) (protocol.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var e exchange
	ctx = httptrace.WithClientTrace(ctx, e.clientTrace())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/load", nil)
	if err != nil {
		return protocol.LoadReport{}, err
	}
	request.Header["User-Agent"] = nil // keeps http.Transport from adding its own
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return protocol.LoadReport{}, err
	}
	defer response.Body.Close()
	e.conn.headEnded()
	if e.unexpectedResponse {
		_ = e.conn.Close() // further data on it belongs to other requests
		return protocol.LoadReport{}, errUnexpectedResponse
	}
	return c.readReport(response)
}

// readReport reads the response to a probe.
func (c *ServerClient) readReport(response *http.Response) (protocol.LoadReport, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxLoadReportBytes))
	if err != nil {
		return protocol.LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return protocol.LoadReport{}, fmt.Errorf("probe response has status %s", response.Status)
	}
	return protocol.DecodeLoadReport(text, c.reportKeys)
}
