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

// dialServer opens a connection. A process that is behind looks at it later than it came up, and waits for it so much longer, but no
// more than twice.
// Danger: at a process that is behind each connection seems to be late, and its executor is blamed for it.
func (x *ServerClient) dialServer(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, within+min(time.Duration(x.schedulingDelay()), within))
	defer cancel()
	c, err := x.dialContext(ctx, network, address)
	if isLocalResourceError(err) {
		return nil, fmt.Errorf("%w: %w", errNoDescriptor, err)
	}
	if late := (net.Error)(nil); errors.As(err, &late) && late.Timeout() && time.Duration(x.schedulingDelay()) > within {
		return nil, errDialDelayed
	}
	return c, err
}

// isLocalResourceError says whether a connection failed for want of something that this machine is short of.
// Danger: for a moment without ports or descriptors all executors lose their reliability.
func isLocalResourceError(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// SetSchedulingDelay has the process's lag known; it is called before the node serves.
func (x *ServerClient) SetSchedulingDelay(lag func() int64) { x.schedulingDelay = lag }

// SetDialGate has each new connection to an executor asked for first, at the moment at which it would be opened.
func (x *ServerClient) SetDialGate(may func(address string) bool) { x.mayDial = may }
