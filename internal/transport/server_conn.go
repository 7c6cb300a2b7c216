// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"fernrail/internal/protocol"
)

// A request's turn on a connection to an executor. What is read before the last of these belongs to an earlier one.
const (
	exchangeAssigned        = iota
	exchangeRequestStarted  // its first byte has been written
	exchangeResponseStarted // something has been read since
)

// Write keeps the proof. Requests are written in order, so one that was cut short was not written to its end.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.side == clientSide {
		c.responseStarted.Store(true)
		return c.Conn.Write(b)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// Danger: a process that was stopped since it decided, and sends on a lease that ran out meanwhile.
	if admit := c.sendGate; admit != nil && !c.writeStarted {
		if c.writeDenied = !admit.MaySend(); c.writeDenied {
			return 0, errSendDenied
		}
		defer admit.Sent()
	}
	c.writeStarted = true
	c.exchangeState.CompareAndSwap(exchangeAssigned, exchangeRequestStarted)
	n, err := c.Conn.Write(b)
	c.writeTruncated = c.writeTruncated || n < len(b)
	return n, err
}

// beginExchange opens the account of a new request.
func (c *trackedConn) beginExchange(admit protocol.SendGate) {
	c.writeMu.Lock()
	c.writeStarted, c.writeTruncated, c.writeDenied, c.sendGate = false, false, false, admit
	c.exchangeState.Store(exchangeAssigned)
	c.writeMu.Unlock()
}

// closeAndCheckUnsent ends the connection and says whether the request's last byte was never written to it, and whether that was
// this node's own doing.
// Danger: a hook that has not fired yet is no proof; the library may write while this looks. So the connection
// is closed first, which lets nothing more through, and a write that is under way is waited for.
// Danger: the library gives a connection back before it hands an answer on, and what is asked about then is the next request's turn.
func (c *trackedConn) closeAndCheckUnsent(use int) (never, yielded bool) {
	c.Close()
	c.writeMu.Lock()
	never = !c.writeStarted || c.writeTruncated
	c.writeMu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return never && c.uses == use, c.reclaimed
}
