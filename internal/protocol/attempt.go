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

// maxTimeoutOverstatement is by how much the timeout in an attempt's header may exceed what is left
// when its first byte is sent. The platform allows 0.15 s; the rest is for the write.
const maxTimeoutOverstatement = 100 * time.Millisecond

// Attempt is one sending of a request to a server.
type Attempt struct {
	Address      string
	Request      *Request
	Deadline     time.Time   // when the node stops waiting, by the monotonic clock
	Gate         SendGate    // nil: the first byte may always be sent
	timeoutSetAt time.Time   // when Deadline was last written into header as a timeout
	header       http.Header // of the request to the server
}

// SendGate admits the first byte of an attempt.
type SendGate interface {
	// MaySend is asked at the moment at which the first byte would be sent, and again if the
	// attempt changes to another connection.
	MaySend() bool
	// Sent is called when the first byte has been sent.
	Sent()
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome   dispatch.Outcome
	Result    string  // of a job that succeeded
	FreeSlots float64 // that the server reported with it; 0: none, or not reported
	Cause     error   // why there is no complete response; nil: there is one
}

// IsRejection says whether the head of a server's response proves that the job was never run.
func IsRejection(r *http.Response) bool {
	unavailable := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout
	return unavailable && r.Header.Get(headerRejected) == "1"
}

// Encode gives the HTTP request to the server.
func (a *Attempt) Encode() *http.Request {
	a.header = a.Request.Header.Clone()
	a.SetTimeout(time.Now())
	if a.header["User-Agent"] == nil {
		a.header["User-Agent"] = nil // net/http would add its own
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: a.Address, Opaque: a.Request.Target}, // forwarded byte for byte
		Host:          a.Address,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		Body:          singleUseBody{bytes.NewReader(a.Request.Body)},
		ContentLength: int64(len(a.Request.Body)),
	}
}

// SetTimeout writes how long the node will wait into the header of the encoded request, as of now.
// It is called before the request is written: a timeout from before the connection came up, or
// before the process stood still, is longer than what is left, and the server would work on for
// nobody.
func (a *Attempt) SetTimeout(now time.Time) {
	a.timeoutSetAt = now
	remaining := max(a.Deadline.Sub(now).Milliseconds(), 1)
	a.header.Set(headerTimeout, strconv.FormatInt(remaining, 10))
}

// TimeoutOverstated says whether too much time has passed since SetTimeout for the request to be
// sent as it is.
func (a *Attempt) TimeoutOverstated(now time.Time) bool {
	return !a.timeoutSetAt.IsZero() && now.Sub(a.timeoutSetAt) > maxTimeoutOverstatement
}

// singleUseBody hides that a body could be read again. http.Transport sends a request a second time
// by itself if it can rewind the body or sees that there is none, and a job might run twice.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }
