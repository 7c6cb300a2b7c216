// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"time"
)

// establish takes a client's connection for a known one, with its first whole request; false: it had to go.
func (d *ConnectionBudget) establish(c *trackedConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.closed && c.list == &d.pending {
		c.moveTo(nil)
	}
	return !c.closed && !d.closed
}

// markActive marks a connection as in use and numbers the use.
func (d *ConnectionBudget) markActive(c *trackedConn) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearState(c)
	c.uses++
	if c.side == clientSide && !c.active {
		c.active = true
		d.active++
	}
	return c.uses
}

// clearState takes a connection out of all that is counted, but for the strangers. Under mu.
func (d *ConnectionBudget) clearState(c *trackedConn) {
	if c.active {
		c.active = false
		d.active--
		d.changed.Broadcast()
	}
	if c.list == &d.idle[c.side] {
		c.moveTo(nil)
		if c.side == clientSide {
			c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout)) // the server's own limit waits for some bytes more
		}
	}
	if c.reclaimed && c.side == clientSide {
		c.reclaimed = false
		d.reclaiming--
		d.changed.Broadcast()
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
}

// markIdle marks a connection as idle after a use.
// Danger: the library tells late that a connection rests; by then the next request may have it.
func (d *ConnectionBudget) markIdle(c *trackedConn, use int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if use != c.uses || c.list != nil || c.closed {
		return
	}
	d.clearState(c)
	if c.moveTo(&d.idle[c.side]); d.idleDisabled && c.side == clientSide {
		d.reclaimIdleClient()
	}
}

// disableIdle closes clients' connections that are idle, now and from now on.
func (d *ConnectionBudget) disableIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleDisabled = true
	for d.idle[clientSide].Len() > 0 {
		d.reclaimIdleClient()
	}
}

// enableIdle lets clients' connections be idle again.
func (d *ConnectionBudget) enableIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleDisabled = false
}
