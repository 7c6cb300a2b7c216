// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bytes"
	"net"
	"slices"
	"time"
)

const (
	// maxRecorded is the maximum number of calls that a relay records for replay.
	maxRecorded = 64
	// replayTimeout is the maximum time to wait for the response to a replayed call.
	replayTimeout = time.Second
)

// record stores a call that was sent forward. It retains the first half and the most recent half of
// maxRecorded.
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

// Replay resends the recorded calls, each on its own connection and even if the link is cut. It returns the
// number of calls that got a response.
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

// replay resends one call and reports whether it got a response.
func (r *Relay) replay(call []byte) bool {
	c, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(replayTimeout))
	_, _ = c.Write(call)                // a failure shows as a missing response
	n, _ := c.Read(make([]byte, 1<<10)) // some bytes before an error count as a response
	return n > 0
}
