// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"net"
	"sync"
	"sync/atomic"

	"fernrail/internal/protocol"
)

// The states of an exchange on a connection to a server. What is read before the last of these belongs to an earlier
// exchange.
const (
	exchangeAssigned        int32 = iota // the connection was given to a request
	exchangeRequestStarted               // the request's first byte is being written
	exchangeResponseStarted              // something has been read since
)

// serverConn is a connection to a server of the pool. It keeps what proves that a request was never sent whole.
type serverConn struct {
	net.Conn
	trackedConn
	exchangeState atomic.Int32

	writeMu        sync.Mutex        // also held during a write
	writeStarted   bool              // a write since the connection was given to the request
	writeTruncated bool              // a write did not take all its bytes
	writeDenied    bool              // a write was not made, as the gate did not allow it
	sendGate       protocol.SendGate // asked before the first write; nil: none
}

// newServerConn returns a connection that is not in use and not idle yet.
func newServerConn(conn net.Conn, budget *ConnectionBudget, address string) *serverConn {
	return &serverConn{
		Conn:        conn,
		trackedConn: trackedConn{socket: conn, budget: budget, side: serverSide, address: address},
	}
}

// Read notes the first bytes that come after a request was started.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.exchangeState.CompareAndSwap(exchangeRequestStarted, exchangeResponseStarted)
	}
	return n, err
}

// Write asks the send gate before a request's first byte: a process that was stopped since it decided to send could
// otherwise use quota whose lease has run out. Requests are written in order, so one that was cut short was not written
// to its end.
func (c *serverConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if gate := c.sendGate; gate != nil && !c.writeStarted {
		c.writeDenied = !gate.MaySend()
		if c.writeDenied {
			return 0, errSendDenied
		}
		defer gate.Sent()
	}
	c.writeStarted = true
	c.exchangeState.CompareAndSwap(exchangeAssigned, exchangeRequestStarted)
	n, err := c.Conn.Write(b)
	c.writeTruncated = c.writeTruncated || n < len(b)
	return n, err
}

// Close closes the connection and gives its place back.
func (c *serverConn) Close() error { return c.closeAndRelease() }

// beginExchange prepares the connection for a new request.
func (c *serverConn) beginExchange(gate protocol.SendGate) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeStarted = false
	c.writeTruncated = false
	c.writeDenied = false
	c.sendGate = gate
	c.exchangeState.Store(exchangeAssigned)
}

// wasDenied reports whether the request was held back by the send gate.
func (c *serverConn) wasDenied() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeDenied
}

// closeAndCheckUnsent closes the connection, and reports whether the last byte of the request with this use was never
// written to it, and whether the connection was closed to make room.
//
// That a write has not been seen yet proves nothing, since http.Transport may write while this looks. So the
// connection is closed first, which lets nothing more through, and a write under way is waited for. http.Transport
// also gives a connection back before it hands a response on, so that a later use may have it by now; then nothing
// is proved.
func (c *serverConn) closeAndCheckUnsent(use int) (unsent, reclaimed bool) {
	_ = c.Close() // nothing is written after it, whatever it reports
	c.writeMu.Lock()
	unsent = !c.writeStarted || c.writeTruncated
	c.writeMu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return unsent && c.uses == use, c.reclaimed
}
