// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"fernrail/internal/protocol"
)

// clientConn is a connection that a client opened.
//
// http.Server receives a request's bytes only through Read. Read therefore reports a request's first byte to
// the budget long before the library reports the connection as active, and scans the request's head.
type clientConn struct {
	net.Conn
	trackedConn
	rejectOnly bool // every request is rejected

	// openedAt is when the connection was accepted; zero once its last response was sent. Guarded by
	// budget.mu.
	openedAt time.Time
	// lingerStarted is set once the wait for the client to read the last response has begun, or must not
	// begin. Guarded by budget.mu.
	lingerStarted bool

	// unsound is set once a request was not accepted. The connection ends with its response, or without one if its
	// permit is needed. Guarded by budget.mu.
	unsound bool

	head            requestHeadScanner
	readAhead       readAhead
	pacer           requestPacer
	inHandler       atomic.Bool // the current request was passed to Server; false: http.Server responds itself
	responseStarted atomic.Bool // at least one write was attempted
}

// newClientConn wraps a newly accepted connection. It is on no list of the budget yet.
func newClientConn(conn net.Conn, budget *ConnectionBudget) *clientConn {
	return &clientConn{
		Conn:        conn,
		trackedConn: trackedConn{socket: conn, budget: budget, side: clientSide},
		openedAt:    time.Now(),
		pacer:       newRequestPacer(),
		readAhead:   readAhead{memory: &memoryHolder{memory: &budget.readAhead, kind: "read-ahead"}},
	}
}

// Read reads from the client. While a request is being served, http.Server reads one byte beyond it to detect
// that the client has closed. That call returns only when the client has closed; data received before that is
// buffered for the next request.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && c.head.isComplete() {
		if raw, err := rawConn(c.Conn); err == nil {
			return 0, c.readAhead.waitForClose(raw)
		}
	}
	if !c.head.isStarted() {
		time.Sleep(c.pacer.debt())
	}
	if c.head.hasTooManyFields() && !c.head.isComplete() {
		return 0, errTooManyFields // http.Server responds with status 400
	}
	return c.readScanned(b)
}

// readScanned reads data that belong to the current head or body. It marks the connection as active.
func (c *clientConn) readScanned(b []byte) (int, error) {
	if n := c.head.readWithheld(b); n > 0 {
		c.budget.markActive(&c.trackedConn)
		return n, nil
	}
	n, err := c.readNext(b)
	if n > 0 {
		c.budget.markActive(&c.trackedConn)
		n = c.head.scan(b[:n])
	}
	return n, err
}

// readNext reads data that was buffered behind the previous request, or from the socket if there is none.
func (c *clientConn) readNext(b []byte) (int, error) {
	if n := c.readAhead.readBuffered(b); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isReclaimed() {
		// The deadline may have been set by reclaim. It hides a request that arrived before the close, which
		// would be lost without this read.
		if n = readNonBlocking(c.Conn, b); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.readAhead.received(n, n < len(b))
	}
	return n, err
}

// readNonBlocking reads data that is already in the socket's receive buffer, regardless of the read deadline.
func readNonBlocking(c net.Conn, b []byte) (n int) {
	raw, err := rawConn(c)
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) }) // an error counts as no data
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// Write writes a part of a response. http.Server responds to malformed requests itself.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.inHandler.Load() {
		c.payForUnsound()
	}
	c.responseStarted.Store(true)
	return c.Conn.Write(b)
}

// SetReadDeadline has no effect on a reclaimed connection. http.Server sets its idle time-out just after it
// reports a connection as idle, which would overwrite the deadline set by reclaim.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.reclaimed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close waits for the client to read the last response, then closes the connection.
func (c *clientConn) Close() error {
	c.linger()
	defer c.readAhead.close()
	return c.closeAndRelease()
}

// clientState returns what is known about the client of the request being served, as far as the kernel of this
// machine has been notified.
func (c *clientConn) clientState() protocol.ClientState { return c.readAhead.clientState(c.Conn) }

// lastResponseSent reports whether the last response was sent and only the client's close is pending. The
// caller holds budget.mu.
func (c *clientConn) lastResponseSent() bool { return c.openedAt.IsZero() }

// evictable reports whether a pending connection can be closed without losing a request. The caller holds
// budget.mu.
func (c *clientConn) evictable() bool {
	if c.lastResponseSent() || c.unsound {
		return true
	}
	requestComplete := c.active && c.head.isComplete()
	return !requestComplete && !c.hasUnreadData()
}

// hasUnreadData reports whether the socket's receive buffer has unread bytes.
func (c *clientConn) hasUnreadData() (unread bool) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
