// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"net"
	"sync"
)

// voterAddress is a seat's id as an address.
type voterAddress string

func (n voterAddress) Network() string { return "fleet" }

func (n voterAddress) String() string { return string(n) }

// handshakeConn is a connection of which some bytes have been read.
type handshakeConn struct {
	net.Conn
	reader *bufio.Reader
	layer  *streamLayer
}

func (b *handshakeConn) Close() error { return b.layer.closeConnection(b.Conn) }

func (b *handshakeConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// acceptQueue is a listener that is handed its connections.
type acceptQueue struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce func()
}

func newAcceptQueue(address net.Addr) *acceptQueue {
	l := &acceptQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.closeOnce = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *acceptQueue) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		c.Close()
	}
}

func (l *acceptQueue) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *acceptQueue) Close() error { l.closeOnce(); return nil }

func (l *acceptQueue) Addr() net.Addr { return l.address }
