// SPDX-License-Identifier: Apache-2.0

package testcluster

import "time"

// SetDatagramFaults has a share of the datagrams that go forward lost, and a share come twice, late.
func (r *Relay) SetDatagramFaults(loss, duplicate float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[Forward].loss = loss
	r.links[Forward].duplicate = duplicate
}

// Cut holds back all that goes in a direction until Heal.
func (r *Relay) Cut(d Direction) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[d].cut = true
}

// Heal opens both directions. What was held back arrives now, late.
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

// Delay has each piece that goes in a direction wait for a time.
func (r *Relay) Delay(d Direction, by time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[d].delay = by
}

// Reset ends all connections at once, as a machine does that has lost their state.
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
