// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"time"
)

const (
	// lingerTimeout is how long a client connection that ends with a response waits for the client to close.
	lingerTimeout = 500 * time.Millisecond
	// lingerLimit is how many bytes are discarded meanwhile.
	lingerLimit = 256 << 10
)

// halfCloser is a connection of which one direction can be closed.
type halfCloser interface {
	CloseWrite() error
}

// linger waits for the client to close first, where the connection ends with a response. A close while unread bytes
// are in the socket would be a reset, which destroys a response that the client has not read yet. The connection is
// pending meanwhile and may be evicted.
func (c *clientConn) linger() {
	conn, ok := c.Conn.(halfCloser)
	if !ok || !c.startLinger() {
		return
	}
	defer c.stopLinger()
	if conn.CloseWrite() != nil {
		return // the client has gone
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerLimit) // every way in which this ends is the end of the wait
}

// startLinger reports whether the connection has to linger, and counts it as lingering if so.
func (c *clientConn) startLinger() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	idle := c.list == &c.budget.idle[clientSide]
	if c.closed || c.lingerStarted || c.reclaimed || idle || !c.responseStarted.Load() {
		return false
	}
	c.lingerStarted = true
	c.budget.clearState(&c.trackedConn)
	c.becomePendingAgain()
	c.budget.lingering++
	return true
}

func (c *clientConn) stopLinger() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.lingering--
	c.budget.changed.Broadcast()
}

// becomePendingAgain makes the connection, whose last response was sent, one that may be evicted. The caller holds
// budget.mu.
func (c *clientConn) becomePendingAgain() {
	c.openedAt = time.Time{}
	c.moveTo(&c.budget.pending, c)
}

// CloseWrite ends the sending side. http.Server calls it after the response to a request that it did not read to
// its end, and goes on reading for a while, since a reset would destroy the response. The connection may be evicted
// meanwhile.
func (c *clientConn) CloseWrite() error {
	c.budget.mu.Lock()
	if !c.closed {
		c.becomePendingAgain()
	}
	c.budget.mu.Unlock()
	if conn, ok := c.Conn.(halfCloser); ok {
		return conn.CloseWrite()
	}
	return nil
}
