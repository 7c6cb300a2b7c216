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

// startTestServer is the clients' side on a loopback address.
func startServer(t *testing.T, d *ConnectionBudget, serve ServeFunc, adjust ...func(*http.Server)) (*Server, string) {
	t.Helper()
	names := &protocol.Names{Classes: []string{"pay"}}
	s := NewServer(d, names, serve, func() bool { return true }, metrics.New(names.Classes), zerolog.Nop())
	for _, a := range adjust {
		a(s.http)
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

// succeed serves a request with a result.
func succeed(context.Context, *protocol.Request) *protocol.Response {
	return &protocol.Response{Status: 200, Body: "r"}
}

// isReady asks a node whether clients may come.
func isReady(t *testing.T, address string) bool {
	t.Helper()
	response := readResponse(t, dialAndWrite(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
	return response.StatusCode == http.StatusOK
}

// expectClose fails the test unless the connection is closed within a time, with nothing sent on it.
func expectClose(t *testing.T, what string, c net.Conn, within time.Duration) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(within))
	if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
		t.Errorf("%s: %q, %v", what, text, err)
	}
}

// waitFor fails the test where something does not come.
func waitFor(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("not seen: ", what)
	}
}

// waitUntil waits for what another goroutine does.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for start := time.Now(); !is(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("not seen: ", what)
		}
	}
}

func lockedCount(d *ConnectionBudget, figure *int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *figure
}

func pendingCount(d *ConnectionBudget) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending.Len()
}
