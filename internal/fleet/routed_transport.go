// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// routedTransport is a gossip transport that replaces some destination addresses by others. The end of its context
// ends all streams to other nodes, which may not answer: the library's calls take no context.
type routedTransport struct {
	*memberlist.NetTransport
	ctx    context.Context
	routes map[string]string // the address to use, by destination address
	// streams limits the streams that other nodes, or anyone else, open to this one.
	streams *gossipStreams
}

// StreamCh implements memberlist.Transport.
func (t *routedTransport) StreamCh() <-chan net.Conn { return t.streams.admitted }

func (t *routedTransport) route(address string) string {
	if route, found := t.routes[address]; found {
		return route
	}
	return address
}

// WriteTo implements memberlist.Transport.
func (t *routedTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.route(address))
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *routedTransport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	address.Addr = t.route(address.Addr)
	return t.NetTransport.WriteToAddress(b, address)
}

// DialTimeout implements memberlist.Transport.
func (t *routedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", t.route(address))
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(t.ctx, func() { conn.Close() })
	return &canceledConn{Conn: conn, stop: stop}, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *routedTransport) DialAddressTimeout(
	address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// canceledConn is a connection that is closed at the end of a context.
type canceledConn struct {
	net.Conn
	stop func() bool // releases the context
}

// Close implements net.Conn.
func (c *canceledConn) Close() error {
	c.stop()
	return c.Conn.Close()
}
