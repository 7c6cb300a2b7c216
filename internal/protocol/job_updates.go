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
