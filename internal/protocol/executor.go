// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fernrail/dispatch"
)

// JobState is what a line of an executor tells of a job.
type JobState int

const (
	Started JobState = iota
	Running
	Done
	Failed
	Returned // handed back unstarted
	Killed   // killed
)

var jobStates = map[string]JobState{"started": Started, "running": Running, "done": Done, "failed": Failed,
	"returned": Returned, "lost": Killed}

// JobUpdate is one line of an executor about one job.
type JobUpdate struct {
	State     JobState
	Progress  float64 // Running: the part done
	Result    string  // Done
	FreeSlots float64 // free slots that the executor reports with it; 0: none, or not told
}

// Final says whether the line ends its job.
func (l JobUpdate) Final() bool { return l.State >= Done }

// maxUpdateBytes leaves room for a result of the largest size with every byte escaped.
const maxUpdateBytes = 6*MaxBodyBytes + 4096

// maxUpdateStreamBytes bounds what one job may say over its life.
const maxUpdateStreamBytes = 4 * maxUpdateBytes

// maxSlots is more than any machine has; a report of more is none.
const maxSlots = 1 << 16

// UpdateReader reads an executor's answer about the job with the given id.
type UpdateReader struct {
	id, freeSlotsKey string
	in               *bufio.Scanner
}

// NewUpdateReader: free names the value of a load report that tells free slots, if one does.
func NewUpdateReader(id, free string, body io.Reader) *UpdateReader {
	in := bufio.NewScanner(io.LimitReader(body, maxUpdateStreamBytes))
	in.Buffer(nil, maxUpdateBytes)
	return &UpdateReader{id, free, in}
}

// Next gives the next line. An answer that ends before its last line is an error, as is a line cut short.
func (l *UpdateReader) Next() (JobUpdate, error) {
	for l.in.Scan() {
		if text := bytes.TrimSpace(l.in.Bytes()); len(text) > 0 {
			return decodeUpdate(text, l.id, l.freeSlotsKey)
		}
	}
	return JobUpdate{}, errors.Join(l.in.Err(), io.ErrUnexpectedEOF)
}

func decodeUpdate(text []byte, id, free string) (JobUpdate, error) {
	var m struct {
		ID     string          `json:"id"`
		State  string          `json:"state"`
		Share  *float64        `json:"share"`
		Result *string         `json:"result"`
		Load   json.RawMessage `json:"load"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return JobUpdate{}, fmt.Errorf("unreadable line: %w", err)
	}
	state, known := jobStates[m.State]
	switch {
	// Danger: an answer that belongs to another job, passed on as this one's.
	case m.ID != id:
		return JobUpdate{}, fmt.Errorf("a line about %.40q instead", m.ID)
	case !known:
		return JobUpdate{}, fmt.Errorf("unknown state %.40q", m.State)
	case state == Done && m.Result == nil:
		return JobUpdate{}, errors.New("done without a result")
	case state == Running && (m.Share == nil || !(*m.Share >= 0 && *m.Share <= 1)):
		return JobUpdate{}, errors.New("running without a share between 0 and 1")
	}
	l := JobUpdate{State: state}
	// Danger: a report that this node can't read is no reason to lose the answer that it came with.
	var load map[string]any
	if free != "" && json.Unmarshal(m.Load, &load) == nil {
		if slots, isNumber := load[free].(float64); isNumber && slots > 0 && slots < maxSlots {
			l.FreeSlots = slots
		}
	}
	if state == Done {
		l.Result = *m.Result
	}
	if state == Running {
		l.Progress = *m.Share
	}
	return l, nil
}

// LoadReportKeys names the values of load reports that the module asks for; empty: none tells it.
type LoadReportKeys struct {
	FreeSlots, FreeMemory string
}

// LoadReport is what an executor told of its room when it was probed.
type LoadReport struct {
	FreeSlots, FreeMemory float64
}

// MaxLoadReportBytes bounds the bytes of a load report.
const MaxLoadReportBytes = 4 << 10

// DecodeLoadReport decodes a load report, an object or name=value pairs. One without free slots, or with an absurd number, is a
// fault; noise may tell of a little less than nothing, which is nothing. Memory that is not reported is no limit.
func DecodeLoadReport(text []byte, names LoadReportKeys) (LoadReport, error) {
	values := map[string]float64{}
	if err := json.Unmarshal(text, &values); err != nil {
		clear(values)
		for pair := range strings.SplitSeq(string(text), ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = x
			}
		}
	}
	l := LoadReport{FreeMemory: math.MaxFloat64}
	for name, into := range map[string]*float64{names.FreeSlots: &l.FreeSlots, names.FreeMemory: &l.FreeMemory} {
		if name == "" {
			continue
		}
		x, told := values[name]
		if !told || !(x > -maxSlots && x < maxSlots) {
			return LoadReport{}, fmt.Errorf("a load report without a usable %s", name)
		}
		*into = max(x, 0)
	}
	return l, nil
}

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
