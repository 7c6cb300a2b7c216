// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"fernrail/internal/protocol"
)

// The states of an exchange on a connection to a server. Data read before exchangeRequestStarted belongs to
// an earlier exchange.
const (
	exchangeAssigned        int32 = iota // the connection was assigned to a request
	exchangeRequestStarted               // the request's first byte is being written
	exchangeResponseStarted              // data has been read since
)

const (
	// maxResponseFields limits the header lines of a response.
	maxResponseFields = 100
	// headHasEnded is the number of lines of a head that needs no count.
	headHasEnded = -1
)

// serverConn is a connection to a server of the pool. It records the evidence that a request was not sent
// completely.
type serverConn struct {
	net.Conn
	trackedConn
	exchangeState atomic.Int32
	headLines     atomic.Int32 // line ends read since the request was assigned, until the head of its response ended

	writeMu        sync.Mutex        // also locked during a write
	writeStarted   bool              // a write was made since the connection was assigned to the request
	writeTruncated bool              // a write wrote fewer bytes than requested
	writeDenied    bool              // the gate denied the request's first write
	sendGate       protocol.SendGate // checked before the first write; may be nil
}

// newServerConn wraps a connection to a server. It is neither in use nor idle yet.
func newServerConn(conn net.Conn, budget *ConnectionBudget, address string) *serverConn {
	return &serverConn{
		Conn:        conn,
		trackedConn: trackedConn{socket: conn, budget: budget, side: serverSide, address: address},
	}
}

// errLongResponseHead is returned if the head of a response has more than maxResponseFields lines.
var errLongResponseHead = fmt.Errorf("response head has more than %d fields", maxResponseFields)

// Read records that the response has started when it reads the first bytes after the start of a request. It ends
// heads of very many fields: http.Transport limits only their bytes, and needs many times the memory of a short field.
func (c *serverConn) Read(b []byte) (int, error) {
	if c.headLines.Load() > maxResponseFields {
		return 0, errLongResponseHead
	}
	n, err := c.Conn.Read(b)
	if c.headLines.Load() >= 0 {
		c.headLines.Add(int32(bytes.Count(b[:n], []byte("\n"))))
	}
	if n > 0 {
		c.exchangeState.CompareAndSwap(exchangeRequestStarted, exchangeResponseStarted)
	}
	return n, err
}

// Write checks the send gate before a request's first byte: a process that was suspended after it decided to
// send could otherwise use quota whose lease has expired. Bytes are written in order, so after a truncated
// write the request was not written completely.
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

// Close closes the connection and releases its permit.
func (c *serverConn) Close() error { return c.closeAndRelease() }

// closeSocket is Close for callers that do not use the connection any more.
func (c *serverConn) closeSocket() { _ = c.Close() } // the connection is not used again even if the close fails

// beginExchange prepares the connection for a new request.
func (c *serverConn) beginExchange(gate protocol.SendGate) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeStarted = false
	c.writeTruncated = false
	c.writeDenied = false
	c.sendGate = gate
	c.exchangeState.Store(exchangeAssigned)
	c.headLines.Store(0)
}

// headEnded is called when the head of a response was read. The lines of its body are not counted.
func (c *serverConn) headEnded() { c.headLines.Store(headHasEnded) }

// wasDenied reports whether the send gate denied the request.
func (c *serverConn) wasDenied() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeDenied
}

// closeAndCheckUnsent closes the connection. unsent reports whether it is proved that the last byte of the
// request with this use number was never written. reclaimed reports whether the connection was closed to make
// room.
//
// The absence of a write proves nothing while http.Transport may still write. So the connection is closed
// first, which prevents further writes, and a write in progress is waited for. http.Transport also returns a
// connection to its pool before it returns the response, so a later use may have the connection by now; then
// nothing is proved.
func (c *serverConn) closeAndCheckUnsent(use int) (unsent, reclaimed bool) {
	_ = c.Close() // no write succeeds after it, even if it returns an error
	c.writeMu.Lock()
	unsent = !c.writeStarted || c.writeTruncated
	c.writeMu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return unsent && c.uses == use, c.reclaimed
}
