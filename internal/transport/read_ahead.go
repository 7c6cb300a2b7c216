// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// takeReadAhead hands on what came behind the request before.
func (c *trackedConn) takeReadAhead(b []byte) (int, error) {
	c.readAheadMu.Lock()
	defer c.readAheadMu.Unlock()
	n := copy(b, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	if n == 0 && c.discardedBytes > 0 {
		return 0, errReadAheadOverflow
	}
	return n, nil
}

// beginRequest begins a request's work, from which on left can tell. The library looks for the client's close by then, or soon.
func (c *trackedConn) beginRequest() {
	c.readAheadMu.Lock()
	c.requestInProgress = true
	c.readAheadMu.Unlock()
}

// waitForClose returns when the client has closed, however much it sent before, or when the library has no more use for that.
// Danger: the library stops to look at the first byte that comes; of a close after that nobody would ever know.
func (c *trackedConn) waitForClose(raw syscall.RawConn) error {
	defer func() {
		c.readAheadMu.Lock()
		c.requestInProgress = false
		c.readAheadMu.Unlock()
	}()
	for {
		if err := raw.Read(func(fd uintptr) bool {
			c.readAheadMu.Lock()
			defer c.readAheadMu.Unlock()
			return c.fillReadAhead(int(fd))
		}); err != nil {
			return err
		}
		c.readAheadMu.Lock()
		over, much := c.readError, c.discardedBytes > floodThreshold
		c.readAheadMu.Unlock()
		if over != nil {
			return over
		}
		if much {
			time.Sleep(floodPause)
		}
	}
}

// fillReadAhead takes what has come behind the request, and says whether that was a gulp, or the client has closed. Under looking.
func (c *trackedConn) fillReadAhead(fd int) (done bool) {
	b := make([]byte, 1<<10)
	for took := 0; c.readError == nil && took < readAheadChunk; {
		n, err := unix.Read(fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		case err != nil:
			c.readError = err
		case n == 0:
			c.readError = io.EOF
		default:
			took += n
			if kept := min(n, readAheadLimit-len(c.readAhead)); kept > 0 && c.discardedBytes == 0 {
				c.readAhead = append(c.readAhead, b[:kept]...)
				n -= kept
			}
			c.discardedBytes += n
		}
	}
	return true
}

// clientClosed says whether the client of the request at work has closed, as far as this machine knows at this moment.
// Danger: a node short of its core that sends on what nobody waits for, since word of the close is in the socket still.
func (c *trackedConn) clientClosed() bool {
	raw, err := rawConn(c.Conn)
	c.readAheadMu.Lock()
	defer c.readAheadMu.Unlock()
	if err == nil && c.requestInProgress {
		raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) })
	}
	return c.readError != nil
}
