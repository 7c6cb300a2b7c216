// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clientConn is a connection that a client opened.
//
// http.Server reads from it, and sees a request's bytes only through Read. So Read tells the budget of a request's
// first byte, long before the library reports that the connection is active, and looks at the request's head.
type clientConn struct {
	net.Conn
	trackedConn
	rejectOnly bool // its requests can only be rejected

	// openedAt is when the connection was accepted; zero once its last response was sent. Guarded by budget.mu.
	openedAt time.Time
	// lingerStarted says that the client has been given its time to read the last response. Guarded by budget.mu.
	lingerStarted bool

	head            requestHeadScanner
	readAhead       readAhead
	responseStarted atomic.Bool // something was written
}

// newClientConn returns a client connection that was accepted now and is on no list of the budget yet.
func newClientConn(conn net.Conn, budget *ConnectionBudget) *clientConn {
	return &clientConn{
		Conn:        conn,
		trackedConn: trackedConn{socket: conn, budget: budget, side: clientSide},
		openedAt:    time.Now(),
	}
}

// Read reads what the client sent. While a request is being served, http.Server reads one byte beyond it to learn
// that the client has closed; that call returns when the client has, and what comes before is kept for the next
// request.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 && c.head.isComplete() {
		if raw, err := rawConn(c.Conn); err == nil {
			return 0, c.readAhead.waitForClose(raw)
		}
	}
	if n := c.head.readWithheld(b); n > 0 {
		return n, nil
	}
	n, err := c.readNext(b)
	if n > 0 {
		c.budget.markActive(&c.trackedConn)
		n = c.head.scan(b[:n])
	}
	return n, err
}

// readNext reads what came behind the previous request, or else from the socket.
func (c *clientConn) readNext(b []byte) (int, error) {
	n, err := c.readAhead.readBuffered(b)
	if n > 0 || err != nil {
		return n, err
	}
	n, err = c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isReclaimed() {
		// The deadline may have been set by reclaim. A request that came before the close would be lost, as the
		// deadline hides it.
		if n = readNonBlocking(c.Conn, b); n > 0 {
			err = nil
		}
	}
	return n, err
}

// readNonBlocking reads what a connection's socket holds already, whatever the read deadline.
func readNonBlocking(c net.Conn, b []byte) (n int) {
	raw, err := rawConn(c)
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) }) // an error is as good as no byte
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// Write writes a part of a response.
func (c *clientConn) Write(b []byte) (int, error) {
	c.responseStarted.Store(true)
	return c.Conn.Write(b)
}

// SetReadDeadline does nothing on a connection that was told to close: http.Server sets its limit for idle connections
// just after it has reported one as idle, which would undo the deadline that reclaim has set.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.reclaimed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close waits for the client to read the last response, and closes the connection.
func (c *clientConn) Close() error {
	c.linger()
	return c.closeAndRelease()
}

// clientClosed reports whether the client of the request being served has closed its side, as far as this machine knows
// at this moment.
func (c *clientConn) clientClosed() bool { return c.readAhead.clientClosed(c.Conn) }

// lastResponseSent reports whether the connection only waits for its client to close. The caller holds budget.mu.
func (c *clientConn) lastResponseSent() bool { return c.openedAt.IsZero() }

// evictable reports whether a pending connection can be closed without the loss of a request. The caller holds
// budget.mu.
func (c *clientConn) evictable() bool {
	if c.lastResponseSent() {
		return true
	}
	requestComplete := c.active && c.head.isComplete()
	return !requestComplete && !c.hasUnreadData()
}

// hasUnreadData reports whether the socket holds bytes that nobody has read.
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
