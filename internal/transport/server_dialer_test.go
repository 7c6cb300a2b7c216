// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"fernrail/dispatch"
)

// TestLocalShortageIsNotTheServersFault: a connection that failed since this machine has no descriptor, port or buffer
// left costs its server nothing; one that was refused or has no route does.
func TestLocalShortageIsNotTheServersFault(t *testing.T) {
	for cause, want := range map[syscall.Errno]dispatch.Outcome{
		syscall.EMFILE:        dispatch.NotSent,
		syscall.ENFILE:        dispatch.NotSent,
		syscall.ENOBUFS:       dispatch.NotSent,
		syscall.ENOMEM:        dispatch.NotSent,
		syscall.EADDRNOTAVAIL: dispatch.NotSent,
		syscall.ECONNREFUSED:  dispatch.ConnectFailed,
		syscall.ENETUNREACH:   dispatch.ConnectFailed,
		syscall.ETIMEDOUT:     dispatch.ConnectFailed,
	} {
		d, x := newTestClient()
		x.dialer.dialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
		}
		if got := forward(t.Context(), x, "127.0.0.1:9"); got.outcome != want {
			t.Errorf("%v: %v in place of %v", cause, got.outcome, want)
		}
		if d.inUse[serverSide] != 0 {
			t.Errorf("%v: a place is kept", cause)
		}
	}
}

// TestLateDialIsNotTheServersFault: a connection that is not there in time is its server's fault, but at a process that
// is behind, which may have looked too late. Otherwise all servers would lose their reliability while a node is
// short of processor time.
func TestLateDialIsNotTheServersFault(t *testing.T) {
	for lag, want := range map[time.Duration]dispatch.Outcome{
		0:                       dispatch.ConnectFailed,
		300 * time.Millisecond:  dispatch.ConnectFailed,
		1100 * time.Millisecond: dispatch.NotSent,
	} {
		_, x := newTestClient()
		x.SetSchedulingDelay(func() int64 { return int64(lag) })
		x.dialer.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		if got := forward(t.Context(), x, "127.0.0.1:9"); got.outcome != want {
			t.Errorf("lag %v: %v in place of %v", lag, got.outcome, want)
		}
	}
}
