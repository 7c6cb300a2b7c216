// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// routedTransport is a transport that reaches some addresses by others.
type routedTransport struct {
	*memberlist.NetTransport
	routes map[string]string
}

func (r *routedTransport) route(address string) string {
	if to, is := r.routes[address]; is {
		return to
	}
	return address
}

func (r *routedTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return r.NetTransport.WriteTo(b, r.route(address))
}

func (r *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = r.route(a.Addr)
	return r.NetTransport.WriteToAddress(b, a)
}

func (r *routedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return r.NetTransport.DialTimeout(r.route(address), timeout)
}

func (r *routedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = r.route(a.Addr)
	return r.NetTransport.DialAddressTimeout(a, timeout)
}
