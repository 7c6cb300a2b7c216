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

// TestDrainClosesConnectionsAndActivateReverts checks that during a drain the node is not ready, late clients
// are still served, and every connection closes: idle ones immediately, busy ones with their response, and
// silent ones after a short time. After Activate the node serves as before.
func TestDrainClosesConnectionsAndActivateReverts(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	budget := NewConnectionBudget(1024)
	s, address := startServer(t, budget, func(_ context.Context, r *protocol.Request) *protocol.Response {
		if string(r.Body) == "l" {
			started <- struct{}{}
			<-release
		}
		return &protocol.Response{Status: 200, Body: "r"}
	})
	for round := range 5 {
		var idle []net.Conn
		for range 10 {
			c := dialAndWrite(t, address, requestHead+"b")
			if got := readResponse(t, c); got.StatusCode != 200 || got.Close {
				t.Fatalf("round %d: got status %d, close %t, want 200 without close", round, got.StatusCode,
					got.Close)
			}
			idle = append(idle, c)
		}
		silent := dialAndWrite(t, address, "")
		half := dialAndWrite(t, address, requestHead[:30])
		busy := dialAndWrite(t, address, requestHead+"l")
		<-started
		if !isReady(t, address) {
			t.Fatal("node is not ready before the drain")
		}
		start := time.Now()
		for range 2 {
			if err := s.Drain(); err != nil {
				t.Fatal(err)
			}
		}
		if isReady(t, address) {
			t.Error("node is ready during the drain")
		}
		if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 ||
			!got.Close {
			t.Errorf("late client: got status %d, close %t, want 200 and close", got.StatusCode, got.Close)
		}
		for _, c := range idle {
			expectClose(t, "idle connection", c, time.Second)
		}
		expectClose(t, "silent connection", silent, 1500*time.Millisecond)
		io.WriteString(half, requestHead[30:]+"b")
		if got := readResponse(t, half); got.StatusCode != 200 || !got.Close {
			t.Errorf("slow client: got status %d, close %t, want 200 and close", got.StatusCode, got.Close)
		}
		if elapsed := time.Since(start); elapsed > 2*time.Second {
			t.Errorf("connections were closed after %s, want at most 2 s", elapsed)
		}
		release <- struct{}{}
		if got := readResponse(t, busy); got.StatusCode != 200 || !got.Close {
			t.Errorf("long request: got status %d, close %t, want 200 and close", got.StatusCode, got.Close)
		}
		for range 2 {
			if err := s.Activate(); err != nil {
				t.Fatal(err)
			}
		}
		if !isReady(t, address) {
			t.Error("node is not ready after Activate")
		}
	}
}

// TestDrainLosesNoRequest checks that clients that keep sending on their connections while the node
// repeatedly drains and activates receive a response to each request, or a close without any part of a
// response. After a close they send the request again on a new connection, where it must succeed.
func TestDrainLosesNoRequest(t *testing.T) {
	s, address := startServer(t, NewConnectionBudget(1024), succeed)
	stop, ended := make(chan struct{}), make(chan int)
	for client := range uint64(8) {
		go func() {
			random, retries, c := rand.New(rand.NewPCG(client, 9)), 0, net.Conn(nil)
			defer func() { ended <- retries }()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				isNew := c == nil
				if isNew {
					c = dialAndWrite(t, address, "")
				}
				writeInPieces(c, requestHead+"b", random)
				text := make([]byte, 1<<10)
				n, err := c.Read(text)
				switch {
				case n > 0 && string(text[9:12]) == "200":
					if random.IntN(3) == 0 || string(text[17:24]) == "Connect" {
						// The client closes by choice, or as the response requires.
						c.Close()
						c = nil
					}
				case isNew:
					t.Errorf("new connection: got %q, error %v, want status 200", text[:n], err)
					return
				default:
					c.Close()
					c, retries = nil, retries+1
				}
			}
		}()
	}
	for range 60 {
		s.Drain()
		if isReady(t, address) {
			t.Error("node is ready during a drain")
		}
		s.Activate()
		if !isReady(t, address) {
			t.Error("node is not ready after Activate")
		}
	}
	close(stop)
	for range 8 {
		<-ended
	}
}
