// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fernrail/internal/protocol"
)

// trackedConn is a connection with its place in the budget. For those to executors it also keeps what proves that a
// request was never sent whole.
type trackedConn struct {
	net.Conn
	budget     *ConnectionBudget
	side       connectionSide
	address    string // of the executor
	openedAt   time.Time
	rejectOnly bool // a client's that can only be turned away
	active     bool // under owner.mu, as are those up to yielded
	list       *list.List
	element    *list.Element // of in
	uses       int
	closed     bool
	// reclaimed: told to make room, when it may just have been taken for a request
	reclaimed     bool
	lingerStarted bool // it has been given its time to be read

	head            requestHeadScanner // of a client's request
	responseStarted atomic.Bool        // something was written to a client

	readAheadMu       sync.Mutex
	requestInProgress bool   // a request is at work; under looking, as are those below
	readAhead         []byte // what came behind it and is not handed on yet
	discardedBytes    int    // bytes behind that were thrown away
	readError         error  // how the client's sending ended; nil: it has not

	writeMu        sync.Mutex
	exchangeState  atomic.Int32 // how far a request has come that was given this connection
	writeStarted   bool         // a write since the request was given this connection
	writeTruncated bool         // a write did not take all its bytes
	writeDenied    bool         // a write was not made: the share that it needed was gone
	sendGate       protocol.SendGate
}

// moveTo moves the connection to the end of a list, or out of all. Under owner.mu.
func (c *trackedConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
		if c.side == serverSide {
			if c.budget.idleByAddress[c.address]--; c.budget.idleByAddress[c.address] == 0 {
				delete(c.budget.idleByAddress, c.address)
			}
		}
	}
	if to != nil && c.side == serverSide {
		c.budget.idleByAddress[c.address]++
	}
	if c.list, c.element = to, nil; to != nil {
		c.element = to.PushBack(c)
	}
}

func (c *trackedConn) Close() error {
	if c.side == clientSide {
		c.waitForClientClose()
	}
	c.budget.mu.Lock()
	first := !c.closed
	c.closed = true
	c.moveTo(nil)
	c.budget.mu.Unlock()
	err := c.Conn.Close()
	// Danger: who waits for the last connection goes on while it is still open.
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.budget.clearState(c); first {
		c.budget.held[c.side]--
		c.budget.changed.Broadcast()
	}
	return err
}

// SetReadDeadline keeps a connection awake that has to give way.
// Danger: the server sets its own limit for idle ones just after it calls one idle, and would wait on.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.reclaimed && c.side == clientSide {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
