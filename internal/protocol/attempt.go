// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fernrail/dispatch"
)

// maxTimeoutOverstatement bounds by how much the timeout in an attempt's header may exceed the remaining
// time when the first byte is sent. The platform allows 150 ms; the difference is for the write.
const maxTimeoutOverstatement = 100 * time.Millisecond

// Attempt is one attempt to have a request processed by a server.
type Attempt struct {
	Address      string
	Request      *Request
	Deadline     time.Time   // when the node stops waiting; compared by the monotonic clock
	Gate         SendGate    // nil: the first byte is always admitted
	timeoutSetAt time.Time   // when the timeout in header was last set
	header       http.Header // of the request to the server
}

// SendGate admits the first byte of an attempt.
type SendGate interface {
	// MaySend reports whether the first byte may be sent. It is called immediately before that, and
	// again if the attempt moves to another connection.
	MaySend() bool
	// Sent is called when the first byte has been sent.
	Sent()
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Outcome   dispatch.Outcome
	Result    string  // result of a job that succeeded
	FreeSlots float64 // free slots that the server reported with the result; 0: none or not reported
	Cause     error   // why there is no complete response; nil: the response is complete
}

// IsRejection reports whether the status and the header of a server's response prove that the job was
// never run.
func IsRejection(r *http.Response) bool {
	unavailable := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout
	return unavailable && r.Header.Get(headerRejected) == "1"
}

// Encode returns the HTTP request to the server.
func (a *Attempt) Encode() *http.Request {
	a.header = a.Request.Header.Clone()
	a.SetTimeout(time.Now())
	if a.header["User-Agent"] == nil {
		a.header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &http.Request{
		Method: http.MethodPost,
		// Opaque forwards the target byte for byte.
		URL:           &url.URL{Scheme: "http", Host: a.Address, Opaque: a.Request.Target},
		Host:          a.Address,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		Body:          singleUseBody{bytes.NewReader(a.Request.Body)},
		ContentLength: int64(len(a.Request.Body)),
	}
}

// SetTimeout sets the timeout in the header of the encoded request to the time from now until Deadline.
// It is called before the request is written. A timeout that was set before the connection was
// established, or before the process was stopped, exceeds the remaining time, and the server would
// continue to work after the node has stopped waiting.
func (a *Attempt) SetTimeout(now time.Time) {
	a.timeoutSetAt = now
	remaining := max(a.Deadline.Sub(now).Milliseconds(), 1)
	a.header.Set(headerTimeout, strconv.FormatInt(remaining, 10))
}

// TimeoutOverstated reports whether so much time has passed since SetTimeout that the request must not
// be sent with the timeout that was set.
func (a *Attempt) TimeoutOverstated(now time.Time) bool {
	return !a.timeoutSetAt.IsZero() && now.Sub(a.timeoutSetAt) > maxTimeoutOverstatement
}

// singleUseBody hides from http.Transport that a body can be read again or is empty. In both cases the
// transport may resend a request on its own, and a job might run twice.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }
