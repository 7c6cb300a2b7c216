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

// TestStopAnswersAcceptedRequests checks that accepted requests are answered before Stop returns, that
// requests are still accepted for at least half of the time-out, and that connections close after their
// response.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	budget := NewConnectionBudget(1024)
	s, address := startServer(t, budget, func(context.Context, *protocol.Request) *protocol.Response {
		started <- struct{}{}
		<-release
		return &protocol.Response{Status: 200}
	})
	first := dialAndWrite(t, address, requestHead+"b")
	<-started
	stopped, start := make(chan error, 1), time.Now()
	go func() { stopped <- s.Stop(2*time.Second, false) }()
	second := dialAndWrite(t, address, requestHead+"b")
	<-started
	for { // until no new connection is accepted
		c, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(10 * time.Millisecond)
	}
	if elapsed := time.Since(start); elapsed < time.Second {
		t.Errorf("listener was closed after %s, want at least 1 s", elapsed)
	}
	select {
	case <-stopped:
		t.Fatal("Stop returned while requests were unanswered")
	case <-time.After(30 * time.Millisecond):
	}
	close(release)
	for _, c := range []net.Conn{first, second} {
		if got := readResponse(t, c); got.StatusCode != 200 || !got.Close {
			t.Errorf("accepted request: got status %d, close %t, want 200 and close", got.StatusCode,
				got.Close)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("Stop: got error %v, want none", err)
	}
}

// TestStopIgnoresIncompleteRequest checks that Stop does not report a request as unanswered that its client
// has not sent completely.
func TestStopIgnoresIncompleteRequest(t *testing.T) {
	budget := NewConnectionBudget(64)
	s, address := startServer(t, budget, succeed)
	dialAndWrite(t, address, requestHead[:30])
	for read := 0; read == 0; time.Sleep(time.Millisecond) { // until its first bytes are read
		budget.mu.Lock()
		read = budget.active
		budget.mu.Unlock()
	}
	if err := s.Stop(100*time.Millisecond, false); err != nil {
		t.Errorf("Stop with an incomplete request: got error %v, want none", err)
	}
}

// TestDrainAndActivateByPhase checks the results of Drain and Activate in phases in which operators should
// not call them.
func TestDrainAndActivateByPhase(t *testing.T) {
	notListening := NewServer(NewConnectionBudget(64), nil, nil, func() bool { return true }, nil,
		zerolog.Nop())
	if notListening.Ready() || !errors.Is(notListening.Drain(), errNotListening) ||
		!errors.Is(notListening.Activate(), errNotListening) {
		t.Error("server that does not listen: Ready is true, or Drain or Activate returns another error")
	}
	s, address := startServer(t, NewConnectionBudget(64), succeed)
	if err := s.Activate(); err != nil || !isReady(t, address) {
		t.Errorf("Activate without a drain: got error %v, or the node is not ready", err)
	}
	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(50*time.Millisecond, false) }()
	for !errors.Is(s.Drain(), errStopping) {
		time.Sleep(time.Millisecond)
	}
	if !errors.Is(s.Activate(), errStopping) || s.Ready() {
		t.Error("stopping server: Activate does not return errStopping, or Ready is true")
	}
	if err := <-stopped; err != nil {
		t.Errorf("Stop: got error %v, want none", err)
	}
}

// TestNoRequestIsServedAfterStop checks that a request whose second half arrives after the server has stopped
// is not served and receives no response that no server produced.
func TestNoRequestIsServedAfterStop(t *testing.T) {
	budget := NewConnectionBudget(64)
	s, address := startServer(t, budget, func(context.Context, *protocol.Request) *protocol.Response {
		t.Error("a request was served after Stop")
		return nil
	})
	c := dialAndWrite(t, address, requestHead[:30])
	waitUntil(t, "read of the first bytes", func() bool { return lockedCount(budget, &budget.active) > 0 })
	if err := s.Stop(50*time.Millisecond, false); err != nil {
		t.Errorf("Stop: got error %v, want none", err)
	}
	io.WriteString(c, requestHead[30:]+"b")
	if text, err := io.ReadAll(c); len(text) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("incomplete request: got %q, error %v, want no data and EOF or a reset", text, err)
	}
}

// TestStopClosesSilentConnections checks that connections without any data are closed before Stop returns. A
// request that arrives on one while the process ends would be lost.
func TestStopClosesSilentConnections(t *testing.T) {
	s, address := startServer(t, NewConnectionBudget(64), succeed)
	silent := dialAndWrite(t, address, "")
	waitUntil(t, "pending connection", func() bool { return pendingCount(s.budget) > 0 })
	if err := s.Stop(time.Second, false); err != nil {
		t.Errorf("Stop: got error %v, want none", err)
	}
	expectClose(t, "silent connection", silent, time.Second)
	if inUse := lockedCount(s.budget, &s.budget.inUse[clientSide]); inUse > 0 {
		t.Errorf("got %d client connections after Stop, want 0", inUse)
	}
}
