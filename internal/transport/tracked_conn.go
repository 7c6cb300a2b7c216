// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"errors"
	"net"
	"syscall"
)

// trackedConn is the state of a connection in the budget. It is embedded in clientConn and serverConn.
type trackedConn struct {
	socket  net.Conn
	budget  *ConnectionBudget
	side    connectionSide
	address string // of the server; empty for a client

	// The fields below are guarded by budget.mu.
	list    *list.List    // list of the budget that contains this connection; nil if none
	element *list.Element // of list
	active  bool          // a client request is in progress
	uses    int           // number of requests that have used the connection
	closed  bool          // closed or being closed; its permit is released once
	// reclaimed means that the budget needs the permit back. The read of a client connection was ended so
	// that it closes. A server connection was closed, possibly just after it was assigned to a request.
	reclaimed bool
}

// moveTo moves the connection to the end of a list of the budget. value is the connection with the element
// type of that list. The caller holds budget.mu.
func (c *trackedConn) moveTo(target *list.List, value any) {
	c.removeFromList()
	c.list = target
	c.element = target.PushBack(value)
	if c.side == serverSide {
		c.budget.idleByAddress[c.address]++
	}
}

// removeFromList removes the connection from the list that contains it, if any. The caller holds budget.mu.
func (c *trackedConn) removeFromList() {
	if c.list == nil {
		return
	}
	c.list.Remove(c.element)
	c.list = nil
	c.element = nil
	if c.side == serverSide {
		c.budget.decrementIdle(c.address)
	}
}

// decrementIdle decrements the number of idle connections to a server. The caller holds mu.
func (b *ConnectionBudget) decrementIdle(address string) {
	b.idleByAddress[address]--
	if b.idleByAddress[address] == 0 {
		delete(b.idleByAddress, address)
	}
}

// closeAndRelease closes the connection and then releases its permit. The order matters: a waiter for the
// last connection must not continue while that connection is still open.
func (c *trackedConn) closeAndRelease() error {
	first := c.markClosed()
	err := c.socket.Close()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.clearState(c)
	if first {
		c.budget.releaseLocked(c.side)
	}
	return err
}

// markClosed marks the connection as closed and reports whether it was not closed before.
func (c *trackedConn) markClosed() (first bool) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	first = !c.closed
	c.closed = true
	c.removeFromList()
	return first
}

// isReclaimed reports whether the budget has reclaimed the connection.
func (c *trackedConn) isReclaimed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.reclaimed
}

// errNoSocket is returned for a connection without an operating-system socket, such as a pipe in a test.
var errNoSocket = errors.New("connection has no operating-system socket")

// rawConn returns the raw network connection of a socket.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	if s, ok := c.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}
