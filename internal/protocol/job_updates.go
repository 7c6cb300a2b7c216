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

// JobState is the state of a job that an update reports.
type JobState int

// The states up to Running may be followed by others; those from Done on are final.
const (
	Started JobState = iota
	Running
	Done
	Failed
	Returned // handed back, never started
	Killed
)

var jobStates = map[string]JobState{
	"started":  Started,
	"running":  Running,
	"done":     Done,
	"failed":   Failed,
	"returned": Returned,
	"lost":     Killed,
}

const (
	// maxUpdateBytes leaves room for a result of the largest size with every byte escaped.
	maxUpdateBytes = 6*MaxBodyBytes + 4096
	// maxUpdateStreamBytes bounds all updates about one job together.
	maxUpdateStreamBytes = 4 * maxUpdateBytes
)

// JobUpdate is one line of a server about one job.
type JobUpdate struct {
	State     JobState
	Progress  float64 // Running: the fraction completed
	Result    string  // Done
	FreeSlots float64 // that the server reported with it; 0: none, or not reported
}

// Final says whether the job has ended.
func (u JobUpdate) Final() bool { return u.State >= Done }

// UpdateReader reads the updates of a server about one job.
type UpdateReader struct {
	id           string
	freeSlotsKey string
	in           *bufio.Scanner
}

// NewUpdateReader reads the updates about the job with the id. freeSlotsKey names the value of a
// load report that gives free slots; empty: none does.
func NewUpdateReader(id, freeSlotsKey string, body io.Reader) *UpdateReader {
	in := bufio.NewScanner(io.LimitReader(body, maxUpdateStreamBytes))
	in.Buffer(nil, maxUpdateBytes)
	return &UpdateReader{id: id, freeSlotsKey: freeSlotsKey, in: in}
}

// Next gives the next update. At the end of the stream the error is io.ErrUnexpectedEOF, as callers
// stop at the final update; a line that was cut short or can't be decoded is an error as well.
func (r *UpdateReader) Next() (JobUpdate, error) {
	for r.in.Scan() {
		if text := bytes.TrimSpace(r.in.Bytes()); len(text) > 0 {
			return r.decode(text)
		}
	}
	return JobUpdate{}, errors.Join(r.in.Err(), io.ErrUnexpectedEOF)
}

// updateMessage is an update as servers write it.
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
		return JobUpdate{}, fmt.Errorf("unreadable line: %w", err)
	}
	// A result of another job must never be forwarded as this one's.
	if message.ID != r.id {
		return JobUpdate{}, fmt.Errorf("a line about %.40q instead", message.ID)
	}
	state, known := jobStates[message.State]
	if !known {
		return JobUpdate{}, fmt.Errorf("unknown state %.40q", message.State)
	}
	update := JobUpdate{State: state, FreeSlots: freeSlots(message.Load, r.freeSlotsKey)}
	switch state {
	case Done:
		if message.Result == nil {
			return JobUpdate{}, errors.New("done without a result")
		}
		update.Result = *message.Result
	case Running:
		if message.Progress == nil || !(*message.Progress >= 0 && *message.Progress <= 1) {
			return JobUpdate{}, errors.New("running without a share between 0 and 1")
		}
		update.Progress = *message.Progress
	}
	return update, nil
}

// freeSlots gives the free slots of a load report. One that can't be read gives 0: it is no reason
// to lose the result that it came with.
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
