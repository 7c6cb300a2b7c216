// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"fernrail/internal/protocol"

	"github.com/rs/zerolog"
)

// TestStop: what was taken is answered, what still comes is taken for half of the time, and kept connections then close
// between requests.
func TestStop(t *testing.T) {
	taken, hold := make(chan struct{}), make(chan struct{})
	d := NewConnectionBudget(1024)
	s, address := startServer(t, d, func(context.Context, *protocol.Request) *protocol.Response {
		taken <- struct{}{}
		<-hold
		return &protocol.Response{Status: 200}
	})
	first := dialAndWrite(t, address, requestHead+"b")
	<-taken
	stopped, start := make(chan error, 1), time.Now()
	go func() { stopped <- s.Stop(2*time.Second, false) }()
	second := dialAndWrite(t, address, requestHead+"b")
	<-taken
	for { // until nothing new is taken
		c, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(start); took < time.Second {
		t.Errorf("shut after %s", took)
	}
	select {
	case <-stopped:
		t.Fatal("ended with requests unanswered")
	case <-time.After(30 * time.Millisecond):
	}
	close(hold)
	for _, c := range []net.Conn{first, second} {
		if got := readResponse(t, c); got.StatusCode != 200 || !got.Close {
			t.Errorf("%+v", got)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestStopLeavesHalfRequests: what a client never finished is no request that the node owes a response.
func TestStopLeavesHalfRequests(t *testing.T) {
	d := NewConnectionBudget(64)
	s, address := startServer(t, d, succeed)
	dialAndWrite(t, address, requestHead[:30])
	for read := 0; read == 0; time.Sleep(time.Millisecond) { // until its first bytes are read
		d.mu.Lock()
		read = d.active
		d.mu.Unlock()
	}
	if err := s.Stop(100*time.Millisecond, false); err != nil {
		t.Error(err)
	}
}

// TestPhases: what operators ask for out of turn gets a defined answer.
func TestPhases(t *testing.T) {
	shut := NewServer(NewConnectionBudget(64), nil, nil, func() bool { return true }, nil, zerolog.Nop())
	if shut.Ready() || !errors.Is(shut.Drain(), errNotListening) || !errors.Is(shut.Activate(), errNotListening) {
		t.Error("a server that does not listen")
	}
	s, address := startServer(t, NewConnectionBudget(64), succeed)
	if err := s.Activate(); err != nil || !isReady(t, address) {
		t.Error("activate without a drain", err)
	}
	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(50*time.Millisecond, false) }()
	for !errors.Is(s.Drain(), errStopping) {
		time.Sleep(time.Millisecond)
	}
	if !errors.Is(s.Activate(), errStopping) || s.Ready() {
		t.Error("a drained server that stops is back")
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestNothingIsTakenAfterTheEnd: a client's second half comes when the server has ended. It is not served, and
// nothing is made up.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	d := NewConnectionBudget(64)
	s, address := startServer(t, d, func(context.Context, *protocol.Request) *protocol.Response {
		t.Error("served")
		return nil
	})
	c := dialAndWrite(t, address, requestHead[:30])
	waitUntil(t, "its first bytes", func() bool { return lockedCount(d, &d.active) > 0 })
	if err := s.Stop(50*time.Millisecond, false); err != nil {
		t.Error(err)
	}
	io.WriteString(c, requestHead[30:]+"b")
	if text, err := io.ReadAll(c); len(text) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, %v", text, err)
	}
}

// TestStopEndsSilentConnections: connections that never said a word are closed before the process is, or served if
// they have. A request that were read as the process ends would be lost.
func TestStopEndsSilentConnections(t *testing.T) {
	s, address := startServer(t, NewConnectionBudget(64), succeed)
	silent := dialAndWrite(t, address, "")
	waitUntil(t, "a connection", func() bool { return pendingCount(s.budget) > 0 })
	if err := s.Stop(time.Second, false); err != nil {
		t.Error(err)
	}
	expectClose(t, "silent", silent, time.Second)
	if held := lockedCount(s.budget, &s.budget.inUse[clientSide]); held > 0 {
		t.Errorf("%d connections at the end", held)
	}
}
