// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Backoff after a failed accept. The maximum is short because connecting clients wait during the backoff.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// budgetListener acquires a permit of the budget for each connection that it accepts.
type budgetListener struct {
	net.Listener
	budget *ConnectionBudget
	log    zerolog.Logger
}

// Accept waits for a client. It returns an error only if the listener was closed: http.Server stops serving
// on errors that it does not treat as temporary, such as ENOBUFS, and the process would end with it.
//
// Accept waits for a permit of the budget. A connection left in the kernel's accept queue could contain a
// request, so connections above the limit are accepted, answered with a rejection and closed.
func (l *budgetListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.budget.acceptClient(conn), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.log.Warn().Err(err).Msg("accept failed; retrying")
		time.Sleep(backoff)
	}
}

// inheritedListener is a listening socket that is shared with other processes.
type inheritedListener struct{ *net.TCPListener }

// InheritListener returns a listener for the inherited descriptor of a listening socket. It closes only this
// process's copies of the descriptor.
func InheritListener(descriptor int) (net.Listener, error) {
	file := os.NewFile(uintptr(descriptor), "inherited listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, not TCP", descriptor, l.Addr().Network())
	}
	return inheritedListener{tcp}, nil
}

// Accept sets the socket to non-blocking mode before it waits. The mode belongs to the shared socket: another
// process may have set it to blocking for all, and this process could then not stop until one more client
// connected.
func (l inheritedListener) Accept() (net.Conn, error) {
	l.setNonblock()
	return l.TCPListener.Accept()
}

// setNonblock ignores errors: the accept that follows reports a faulty socket.
func (l inheritedListener) setNonblock() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = unix.SetNonblock(int(descriptor), true) })
}
