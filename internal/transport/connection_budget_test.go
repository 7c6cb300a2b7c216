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

// TestIdleServerConnectionIsEvictedForAnother checks that an idle connection is closed if another server
// needs its permit, and that an attempt is not sent if no permit and no idle connection is available.
func TestIdleServerConnectionIsEvictedForAnother(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	slow := startFakeServer(t, func(c net.Conn, _ int) bool {
		io.WriteString(c, chunkedHead+updateLine("started"))
		<-release
		return false
	})
	quick := startFakeServer(t, respondWith(chunkedHead+updateLine("done")+chunkedEnd, true))
	budget, client := newTestClient()
	budget.maxInUse[serverSide] = 1
	if got := forward(t.Context(), client, quick.Addr().String()); got.outcome != dispatch.Succeeded {
		t.Fatalf("first attempt: got %+v, want outcome %v", got, dispatch.Succeeded)
	}
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan forwardResult)
	go func() { results <- forward(ctx, client, slow.Addr().String()) }()
	<-quick.closed // the idle connection was evicted
	for {
		if _, requests := slow.counts(); requests == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got := forward(t.Context(), client, quick.Addr().String()); got.outcome != dispatch.NotSent {
		t.Errorf("attempt without a permit: got %+v, want outcome %v", got, dispatch.NotSent)
	}
	cancel()
	<-results
}

// TestUnusedConnectionIsEvicted checks that a dialed connection that no request has used can be evicted. Such
// a connection results if its request is assigned another one during the dial; its permit must not be lost.
func TestUnusedConnectionIsEvicted(t *testing.T) {
	e := startFakeServer(t, respondWith(chunkedHead+updateLine("done")+chunkedEnd, true))
	budget, client := newTestClient()
	budget.maxInUse[serverSide] = 1
	if _, err := client.transport.DialContext(t.Context(), "tcp", e.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if got := forward(t.Context(), client, e.Addr().String()); got.outcome != dispatch.Succeeded {
		t.Errorf("attempt after an unused connection: got %+v, want outcome %v", got, dispatch.Succeeded)
	}
}

// TestConnectionAboveLimitIsRejected checks that a request on a client connection above the limit is rejected
// immediately and not left unread.
func TestConnectionAboveLimitIsRejected(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	budget := NewConnectionBudget(1024)
	budget.maxInUse[clientSide], budget.rejectReserve = 2, 1
	_, address := startServer(t, budget, func(context.Context, *protocol.Request) *protocol.Response {
		started <- struct{}{}
		<-release
		return &protocol.Response{Status: 200}
	})
	first := dialAndWrite(t, address, requestHead+"b")
	<-started
	second := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, second); got.StatusCode != 503 || !got.Close {
		t.Errorf("client above the limit: got status %d, close %t, want 503 and close", got.StatusCode,
			got.Close)
	}
	close(release)
	if got := readResponse(t, first); got.StatusCode != 200 {
		t.Errorf("client within the limit: got status %d, want 200", got.StatusCode)
	}
}

// TestIdleClientsAreReclaimed checks that an idle client connection is closed for a new one, which is served.
func TestIdleClientsAreReclaimed(t *testing.T) {
	budget := NewConnectionBudget(1024)
	budget.maxInUse[clientSide], budget.rejectReserve = 3, 2
	_, address := startServer(t, budget, succeed)
	for range 20 {
		c := dialAndWrite(t, address, requestHead+"b")
		if got := readResponse(t, c); got.StatusCode != 200 {
			t.Fatalf("client that needs a reclaimed permit: got status %d, want 200", got.StatusCode)
		}
		// A reclaimed connection uses its permit until it is closed. On a loaded machine the next client
		// could connect before that and would be rejected.
		for idle := false; !idle; time.Sleep(time.Millisecond) {
			budget.mu.Lock()
			idle = budget.idle[clientSide].Len() > 0 && budget.reclaiming == 0
			budget.mu.Unlock()
		}
	}
}

// TestResizeClosesExcessIdleConnections checks that idle client connections above a reduced budget are
// closed, and that the others are served after the budget has grown again.
func TestResizeClosesExcessIdleConnections(t *testing.T) {
	budget := NewConnectionBudget(reservedDescriptors + 100)
	_, address := startServer(t, budget, succeed)
	var connections []net.Conn
	for range 20 {
		c := dialAndWrite(t, address, requestHead+"b")
		readResponse(t, c)
		connections = append(connections, c)
	}
	budget.Resize(reservedDescriptors + 10)
	for start, inUse := time.Now(), 20; inUse > 10 &&
		time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
		budget.mu.Lock()
		inUse = budget.inUse[clientSide]
		budget.mu.Unlock()
	}
	budget.Resize(reservedDescriptors + 100)
	closed := 0
	for _, c := range connections {
		io.WriteString(c, requestHead+"b")
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			closed++
		} else if r.StatusCode != 200 {
			t.Errorf("connection that stayed open: got status %d, want 200", r.StatusCode)
		}
	}
	if closed != 10 {
		t.Errorf("%d of 20 connections were closed, want 10", closed)
	}
}
