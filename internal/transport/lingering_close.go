// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"time"
)

const (
	// lingerTimeout is how long a connection waits for the client to close after its last response.
	lingerTimeout = 500 * time.Millisecond
	// lingerLimit is the maximum number of bytes discarded during that wait.
	lingerLimit = 2 * readAheadLimit
)

// halfCloser is a connection whose sending direction can be closed alone.
type halfCloser interface {
	CloseWrite() error
}

// linger waits for the client to close first if the connection ends with a response. Closing a socket with
// unread bytes sends a reset, which destroys a response that the client has not read yet. The connection is
// pending during the wait and may be evicted.
func (c *clientConn) linger() {
	conn, ok := c.Conn.(halfCloser)
	if !ok || !c.startLinger() {
		return
	}
	defer c.stopLinger()
	if conn.CloseWrite() != nil {
		return // the client has disconnected
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerLimit) // EOF, an error, the deadline or the limit ends the wait
}

// startLinger reports whether the connection has to linger. If so, it counts the connection as lingering and
// pending.
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

// becomePendingAgain makes a connection whose last response was sent pending, so that it may be evicted. The
// caller holds budget.mu.
func (c *clientConn) becomePendingAgain() {
	c.openedAt = time.Time{}
	c.becomePending()
}

// CloseWrite closes the sending direction. http.Server calls it after the response to a request that it did
// not read completely, and continues reading for a while, since a reset would destroy the response. The
// connection may be evicted during that time.
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
