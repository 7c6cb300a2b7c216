// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// JobState is the state of a job in an update.
type JobState int

// The states of a job. Started and Running may be followed by other states; Done and later are final.
const (
	Started JobState = iota
	Running
	Done
	Failed
	Returned // the server has returned the job without starting it
	Lost
)

var jobStates = map[string]JobState{
	"started":  Started,
	"running":  Running,
	"done":     Done,
	"failed":   Failed,
	"returned": Returned,
	"lost":     Lost,
}

const (
	// maxUpdateBytes allows a result of the maximum size with every byte escaped.
	maxUpdateBytes = 6*MaxBodyBytes + 4096
	// maxUpdateStreamBytes bounds the total size of all updates about one job.
	maxUpdateStreamBytes = 4 * maxUpdateBytes
)

// JobUpdate is one update from a server about a job.
type JobUpdate struct {
	State     JobState
	Progress  float64 // Running: the fraction completed
	Result    string  // Done
	FreeSlots float64 // free slots that the server reported with the update; 0: none or not reported
}

// Final reports whether the job has ended.
func (u JobUpdate) Final() bool { return u.State >= Done }

// UpdateReader reads the updates from a server about one job.
type UpdateReader struct {
	id           string
	freeSlotsKey string
	in           *bufio.Scanner
}

// NewUpdateReader returns a reader for the updates about the job with the given id. freeSlotsKey is the
// key of the free slots in a load report; empty: load reports do not include free slots.
func NewUpdateReader(id, freeSlotsKey string, body io.Reader) *UpdateReader {
	in := bufio.NewScanner(io.LimitReader(body, maxUpdateStreamBytes))
	in.Buffer(nil, maxUpdateBytes)
	return &UpdateReader{id: id, freeSlotsKey: freeSlotsKey, in: in}
}

// Next returns the next update. At the end of the stream it returns io.ErrUnexpectedEOF, because callers
// stop at the final update. It also returns an error for a truncated line or one that can't be decoded.
func (r *UpdateReader) Next() (JobUpdate, error) {
	for r.in.Scan() {
		if text := bytes.TrimSpace(r.in.Bytes()); len(text) > 0 {
			return r.decode(text)
		}
	}
	return JobUpdate{}, errors.Join(r.in.Err(), io.ErrUnexpectedEOF)
}

// updateMessage is an update as servers encode it.
type updateMessage struct {
	ID       string          `json:"id"`
	State    string          `json:"state"`
	Progress *float64        `json:"share"`
	Result   *string         `json:"result"`
	Load     json.RawMessage `json:"load"`
}

func (r *UpdateReader) decode(text []byte) (JobUpdate, error) {
	var message updateMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return JobUpdate{}, fmt.Errorf("decode job update: %w", err)
	}
	// A result of another job must never be forwarded as the result of this job.
	if message.ID != r.id {
		return JobUpdate{}, fmt.Errorf("job update is about job %.40q, want %.40q", message.ID, r.id)
	}
	state, known := jobStates[message.State]
	if !known {
		return JobUpdate{}, fmt.Errorf("job update: unknown state %.40q", message.State)
	}
	update := JobUpdate{State: state, FreeSlots: freeSlots(message.Load, r.freeSlotsKey)}
	switch state {
	case Done:
		if message.Result == nil {
			return JobUpdate{}, errors.New("job update with state done: result is missing")
		}
		update.Result = *message.Result
	case Running:
		if message.Progress == nil || !(*message.Progress >= 0 && *message.Progress <= 1) {
			return JobUpdate{}, errors.New("job update with state running: share is missing or not between 0 and 1")
		}
		update.Progress = *message.Progress
	}
	return update, nil
}

// freeSlots returns the free slots in a load report. It returns 0 for an unreadable report, so that the
// result that came with the report is not lost.
func freeSlots(load json.RawMessage, key string) float64 {
	var values map[string]any
	if key == "" || json.Unmarshal(load, &values) != nil {
		return 0
	}
	slots, isNumber := values[key].(float64)
	if !isNumber || !(slots > 0 && slots < maxSlots) {
		return 0
	}
	return slots
}
