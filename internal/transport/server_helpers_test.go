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

	"github.com/rs/zerolog"

	"fernrail/internal/metrics"
	"fernrail/internal/protocol"
)

// startServer starts a Server on a loopback address and returns it with its address.
func startServer(t *testing.T, budget *ConnectionBudget, serve ServeFunc,
	configure ...func(*http.Server)) (*Server, string) {
	t.Helper()
	names := &protocol.Names{Classes: []string{"pay"}}
	s := NewServer(budget, names, serve, func() bool { return true },
		metrics.New(names.Classes), zerolog.Nop())
	for _, apply := range configure {
		apply(s.http)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Start(l)
	t.Cleanup(func() { s.http.Close() })
	return s, s.listener.Addr().String()
}

// requestHead is the head of a request whose body has one byte.
const requestHead = "POST /pay HTTP/1.1\r\nHost: h\r\n" +
	"X-Call-Id: j\r\nX-Call-Class: pay\r\nX-Budget-Ms: 900\r\nContent-Length: 1\r\n\r\n"

// dialAndWrite opens a connection and writes to it.
func dialAndWrite(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	return c
}

// readResponse reads the head of a response.
func readResponse(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// succeed responds to any request with status 200 and a result.
func succeed(context.Context, *protocol.Request) *protocol.Response {
	return &protocol.Response{Status: 200, Body: "r"}
}

// isReady makes a readiness check and reports whether the node is ready.
func isReady(t *testing.T, address string) bool {
	t.Helper()
	response := readResponse(t, dialAndWrite(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
	return response.StatusCode == http.StatusOK
}

// expectClose fails the test unless the connection is closed within a time-out, with nothing sent on it.
func expectClose(t *testing.T, what string, c net.Conn, timeout time.Duration) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(timeout))
	if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
		t.Errorf("%s: got %q, error %v, want a close without data within %s", what, text, err, timeout)
	}
}

// waitFor fails the test if the channel receives nothing within 5 s.
func waitFor(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatalf("%s: not seen within 5 s", what)
	}
}

// waitUntil fails the test if a condition that another goroutine establishes does not become true within 5 s.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%s: not seen within 5 s", what)
		}
	}
}

// lockedCount reads one of the budget's counts under its lock.
func lockedCount(budget *ConnectionBudget, value *int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return *value
}

func pendingCount(budget *ConnectionBudget) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.pending.Len()
}
