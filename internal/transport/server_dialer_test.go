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

// TestLocalResourceErrorIsNotConnectFailed checks that a dial that failed because this machine is out of
// descriptors, ports or buffers does not count against the server. A refused dial, or one without a route,
// does.
func TestLocalResourceErrorIsNotConnectFailed(t *testing.T) {
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
		budget, client := newTestClient()
		client.dialer.dialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
		}
		if got := forward(t.Context(), client, "127.0.0.1:9"); got.outcome != want {
			t.Errorf("%v: got outcome %v, want %v", cause, got.outcome, want)
		}
		if budget.inUse[serverSide] != 0 {
			t.Errorf("%v: %d permits are in use after the failed dial, want 0", cause,
				budget.inUse[serverSide])
		}
	}
}

// TestDelayedDialIsNotConnectFailed checks that a dial that timed out counts against the server, except on a
// process that is delayed for longer than the dial time-out and may have checked too late. Otherwise all
// servers would lose reliability while a node is short of CPU time.
func TestDelayedDialIsNotConnectFailed(t *testing.T) {
	for delay, want := range map[time.Duration]dispatch.Outcome{
		0:                       dispatch.ConnectFailed,
		300 * time.Millisecond:  dispatch.ConnectFailed,
		1100 * time.Millisecond: dispatch.NotSent,
	} {
		_, client := newTestClient()
		client.SetSchedulingDelay(func() int64 { return int64(delay) })
		client.dialer.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		if got := forward(t.Context(), client, "127.0.0.1:9"); got.outcome != want {
			t.Errorf("delay %v: got outcome %v, want %v", delay, got.outcome, want)
		}
	}
}
