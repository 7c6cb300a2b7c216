// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"fernrail/internal/protocol"
)

// TestDrain: clients are told not to come, those that come all the same are served, and every connection ends by
// itself: kept ones at once, busy ones with their answer, and those that never say a word soon. Then all is as
// before.
func TestDrain(t *testing.T) {
	taken, hold := make(chan struct{}), make(chan struct{})
	d := NewConnectionBudget(1024)
	s, address := startServer(t, d, func(_ context.Context, q *protocol.Request) *protocol.Response {
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
		silent := dialAndWrite(t, address, "")
		half := dialAndWrite(t, address, requestHead[:30])
		busy := dialAndWrite(t, address, requestHead+"l")
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
	s, address := startServer(t, NewConnectionBudget(1024), succeed)
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
