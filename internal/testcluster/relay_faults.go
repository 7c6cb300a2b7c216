// SPDX-License-Identifier: Apache-2.0

package testcluster

import "time"

// SetDatagramFaults sets the fractions of the forward datagrams that are lost, and that are delivered a
// second time, later.
func (r *Relay) SetDatagramFaults(loss, duplicate float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[Forward].loss = loss
	r.links[Forward].duplicate = duplicate
}

// Cut blocks all traffic in a direction until Heal: bytes of streams wait, datagrams are lost.
func (r *Relay) Cut(d Direction) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[d].cut = true
}

// Heal unblocks both directions. Blocked bytes are delivered now.
func (r *Relay) Heal() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[Forward].cut = false
	r.links[Backward].cut = false
	r.changed.Broadcast()
}

// Delay sets the delay of each chunk and datagram in a direction.
func (r *Relay) Delay(d Direction, by time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[d].delay = by
}

// Reset resets all connections, as a machine does that has lost their state.
func (r *Relay) Reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		resetOnClose(c)
		c.Close()
	}
}
