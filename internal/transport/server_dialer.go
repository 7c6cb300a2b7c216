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

// Reasons for which a connection was not tried, or tells nothing about its server.
var (
	errLocalResources = errors.New("no file descriptor left")
	errSendDenied     = errors.New("no quota left for this server")
	errDialDelayed    = errors.New("no connection in time, while this process was late itself")
)

// isLocalFailure reports whether an error has its cause on this node, so that the server is not to blame.
func isLocalFailure(err error) bool {
	return errors.Is(err, errLocalResources) || errors.Is(err, errSendDenied) || errors.Is(err, errDialDelayed)
}

// localResourceErrors are what the operating system reports where this machine is short of something. They must not
// count against a server: for a moment without ports or descriptors all servers would lose their reliability.
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
	timeout         time.Duration // for a connection to come up
	mayDial         func(address string) bool
	schedulingDelay func() time.Duration // how long work of this process waits until it runs
	dialContext     func(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a connection and marks it as idle, as the request that it is for may have found another meanwhile.
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

// dialAllowed opens a connection if the gate allows it, which limits how many connections all nodes together open to a
// server that has just come back.
func (d *serverDialer) dialAllowed(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.mayDial(address) {
		return nil, errSendDenied
	}
	return d.dialServer(ctx, network, address)
}

// dialServer opens a connection. A process that is behind sees it later than it came up, and would blame the
// server. So it waits longer by its own delay, but no more than twice the timeout.
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

// isLocalResourceError reports whether a connection failed for want of something that this machine is short of.
func isLocalResourceError(err error) bool {
	for _, local := range localResourceErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// isTimeout reports whether a connection did not come up in time.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
