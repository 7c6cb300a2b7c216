// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// TestPendingConnectionsAreEvicted checks that connections with no request, part of a request or an oversized
// one evict each other and not connections with complete requests. A connection that lingers after an error
// response is pending as well.
func TestPendingConnectionsAreEvicted(t *testing.T) {
	budget := NewConnectionBudget(64)
	budget.evictionGrace = 0
	_, address := startServer(t, budget, succeed)
	established := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, established); got.StatusCode != 200 {
		t.Fatalf("first request: got status %d, want 200", got.StatusCode)
	}
	unfinished := []string{"", requestHead[:40], strings.Replace(requestHead, ": 1", ": 90000000", 1)}
	var silent []net.Conn
	for i := range 100 {
		silent = append(silent, dialAndWrite(t, address, unfinished[i%3]))
		awaitPendingRead(t, budget, silent[i])
	}
	if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 {
		t.Errorf("new client: got status %d, want 200", got.StatusCode)
	}
	io.WriteString(established, requestHead+"b")
	if got := readResponse(t, established); got.StatusCode != 200 {
		t.Errorf("established client: got status %d, want 200", got.StatusCode)
	}
	start := time.Now()
	for _, c := range silent[:100-2*budget.maxPending] {
		io.Copy(io.Discard, c) // until it is closed
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("the last silent connection was closed after %s, want at most 1 s", elapsed)
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.inUse[clientSide] > budget.maxPending+3 {
		t.Errorf("%d client permits are in use, want at most %d", budget.inUse[clientSide],
			budget.maxPending+3)
	}
}

// awaitPendingRead waits until the node has accepted a client and has read what its pending connections have sent.
// One with unread bytes is not evicted, so a process that is short of processor time would reclaim idle connections
// in its place.
func awaitPendingRead(t *testing.T, budget *ConnectionBudget, client net.Conn) {
	t.Helper()
	pendingRead := func() bool {
		budget.mu.Lock()
		defer budget.mu.Unlock()
		accepted := false
		for element := budget.pending.Front(); element != nil; element = element.Next() {
			c := element.Value.(*clientConn)
			accepted = accepted || c.RemoteAddr().String() == client.LocalAddr().String()
			if c.hasUnreadData() {
				return false
			}
		}
		return accepted
	}
	for start := time.Now(); !pendingRead(); time.Sleep(100 * time.Microsecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("the node does not accept a client and read its pending connections within 5 s")
		}
	}
}

// TestUnreadRequestsAreNotEvicted checks that a new connection evicts one that has sent nothing, and not one
// with an unread request in its socket, while permits are available. On an overloaded process the connections
// with unread requests are the oldest, and would be closed without a response.
func TestUnreadRequestsAreNotEvicted(t *testing.T) {
	budget := NewConnectionBudget(64)
	budget.evictionGrace = 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var all []*clientConn
	connect := func(text string) *clientConn {
		dialAndWrite(t, l.Addr().String(), text)
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted := budget.acceptClient(c)
		t.Cleanup(func() { accepted.Close() })
		all = append(all, accepted)
		waitUntil(t, "unread data", func() bool { return text == "" || accepted.hasUnreadData() })
		return accepted
	}
	for range budget.maxPending - 1 {
		connect(requestHead + "b")
	}
	silent := connect("")
	for range 4 {
		connect(requestHead + "b")
	}
	for i, c := range all {
		if c.closed != (c == silent) {
			t.Errorf("connection %d of %d: closed is %t, want %t", i, len(all), c.closed, c == silent)
		}
	}
}

// TestSimultaneousConnectionsAreServed checks that clients that connect at the same time, and more of them
// than the pending limit, are not evicted as silent within the eviction grace.
func TestSimultaneousConnectionsAreServed(t *testing.T) {
	budget := NewConnectionBudget(64)
	budget.evictionGrace = time.Minute
	_, address := startServer(t, budget, succeed)
	var all []net.Conn
	for range 2 * budget.maxPending {
		all = append(all, dialAndWrite(t, address, requestHead))
	}
	for _, c := range all {
		io.WriteString(c, "b")
		if got := readResponse(t, c); got.StatusCode != 200 {
			t.Errorf("client within the eviction grace: got status %d, want 200", got.StatusCode)
		}
	}
}

// TestReclaimServesRequestBeingRead checks that a connection whose next request is being read while idle
// connections are reclaimed serves that request.
func TestReclaimServesRequestBeingRead(t *testing.T) {
	budget := NewConnectionBudget(1024)
	_, address := startServer(t, budget, succeed)
	c := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, c); got.StatusCode != 200 {
		t.Fatalf("first request: got status %d, want 200", got.StatusCode)
	}
	half := len(requestHead) / 2
	io.WriteString(c, requestHead[:half])
	for read := 0; read == 0; time.Sleep(time.Millisecond) { // until its first bytes are read
		budget.mu.Lock()
		read = 1 - budget.idle[clientSide].Len()
		budget.mu.Unlock()
	}
	budget.disableIdle()
	io.WriteString(c, requestHead[half:]+"b")
	if got := readResponse(t, c); got.StatusCode != 200 {
		t.Errorf("request being read: got status %d, want 200", got.StatusCode)
	}
}

// TestIdleTimeoutDoesNotUndoReclaim checks that a later SetReadDeadline does not overwrite the deadline of a
// reclaim: http.Server sets its idle time-out only after it has reported a connection as idle.
func TestIdleTimeoutDoesNotUndoReclaim(t *testing.T) {
	budget := NewConnectionBudget(64)
	local, peer := net.Pipe()
	c := newClientConn(local, budget)
	budget.markIdle(&c.trackedConn, budget.markActive(&c.trackedConn))
	budget.disableIdle()
	start := time.Now()
	c.SetReadDeadline(start.Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) ||
		time.Since(start) > 2*time.Second {
		t.Fatalf("read: got error %v after %s, want %v within 2 s", err, time.Since(start),
			os.ErrDeadlineExceeded)
	}
	budget.markActive(&c.trackedConn) // as if the request's first byte had arrived before the reclaim
	go peer.Write([]byte("x"))
	if _, err := c.Read(make([]byte, 1)); err != nil || budget.reclaiming != 0 {
		t.Errorf("read: got error %v with %d connections reclaiming, want no error and 0", err,
			budget.reclaiming)
	}
}

// TestReclaimServesArrivedRequest checks that a request that is in the socket when the read of a reclaimed
// connection ends is read and served.
func TestReclaimServesArrivedRequest(t *testing.T) {
	budget := NewConnectionBudget(1024)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := dialAndWrite(t, l.Addr().String(), "")
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := budget.acceptClient(peer)
	budget.mu.Lock()
	budget.reclaim(&c.trackedConn)
	budget.mu.Unlock()
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("silent connection: read %d bytes, error %v, want 0 bytes and an error", n, err)
	}
	io.WriteString(client, "POST")
	n, start := 0, time.Now()
	for n == 0 && time.Since(start) < 2*time.Second { // until the bytes have arrived
		n, err = c.Read(buffer)
	}
	if string(buffer[:n]) != "POST" || err != nil {
		t.Errorf("reclaimed connection: read %q, error %v, want %q", buffer[:n], err, "POST")
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if c.reclaimed || budget.reclaiming != 0 || !c.active {
		t.Errorf("got reclaimed %t, %d reclaiming, active %t, want an active one that is not reclaimed",
			c.reclaimed, budget.reclaiming, c.active)
	}
}
