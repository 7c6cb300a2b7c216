// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"net"
	"time"
)

// SetDatagramFaults has some that go there lost and some come twice, late.
func (r *Relay) SetDatagramFaults(loss, twice float64) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.links[Forward].loss, r.links[Forward].duplicate = loss, twice
	}
}

// Cut holds all that goes that way until Heal.
func (r *Relay) Cut(d Direction) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.links[d].cut = true
	}
}

// Heal opens both ways; what was held arrives now, late.
func (r *Relay) Heal() {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.links[Forward].cut, r.links[Backward].cut = false, false
		r.changed.Broadcast()
	}
}

// Delay has each piece wait that goes that way.
func (r *Relay) Delay(d Direction, by time.Duration) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.links[d].delay = by
	}
}

// Reset ends all connections at once, as a machine does that has lost their state.
func (r *Relay) Reset() {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}
