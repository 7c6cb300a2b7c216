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

// AttemptResult is how a posting ended.
type AttemptResult struct {
	Outcome   dispatch.Outcome
	Result    string  // Settled
	FreeSlots float64 // free slots that the executor reported with it; 0: none, or not told
	Cause     error
}

// IsRejection says whether an answer's head proves that the job was never run.
func IsRejection(r *http.Response) bool {
	return (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1"
}

// Attempt is one posting as it goes out.
type Attempt struct {
	Address      string
	Request      *Request
	Deadline     time.Time   // when the node stops to wait, by the monotonic clock
	Gate         SendGate    // nil: none is needed
	timeoutSetAt time.Time   // when Deadline was last told as a span
	header       http.Header // of the request as it goes out
}

// maxTimeoutOverstatement is by how much the span that an executor is told may be over what is left when its request's first byte goes out. The
// platform allows 0.15 s; the rest is for the write.
const maxTimeoutOverstatement = 100 * time.Millisecond

// SetTimeout writes how long the node will wait into the request's header, as of the moment at which its first byte is expected to go out.
// It is called before the request is written.
// Danger: a span that was worked out before a connection came up, or before the process stood still, is longer than what is left.
func (j *Attempt) SetTimeout(now time.Time) {
	j.timeoutSetAt = now
	j.header.Set("X-Budget-Ms", strconv.FormatInt(max(j.Deadline.Sub(now).Milliseconds(), 1), 10))
}

// TimeoutOverstated says whether too much time has passed since Tell for the request to go out as it is.
func (j *Attempt) TimeoutOverstated(now time.Time) bool {
	return !j.timeoutSetAt.IsZero() && now.Sub(j.timeoutSetAt) > maxTimeoutOverstatement
}

// SendGate is asked at the very moment at which a job's first byte would go out, and told when it has. It may be asked again
// where what it held back goes to another connection.
type SendGate interface {
	MaySend() bool
	Sent()
}

// singleUseBody hides that a body could be read again.
// Danger: http.Transport sends a request again by itself where it can wind the body back, or sees that there is none.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// Encode makes the request to the executor.
func (j *Attempt) Encode() *http.Request {
	target := &url.URL{Scheme: "http", Host: j.Address, Opaque: j.Request.Target} // goes on byte for byte
	j.header = j.Request.Header.Clone()
	j.SetTimeout(time.Now())
	if j.header["User-Agent"] == nil {
		j.header["User-Agent"] = nil // or the library would put its own
	}
	return &http.Request{Method: http.MethodPost, URL: target, Host: j.Address, ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(j.Request.Body)), Body: singleUseBody{bytes.NewReader(j.Request.Body)}, Header: j.header}
}
