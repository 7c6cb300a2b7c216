// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bytes"
	"net"
	"slices"
	"time"
)

const (
	// maxRecorded is how many calls a relay can replay.
	maxRecorded = 64
	// replayTimeout is how long a replayed call may take to be answered.
	replayTimeout = time.Second
)

// record keeps a call that goes forward: the first ones, and the latest.
func (r *Relay) record(b []byte) {
	if !bytes.HasPrefix(b, []byte("POST ")) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recorded) >= maxRecorded {
		r.recorded = slices.Delete(r.recorded, maxRecorded/2, maxRecorded/2+1)
	}
	r.recorded = append(r.recorded, bytes.Clone(b))
}

// Replay sends recorded calls once more, though the link be cut, each on a connection of its own. It returns how
// many were answered.
func (r *Relay) Replay() (answered int) {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	calls := slices.Clone(r.recorded)
	r.mu.Unlock()
	for _, call := range calls {
		if r.replay(call) {
			answered++
		}
	}
	return answered
}

// replay sends one call, and reports whether there was an answer.
func (r *Relay) replay(call []byte) bool {
	c, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(replayTimeout))
	_, _ = c.Write(call)                // a failure shows as no answer
	n, _ := c.Read(make([]byte, 1<<10)) // an error after some bytes is an answer all the same
	return n > 0
}
