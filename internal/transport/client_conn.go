// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Read notes the first bytes of a client's request: from then on the connection is in use, long before the library
// says so.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.side != clientSide {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.exchangeState.CompareAndSwap(exchangeRequestStarted, exchangeResponseStarted)
		}
		return n, err
	}
	// The library reads one byte behind a request that is at work, to learn that its client closes; within heads it may as well.
	if len(b) == 1 && c.head.isComplete() {
		if raw, err := rawConn(c.Conn); err == nil {
			return 0, c.waitForClose(raw)
		}
	}
	if n := c.head.takeHeldBack(b); n > 0 {
		return n, nil
	}
	n, err := c.takeReadAhead(b)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(b)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isReclaimed() {
		if n = readNonBlocking(c.Conn, b); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.budget.markActive(c)
		n = c.head.scan(b[:n])
	}
	return n, err
}

var (
	errNoSocket          = errors.New("no socket")
	errReadAheadOverflow = errors.New("more came behind a request than is kept")
)

func rawConn(c net.Conn) (syscall.RawConn, error) {
	if s, can := c.(syscall.Conn); can {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}

// hasUnreadData says whether bytes lie in the socket that nobody has read.
func (c *trackedConn) hasUnreadData() (is bool) {
	if raw, err := rawConn(c.Conn); err == nil {
		raw.Control(func(fd uintptr) {
			n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			is = err == nil && n > 0
		})
	}
	return is
}

func (c *trackedConn) isReclaimed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.reclaimed
}

// readNonBlocking reads what a connection holds already.
// Danger: a request that came between the waking and the close is thrown away; a deadline that has passed hides it.
func readNonBlocking(c net.Conn, b []byte) (n int) {
	if raw, err := rawConn(c); err == nil {
		raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) })
	}
	return max(n, 0)
}
