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

// Waits after an accept that failed: the first one, and the longest, since clients that connect wait meanwhile.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// budgetListener gives each connection that it accepts a place in the budget.
type budgetListener struct {
	net.Listener
	budget *ConnectionBudget
	log    zerolog.Logger
}

// Accept waits for a client. Only the end of the listener is returned as an error: http.Server ends on errors that
// it does not take for temporary, such as ENOBUFS, and the process would end with it.
//
// Accepting waits for a place in the budget. A connection that were left in the kernel's queue could hold a
// request; those beyond the limit are accepted, answered and closed at once.
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

// inheritedListener is a listening socket that other processes hold as well.
type inheritedListener struct{ *net.TCPListener }

// InheritListener takes over a listening socket by its descriptor. Only this process's copy of it is ever closed.
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

// Accept makes the socket non-blocking before it waits. That is a property of the socket, not of its holder: another
// process may have made it block for all, and this one could not stop until one more client came.
func (l inheritedListener) Accept() (net.Conn, error) {
	l.setNonblock()
	return l.TCPListener.Accept()
}

// setNonblock ignores errors: what is wrong with the socket is reported by the accept that follows.
func (l inheritedListener) setNonblock() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = unix.SetNonblock(int(descriptor), true) })
}
