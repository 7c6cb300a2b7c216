// SPDX-License-Identifier: Apache-2.0

package transport

import "time"

// establish ends the time as a pending connection, with its first whole request. It reports false where the request
// must not be served: the connection was closed meanwhile, or the server has ended.
func (b *ConnectionBudget) establish(c *clientConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.list == &b.pending {
		c.removeFromList()
	}
	return !c.closed && !b.closed
}

// markActive marks a connection as in use, and returns the number of this use for markIdle.
func (b *ConnectionBudget) markActive(c *trackedConn) (use int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clearState(c)
	c.uses++
	if c.side == clientSide && !c.active {
		c.active = true
		b.active++
	}
	return c.uses
}

// markIdle marks a connection as idle after a use. Where it has been used again since, nothing happens: http.Transport
// reports late that a connection is idle, and by then the next request may have it.
func (b *ConnectionBudget) markIdle(c *trackedConn, use int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if use != c.uses || c.list != nil || c.closed {
		return
	}
	b.clearState(c)
	c.moveTo(&b.idle[c.side], c)
	if b.idleDisabled && c.side == clientSide {
		b.reclaimIdleClient()
	}
}

// clearState ends whatever a connection is counted as, but for a pending one. The caller holds mu.
func (b *ConnectionBudget) clearState(c *trackedConn) {
	if c.active {
		c.active = false
		b.active--
		b.changed.Broadcast()
	}
	if c.list == &b.idle[c.side] {
		c.removeFromList()
		if c.side == clientSide {
			c.limitRequestRead()
		}
	}
	if c.reclaimed && c.side == clientSide {
		c.reclaimed = false
		b.reclaiming--
		b.changed.Broadcast()
		c.limitRequestRead()
	}
}

// limitRequestRead gives the client requestReadTimeout from now on to send the rest of its request. The limit of
// the HTTP server would start some bytes later. The caller holds budget.mu.
func (c *trackedConn) limitRequestRead() {
	c.socket.SetReadDeadline(time.Now().Add(requestReadTimeout))
}

// disableIdle closes idle client connections, now and from now on.
func (b *ConnectionBudget) disableIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idleDisabled = true
	for b.idle[clientSide].Len() > 0 {
		b.reclaimIdleClient()
	}
}

// enableIdle lets client connections be idle again.
func (b *ConnectionBudget) enableIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idleDisabled = false
}
