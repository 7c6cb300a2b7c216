// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"time"
)

// waitForClientClose waits for a client to close first, where its connection ends with an answer. It counts as a stranger meanwhile,
// and gives way. Nothing is begun on what it reads.
// Danger: a close over bytes that were not read is a reset, which takes an answer with it that the client has not read.
func (c *trackedConn) waitForClientClose() {
	half, can := c.Conn.(interface{ CloseWrite() error })
	c.budget.mu.Lock()
	if !can || c.closed || c.lingerStarted || c.reclaimed || c.list == &c.budget.idle[clientSide] || !c.responseStarted.Load() {
		c.budget.mu.Unlock()
		return
	}
	c.lingerStarted = true
	c.budget.clearState(c)
	c.openedAt = time.Time{}
	c.moveTo(&c.budget.pending)
	c.budget.lingering++
	c.budget.mu.Unlock()
	if half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, lingerLimit)
	}
	c.budget.mu.Lock()
	c.budget.lingering--
	c.budget.changed.Broadcast()
	c.budget.mu.Unlock()
}

// CloseWrite lets the server send an answer to a request that it did not read to its end. What follows is only to keep
// a reset from wiping that out; the connection gives way as strangers do.
func (c *trackedConn) CloseWrite() error {
	c.budget.mu.Lock()
	if !c.closed {
		c.openedAt = time.Time{}
		c.moveTo(&c.budget.pending)
	}
	c.budget.mu.Unlock()
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}
