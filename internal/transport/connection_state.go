// SPDX-License-Identifier: Apache-2.0

package transport

import "time"

// establish removes a connection from the pending list once its first complete request was read. It returns
// false if the request must not be served because the connection was closed in the meantime or the server has
// stopped.
func (b *ConnectionBudget) establish(c *clientConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.closed && c.list == &b.pending {
		c.removeFromList()
	}
	return !c.closed && !b.closed
}

// markUnsound marks a connection whose request was not accepted. It is evicted before all others.
func (b *ConnectionBudget) markUnsound(c *clientConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.unsound = true
	if !c.closed {
		c.becomePending()
	}
}

// becomePending makes a connection pending. The caller holds budget.mu.
func (c *clientConn) becomePending() {
	c.moveTo(&c.budget.pending, c)
	if c.unsound {
		c.budget.pending.MoveToFront(c.element)
	}
}

// markActive marks a connection as in use and returns the number of this use, which markIdle requires.
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

// markIdle marks a connection as idle after a use. It does nothing if the connection has been used again
// since: http.Transport reports late that a connection is idle, and the next request may already be using it.
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

// clearState clears the active, idle or reclaimed state of a connection. A pending connection stays pending.
// The caller holds mu.
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

// limitRequestRead sets a read deadline of requestReadTimeout from now for the rest of the client's request.
// The read time-out of http.Server would start some bytes later. The caller holds budget.mu.
func (c *trackedConn) limitRequestRead() {
	c.socket.SetReadDeadline(time.Now().Add(requestReadTimeout))
}

// disableIdle closes all idle client connections, and those that become idle later.
func (b *ConnectionBudget) disableIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idleDisabled = true
	for b.idle[clientSide].Len() > 0 {
		b.reclaimIdleClient()
	}
}

// enableIdle reverts disableIdle: client connections may be idle again.
func (b *ConnectionBudget) enableIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idleDisabled = false
}
