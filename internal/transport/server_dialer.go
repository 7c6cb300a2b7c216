// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// Errors of dials that were not attempted, or whose failure is no evidence against the server.
var (
	errLocalResources = errors.New("local connection resources exhausted")
	errSendDenied     = errors.New("no quota available for this server")
	errDialDelayed    = errors.New("dial timed out while this process was delayed")
)

// isLocalFailure reports whether an error is caused by this node and must not count against the server.
func isLocalFailure(err error) bool {
	return errors.Is(err, errLocalResources) ||
		errors.Is(err, errSendDenied) ||
		errors.Is(err, errDialDelayed)
}

// localResourceErrors are the errors that the operating system returns if this machine is out of a resource.
// They must not count against a server: a moment without ports or descriptors would lower the reliability of
// all servers.
var localResourceErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// serverDialer opens connections to servers within the budget.
type serverDialer struct {
	budget          *ConnectionBudget
	timeout         time.Duration // limit for establishing a connection
	mayDial         func(address string) bool
	schedulingDelay func() time.Duration // how long a ready goroutine of this process waits until it runs
	dialContext     func(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a connection and marks it as idle, because its request may have been assigned another connection
// in the meantime.
func (d *serverDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.budget.acquire(serverSide) {
		return nil, errLocalResources
	}
	conn, err := d.dialAllowed(ctx, network, address)
	if err != nil {
		d.budget.release(serverSide)
		return nil, err
	}
	c := newServerConn(conn, d.budget, address)
	d.budget.markIdle(&c.trackedConn, 0)
	return c, nil
}

// dialAllowed opens a connection if the dial gate allows it. The gate limits how many connections all nodes
// together open to a server that has just become available again.
func (d *serverDialer) dialAllowed(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.mayDial(address) {
		return nil, errSendDenied
	}
	return d.dialServer(ctx, network, address)
}

// dialServer opens a connection. A delayed process detects an established connection late, and would count
// the delay against the server. So the time-out is extended by the scheduling delay, up to twice the
// time-out.
func (d *serverDialer) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	allowance := min(d.schedulingDelay(), d.timeout)
	ctx, cancel := context.WithTimeout(ctx, d.timeout+allowance)
	defer cancel()
	conn, err := d.dialContext(ctx, network, address)
	if isLocalResourceError(err) {
		return nil, fmt.Errorf("%w: %w", errLocalResources, err)
	}
	if isTimeout(err) && d.schedulingDelay() > d.timeout {
		return nil, errDialDelayed
	}
	return conn, err
}

// isLocalResourceError reports whether a dial failed because this machine is out of a resource.
func isLocalResourceError(err error) bool {
	for _, local := range localResourceErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// isTimeout reports whether a dial timed out.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
