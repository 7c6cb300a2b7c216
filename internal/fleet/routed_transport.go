// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// routedTransport is a gossip transport that replaces some destination addresses by others.
type routedTransport struct {
	*memberlist.NetTransport
	routes map[string]string // the address to use, by destination address
}

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
	return t.NetTransport.DialTimeout(t.route(address), timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *routedTransport) DialAddressTimeout(
	address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	address.Addr = t.route(address.Addr)
	return t.NetTransport.DialAddressTimeout(address, timeout)
}
