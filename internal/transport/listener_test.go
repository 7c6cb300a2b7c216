// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/metrics"
	"fernrail/internal/protocol"
)

// failingListener returns the given errors from its first accepts.
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

// TestAcceptContinuesAfterErrors checks that the next client is accepted after any accept error. http.Server
// would stop on an error that it does not treat as temporary, and the node would end with all its requests.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	names := &protocol.Names{Classes: []string{"pay"}}
	ready := func() bool { return true }
	s := NewServer(NewConnectionBudget(1024), names, succeed, ready,
		metrics.New(names.Classes), zerolog.Nop())
	defer s.http.Close()
	ended := s.Start(&failingListener{Listener: inner, errors: []error{
		syscall.ECONNABORTED,
		syscall.ENFILE,
		syscall.EMFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EPROTO,
		syscall.ENETDOWN,
		syscall.EHOSTUNREACH,
		syscall.ETIMEDOUT,
		syscall.EPERM,
	}})
	c := dialAndWrite(t, inner.Addr().String(), requestHead+"b")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if response, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil ||
		response.StatusCode != http.StatusOK {
		t.Errorf("client after failed accepts: got response %+v, error %v, want status 200", response, err)
	}
	select {
	case err := <-ended:
		t.Error("server stopped serving:", err)
	default:
	}
}
