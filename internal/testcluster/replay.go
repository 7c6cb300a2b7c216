// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bytes"
	"net"
	"slices"
	"time"
)

// maxRecorded is how many calls a relay can bring again.
const maxRecorded = 64

func (r *Relay) record(b []byte) {
	if bytes.HasPrefix(b, []byte("POST ")) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.recorded) >= maxRecorded {
			r.recorded = slices.Delete(r.recorded, maxRecorded/2, maxRecorded/2+1)
		}
		r.recorded = append(r.recorded, bytes.Clone(b))
	}
}

// Replay brings calls that went there, the first and the latest, once more though the way be cut, each on a connection of its own, and gives how many were answered.
func (r *Relay) Replay() (answered int) {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	kept := slices.Clone(r.recorded)
	r.mu.Unlock()
	for _, call := range kept {
		c, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(call)
		if n, _ := c.Read(make([]byte, 1<<10)); n > 0 {
			answered++
		}
		c.Close()
	}
	return answered
}
