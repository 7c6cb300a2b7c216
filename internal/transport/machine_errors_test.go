// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/metrics"
	"fernrail/internal/protocol"
)

// failingListener fails some accepts.
type failingListener struct {
	net.Listener
	errors []error
	next   atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if i := int(l.next.Add(1)) - 1; i < len(l.errors) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errors[i])}
	}
	return l.Listener.Accept()
}

// TestAcceptGoesOn: after any error of an accept the next client is taken. Danger: an error that is not known for temporary ends the
// node with all that it has taken.
func TestAcceptGoesOn(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	names := &protocol.Names{Classes: []string{"pay"}}
	s := NewServer(NewConnectionBudget(1024), names, succeed, func() bool { return true }, metrics.New(names.Classes), zerolog.Nop())
	defer s.http.Close()
	ended := s.Start(&failingListener{Listener: inner, errors: []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPERM}})
	c := dialAndWrite(t, inner.Addr().String(), requestHead+"b")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", answer, err)
	}
	select {
	case err := <-ended:
		t.Error("the server ended:", err)
	default:
	}
}

// TestShortageIsNoExecutorsFault: a connection that failed since this machine has no descriptor, port or buffer left costs its executor
// nothing; one that was refused or has no route does.
func TestShortageIsNoExecutorsFault(t *testing.T) {
	for cause, want := range map[syscall.Errno]dispatch.Outcome{syscall.EMFILE: dispatch.NotSent, syscall.ENFILE: dispatch.NotSent,
		syscall.ENOBUFS: dispatch.NotSent, syscall.ENOMEM: dispatch.NotSent, syscall.EADDRNOTAVAIL: dispatch.NotSent,
		syscall.ECONNREFUSED: dispatch.ConnectFailed, syscall.ENETUNREACH: dispatch.ConnectFailed, syscall.ETIMEDOUT: dispatch.ConnectFailed} {
		d, x := newTestClient()
		x.dialer.dialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
		}
		if got := forward(t.Context(), x, "127.0.0.1:9"); got.outcome != want {
			t.Errorf("%v: %v in place of %v", cause, got.outcome, want)
		}
		if d.held[serverSide] != 0 {
			t.Errorf("%v: a place is kept", cause)
		}
	}
}
