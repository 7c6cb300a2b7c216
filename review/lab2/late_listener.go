// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// pollInterval is how often a lateListener looks whether it may accept.
	pollInterval = 5 * time.Millisecond
	// fullAfter is how long a connection of the stand-in itself may take to come up before its queue counts
	// as full.
	fullAfter = 30 * time.Millisecond
)

// lateListener is a listener whose new connections can be made to come up late: while it is late it accepts
// nothing and fills its own short queue, so that the kernel leaves connecting peers without an answer until
// they ask again.
type lateListener struct {
	*net.TCPListener

	mu      sync.Mutex
	late    bool
	fillers []net.Conn
	waiting sync.Mutex // held by Accept while it may take a connection from the queue
}

func newLateListener() (*lateListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 16); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &lateListener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept waits for a connection that is not one of the stand-in's own.
func (l *lateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptOnce()
		if err == nil && l.isFiller(conn) {
			conn.Close()
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return conn, err
	}
}

// acceptOnce waits for a short time for a connection, and for longer while the listener is late.
func (l *lateListener) acceptOnce() (net.Conn, error) {
	for l.isLate() {
		time.Sleep(pollInterval)
	}
	l.waiting.Lock()
	defer l.waiting.Unlock()
	if l.isLate() {
		return nil, os.ErrDeadlineExceeded
	}
	if err := l.SetDeadline(time.Now().Add(pollInterval)); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

func (l *lateListener) isLate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *lateListener) isFiller(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, filler := range l.fillers {
		if filler.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// beginLate makes new connections come up late, until endLate. It returns once the queue is full.
func (l *lateListener) beginLate() {
	l.mu.Lock()
	l.late = true
	l.mu.Unlock()
	l.waiting.Lock() // Accept takes nothing from now on
	defer l.waiting.Unlock()
	for range 64 {
		filler, err := net.DialTimeout("tcp", l.Addr().String(), fullAfter)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, filler)
		l.mu.Unlock()
	}
}

// endLate lets new connections come up again.
func (l *lateListener) endLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = false
	for _, filler := range l.fillers {
		filler.Close()
	}
}
