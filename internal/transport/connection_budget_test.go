// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestBudget: the longest idle connection gives way; without one the attempt is never sent.
func TestBudget(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	slow := startFakeServer(t, func(c net.Conn, _ int) bool {
		io.WriteString(c, chunkedHead+updateLine("started"))
		<-hold
		return false
	})
	quick := startFakeServer(t, respondWith(chunkedHead+updateLine("done")+chunkedEnd, true))
	budget, client := newTestClient()
	budget.maxInUse[serverSide] = 1
	if got := forward(t.Context(), client, quick.Addr().String()); got.outcome != dispatch.Succeeded {
		t.Fatalf("%+v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	out := make(chan forwardResult)
	go func() { out <- forward(ctx, client, slow.Addr().String()) }()
	<-quick.closed // gave way
	for {
		if _, requests := slow.counts(); requests == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got := forward(t.Context(), client, quick.Addr().String()); got.outcome != dispatch.NotSent {
		t.Errorf("%+v", got)
	}
	cancel()
	<-out
}

// TestUnusedConnectionIsEvicted: one whose request found another meanwhile was never used, and must not keep its place.
func TestUnusedConnectionIsEvicted(t *testing.T) {
	e := startFakeServer(t, respondWith(chunkedHead+updateLine("done")+chunkedEnd, true))
	budget, client := newTestClient()
	budget.maxInUse[serverSide] = 1
	if _, err := client.transport.DialContext(t.Context(), "tcp", e.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if got := forward(t.Context(), client, e.Addr().String()); got.outcome != dispatch.Succeeded {
		t.Errorf("%+v", got)
	}
}

// TestShortOfDescriptors: a connection beyond the budget is answered at once, not left unread.
func TestShortOfDescriptors(t *testing.T) {
	taken, hold := make(chan struct{}), make(chan struct{})
	budget := NewConnectionBudget(1024)
	budget.maxInUse[clientSide], budget.rejectReserve = 2, 1
	_, address := startServer(t, budget, func(context.Context, *protocol.Request) *protocol.Response {
		taken <- struct{}{}
		<-hold
		return &protocol.Response{Status: 200}
	})
	first := dialAndWrite(t, address, requestHead+"b")
	<-taken
	second := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, second); got.StatusCode != 503 || !got.Close {
		t.Errorf("%+v", got)
	}
	close(hold)
	if got := readResponse(t, first); got.StatusCode != 200 {
		t.Errorf("%+v", got)
	}
}

// TestIdleClientsAreReclaimed: a connection that rests is closed for a new one, which is served.
func TestIdleClientsAreReclaimed(t *testing.T) {
	budget := NewConnectionBudget(1024)
	budget.maxInUse[clientSide], budget.rejectReserve = 3, 2
	_, address := startServer(t, budget, succeed)
	for range 20 {
		c := dialAndWrite(t, address, requestHead+"b")
		if got := readResponse(t, c); got.StatusCode != 200 {
			t.Fatal(got)
		}
		// A connection that was told to close and has not yet holds its place; on a loaded machine the next client
		// could come before that, and would be rejected.
		for rests := false; !rests; time.Sleep(time.Millisecond) {
			budget.mu.Lock()
			rests = budget.idle[clientSide].Len() > 0 && budget.reclaiming == 0
			budget.mu.Unlock()
		}
	}
}

// TestResize: what is idle goes when the budget shrinks, and all may come back when it grows.
func TestResize(t *testing.T) {
	budget := NewConnectionBudget(reservedDescriptors + 100)
	_, address := startServer(t, budget, succeed)
	var kept []net.Conn
	for range 20 {
		c := dialAndWrite(t, address, requestHead+"b")
		readResponse(t, c)
		kept = append(kept, c)
	}
	budget.Resize(reservedDescriptors + 10)
	for start, held := time.Now(), 20; held > 10 && time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
		budget.mu.Lock()
		held = budget.inUse[clientSide]
		budget.mu.Unlock()
	}
	budget.Resize(reservedDescriptors + 100)
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
