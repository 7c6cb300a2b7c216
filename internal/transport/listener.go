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

// budgetListener gives each connection its place in the budget.
type budgetListener struct {
	net.Listener
	budget *ConnectionBudget
	log    zerolog.Logger
}

// Waits after an accept that failed: the first one, and the longest, which requests that wait at the door can bear.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// Accept waits for a client. It goes on after every error but the listener's own end.
// Danger: net/http ends on errors that it does not call temporary, such as ENOBUFS, and the process with it.
func (l *budgetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for pause := minAcceptBackoff; err != nil; pause = min(2*pause, maxAcceptBackoff) {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.log.Warn().Err(err).Msg("accept failed, and is tried again")
		time.Sleep(pause)
		c, err = l.Listener.Accept()
	}
	// Danger: a connection that is left waiting may hold a txn. Only a newcomer makes others give way, so none does
	// without need; those in spare places are answered and closed at once.
	return l.budget.acceptClient(c), nil
}

// inheritedListener is a listening socket that other processes hold as well.
type inheritedListener struct{ *net.TCPListener }

// InheritListener takes a listening socket over. Only this process's copy of it is ever closed.
func InheritListener(descriptor int) (net.Listener, error) {
	f := os.NewFile(uintptr(descriptor), "inherited listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, is := l.(*net.TCPListener)
	if !is {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, not TCP", descriptor, l.Addr().Network())
	}
	return inheritedListener{tcp}, nil
}

// Accept makes the socket one that does not block before it asks it.
// Danger: that is a trait of the socket, not of its holder. Who hands it to another process may make it block for all,
// and a process that sleeps on it can't stop until one more client comes.
func (l inheritedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(descriptor uintptr) { unix.SetNonblock(int(descriptor), true) })
	}
	return l.TCPListener.Accept()
}
