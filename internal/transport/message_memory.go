// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"time"

	"fernrail/internal/protocol"
)

// responseGrace is how long a client may take to read its response before it may lose it to other messages.
const responseGrace = 250 * time.Millisecond

// unheldBytes is the size up to which a message is part of connectionMemory.
const unheldBytes = 1 << 10

// heldReader acquires memory for the bytes that are read through it.
type heldReader struct {
	io.ReadCloser
	holder *memoryHolder
	unheld int // bytes that were read and need no memory of the holder
}

// Read implements io.Reader.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	free := min(n, unheldBytes-r.unheld)
	r.unheld += free
	if n > free && !r.holder.acquire(n-free) || err != nil && r.holder.wasEvicted() {
		return 0, protocol.ErrNoMemory
	}
	return n, err
}

// holdRequest returns the holder of a request's body. A request that is not complete may lose its memory: its
// connection's pending read then ends.
func (b *ConnectionBudget) holdRequest(c *clientConn) *memoryHolder {
	return b.messages.hold("request", time.Now(), func() { c.socket.SetReadDeadline(expiredDeadline) })
}

// holdResponse returns the holder of a response. It may lose its memory once the client has had time to read it: the
// connection then closes.
func (b *ConnectionBudget) holdResponse(c *clientConn, bytes int) *memoryHolder {
	holder := b.messages.hold("response", time.Now().Add(responseGrace), func() {
		c.socket.SetWriteDeadline(expiredDeadline)
	})
	if bytes > unheldBytes {
		holder.acquireAlways(bytes)
	}
	return holder
}

// holdResult returns the holder of the response of a server, which may lose its memory until it is complete: its
// connection then closes.
func (b *ConnectionBudget) holdResult(c *serverConn) *memoryHolder {
	return b.messages.hold("result", time.Now(), func() { go c.closeSocket() })
}
