// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"net"
	"sync"
)

// voterAddress is a voter's id as a network address. It implements net.Addr.
type voterAddress string

// Network implements net.Addr.
func (a voterAddress) Network() string { return "fleet" }

// String implements net.Addr.
func (a voterAddress) String() string { return string(a) }

// handshakeConn is a connection whose first bytes were already read into a buffer.
type handshakeConn struct {
	net.Conn
	reader *bufio.Reader
	layer  *streamLayer
	// admitted counts the connection as unauthenticated; nil if this process opened it.
	admitted *admittedConn
}

// trust is called once the peer has shown the fleet's token.
func (c *handshakeConn) trust() {
	if c.admitted != nil {
		c.layer.unauthenticated.remove(c.admitted)
	}
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Close implements net.Conn.
func (c *handshakeConn) Close() error {
	c.trust()
	return c.layer.closeConnection(c.Conn)
}

// acceptQueue is a net.Listener for connections that another listener accepted.
type acceptQueue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	close   func() // may be called more than once
}

func newAcceptQueue(address net.Addr) *acceptQueue {
	q := &acceptQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	q.close = sync.OnceFunc(func() { close(q.closed) })
	return q
}

// deliver waits until the connection is accepted. If the queue is closed first, deliver closes the
// connection.
func (q *acceptQueue) deliver(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		conn.Close()
	}
}

// Accept implements net.Listener.
func (q *acceptQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *acceptQueue) Close() error {
	q.close()
	return nil
}

// Addr implements net.Listener.
func (q *acceptQueue) Addr() net.Addr { return q.address }
