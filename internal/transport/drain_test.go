// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/protocol"
)

// isReady asks a node whether clients may come.
func isReady(t *testing.T, address string) bool {
	t.Helper()
	return readResponse(t, dialAndWrite(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")).StatusCode == http.StatusOK
}

// expectClose fails the test unless the connection is closed within a time, with nothing sent on it.
func expectClose(t *testing.T, what string, c net.Conn, within time.Duration) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(within))
	if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
		t.Errorf("%s: %q, %v", what, text, err)
	}
}

// TestDrain: clients are told not to come, those that come all the same are served, and every connection ends by itself:
// kept ones at once, busy ones with their answer, and those that never say a word soon. Then all is as before.
func TestDrain(t *testing.T) {
	taken, hold := make(chan struct{}), make(chan struct{})
	d := NewConnectionBudget(1024)
	s, address := startTestServer(t, d, func(_ context.Context, q *protocol.Request) *protocol.Response {
		if string(q.Body) == "l" {
			taken <- struct{}{}
			<-hold
		}
		return &protocol.Response{Status: 200, Body: "r"}
	})
	for round := range 5 {
		var kept []net.Conn
		for range 10 {
			c := dialAndWrite(t, address, requestHead+"b")
			if got := readResponse(t, c); got.StatusCode != 200 || got.Close {
				t.Fatalf("round %d: %+v", round, got)
			}
			kept = append(kept, c)
		}
		silent, half, busy := dialAndWrite(t, address, ""), dialAndWrite(t, address, requestHead[:30]), dialAndWrite(t, address, requestHead+"l")
		<-taken
		if !isReady(t, address) {
			t.Fatal("not ready")
		}
		start := time.Now()
		for range 2 {
			if err := s.Drain(); err != nil {
				t.Fatal(err)
			}
		}
		if isReady(t, address) {
			t.Error("ready while it drains")
		}
		if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 || !got.Close {
			t.Errorf("a late client: %+v", got)
		}
		for _, c := range kept {
			expectClose(t, "kept", c, time.Second)
		}
		expectClose(t, "silent", silent, 1500*time.Millisecond)
		io.WriteString(half, requestHead[30:]+"b")
		if got := readResponse(t, half); got.StatusCode != 200 || !got.Close {
			t.Errorf("a slow client: %+v", got)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("empty after %s", took)
		}
		hold <- struct{}{}
		if got := readResponse(t, busy); got.StatusCode != 200 || !got.Close {
			t.Errorf("a long job: %+v", got)
		}
		for range 2 {
			if err := s.Activate(); err != nil {
				t.Fatal(err)
			}
		}
		if !isReady(t, address) {
			t.Error("not ready after the drain")
		}
	}
}

// TestNoJobIsLostByADrain: clients that go on sending on their kept connections, while the node drains and serves again
// and again, get an answer to each request or a close with nothing of it begun, which they send once more.
func TestNoJobIsLostByADrain(t *testing.T) {
	s, address := startTestServer(t, NewConnectionBudget(1024), succeed)
	stop, ended := make(chan struct{}), make(chan int)
	for client := range uint64(8) {
		go func() {
			chance, again, c := rand.New(rand.NewPCG(client, 9)), 0, net.Conn(nil)
			defer func() { ended <- again }()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				fresh := c == nil
				if fresh {
					c = dialAndWrite(t, address, "")
				}
				writeInPieces(c, requestHead+"b", chance)
				text := make([]byte, 1<<10)
				n, err := c.Read(text)
				switch {
				case n > 0 && string(text[9:12]) == "200":
					if chance.IntN(3) == 0 || string(text[17:24]) == "Connect" { // told to close, or by itself
						c.Close()
						c = nil
					}
				case fresh:
					t.Errorf("a new connection: %q, %v", text[:n], err)
					return
				default:
					c.Close()
					c, again = nil, again+1
				}
			}
		}()
	}
	for range 60 {
		s.Drain()
		if isReady(t, address) {
			t.Error("ready")
		}
		s.Activate()
		if !isReady(t, address) {
			t.Error("not ready")
		}
	}
	close(stop)
	for range 8 {
		<-ended
	}
}

// TestCrossing: a request that is there when its connection is waked to be closed is served.
func TestCrossing(t *testing.T) {
	d := NewConnectionBudget(1024)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := dialAndWrite(t, l.Addr().String(), "")
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := d.acceptClient(far)
	d.mu.Lock()
	d.reclaim(&c.trackedConn)
	d.mu.Unlock()
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("%d bytes from a silent connection, %v", n, err)
	}
	io.WriteString(client, "POST")
	n, start := 0, time.Now()
	for n == 0 && time.Since(start) < 2*time.Second { // until the bytes have come
		n, err = c.Read(buffer)
	}
	if string(buffer[:n]) != "POST" || err != nil {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.reclaimed || d.reclaiming != 0 || !c.active {
		t.Error("a connection with a request on it is still to go")
	}
}

// TestPhases: what operators ask for out of turn gets a defined answer.
func TestPhases(t *testing.T) {
	shut := NewServer(NewConnectionBudget(64), nil, nil, func() bool { return true }, nil, zerolog.Nop())
	if shut.Ready() || !errors.Is(shut.Drain(), errNotListening) || !errors.Is(shut.Activate(), errNotListening) {
		t.Error("a server that does not listen")
	}
	s, address := startTestServer(t, NewConnectionBudget(64), succeed)
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

// TestResize: what is idle goes when the budget shrinks, and all may come back when it grows.
func TestResize(t *testing.T) {
	d := NewConnectionBudget(reservedDescriptors + 100)
	_, address := startTestServer(t, d, succeed)
	var kept []net.Conn
	for range 20 {
		c := dialAndWrite(t, address, requestHead+"b")
		readResponse(t, c)
		kept = append(kept, c)
	}
	d.Resize(reservedDescriptors + 10)
	for start, held := time.Now(), 20; held > 10 && time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		held = d.held[clientSide]
		d.mu.Unlock()
	}
	d.Resize(reservedDescriptors + 100)
	closed := 0
	for _, c := range kept {
		io.WriteString(c, requestHead+"b")
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			closed++
		} else if r.StatusCode != 200 {
			t.Error(r)
		}
	}
	if closed != 10 {
		t.Errorf("%d of 20 were closed", closed)
	}
}
