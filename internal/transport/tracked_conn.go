// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"errors"
	"net"
	"syscall"
)

// trackedConn is the place that a connection holds in the budget. It is the common part of clientConn and serverConn.
type trackedConn struct {
	socket  net.Conn
	budget  *ConnectionBudget
	side    connectionSide
	address string // of the server; empty for a client

	// All below are guarded by budget.mu.
	list    *list.List    // of the budget, that this connection is on; nil: none
	element *list.Element // of list
	active  bool          // a client's request is on it
	uses    int           // how often it has been used
	closed  bool          // its place was given back
	// reclaimed says that the budget wants the place back: a client connection was told to close, a connection to a
	// server was closed, when it may just have been taken for a request.
	reclaimed bool
}

// moveTo puts the connection at the end of a list of the budget. value is the connection as that list holds it. The
// caller holds budget.mu.
func (c *trackedConn) moveTo(target *list.List, value any) {
	c.removeFromList()
	c.list = target
	c.element = target.PushBack(value)
	if c.side == serverSide {
		c.budget.idleByAddress[c.address]++
	}
}

// removeFromList takes the connection off the list that it is on. The caller holds budget.mu.
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

// decrementIdle counts one idle connection to a server less. The caller holds mu.
func (b *ConnectionBudget) decrementIdle(address string) {
	b.idleByAddress[address]--
	if b.idleByAddress[address] == 0 {
		delete(b.idleByAddress, address)
	}
}

// closeAndRelease closes the connection and then gives its place back. Whoever waits for the last connection must
// not go on while it is still open.
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

// markClosed reports whether the connection had not been closed before.
func (c *trackedConn) markClosed() (first bool) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	first = !c.closed
	c.closed = true
	c.removeFromList()
	return first
}

// isReclaimed reports whether the budget wants the connection's place back.
func (c *trackedConn) isReclaimed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.reclaimed
}

// errNoSocket says that a connection is not one of the operating system, such as a pipe in a test.
var errNoSocket = errors.New("the connection has no socket")

// rawConn returns the socket of a connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	if s, ok := c.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}
