// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/protocol"
)

// TestResponseStatusAndClose checks the status of valid and invalid requests, and that the connection stays
// open only after a valid one.
func TestResponseStatusAndClose(t *testing.T) {
	_, address := startServer(t, NewConnectionBudget(1024), succeed)
	for text, want := range map[string]int{
		requestHead + "b":                                             200,
		"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n":                    200,
		strings.Replace(requestHead, "pay", "odd", 1) + "b":           404,
		strings.Replace(requestHead, "POST", "PUT", 1) + "b":          405,
		strings.Replace(requestHead, "Host: h", "Host h", 1) + "b":    400,
		strings.Replace(requestHead, "Length: 1", "Length: 70000", 1): 413,
	} {
		got := readResponse(t, dialAndWrite(t, address, text))
		if got.StatusCode != want || got.Close != (text != requestHead+"b") {
			t.Errorf("%.40q: got status %d, close %t, want status %d, close %t",
				text, got.StatusCode, got.Close, want, text != requestHead+"b")
		}
	}
}

// TestIncompleteRequests checks that a truncated request is never served, and that a connection whose request
// does not start or end is closed within 3 s.
func TestIncompleteRequests(t *testing.T) {
	budget := NewConnectionBudget(1024)
	_, address := startServer(t, budget, func(context.Context, *protocol.Request) *protocol.Response {
		t.Error("an incomplete request was served")
		return nil
	})
	dialAndWrite(t, address, requestHead[:30]).Close()
	var parts sync.WaitGroup
	chunked := strings.Replace(requestHead, "Content-Length: 1", "Transfer-Encoding: chunked", 1)
	for _, part := range []string{"", requestHead[:3], requestHead[:30], requestHead, chunked} {
		c, start := dialAndWrite(t, address, part), time.Now()
		parts.Go(func() {
			if text, err := io.ReadAll(c); err != nil || time.Since(start) > 3*time.Second {
				t.Errorf("%q: got %q, error %v after %s, want EOF within 3 s", part, text, err,
					time.Since(start))
			}
		})
	}
	parts.Wait()
}

// TestLibraryLogIsRateLimited checks that many faulty clients do not flood the log.
func TestLibraryLogIsRateLimited(t *testing.T) {
	var output strings.Builder
	s := NewServer(NewConnectionBudget(64), nil, nil, nil, nil, zerolog.New(&output))
	for range 1000 {
		s.http.ErrorLog.Print("bad")
	}
	if n := strings.Count(output.String(), "\n"); n == 0 || n > 100 {
		t.Errorf("got %d log lines of 1000, want 1 to 100", n)
	}
}

// TestIdleConnectionStaysOpen checks that the request read time-out does not run while a connection is idle.
func TestIdleConnectionStaysOpen(t *testing.T) {
	budget := NewConnectionBudget(1024)
	shorten := func(h *http.Server) { h.ReadTimeout = 20 * time.Millisecond }
	_, address := startServer(t, budget, succeed, shorten)
	c := dialAndWrite(t, address, requestHead+"b")
	reader := bufio.NewReader(c)
	if r, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, r.Body)
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("idle connection: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// TestClientCloseCancelsRequest checks that a request's context ends when the client closes, and not when the
// read time-out passes.
func TestClientCloseCancelsRequest(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	budget := NewConnectionBudget(1024)
	_, address := startServer(t, budget, func(ctx context.Context, _ *protocol.Request) *protocol.Response {
		select {
		case started <- struct{}{}:
			<-ctx.Done()
			close(canceled)
		case <-time.After(150 * time.Millisecond):
			if ctx.Err() != nil {
				t.Errorf("request context ended without a close: %v", ctx.Err())
			}
		}
		return &protocol.Response{Status: 200}
	}, func(h *http.Server) { h.ReadTimeout = 50 * time.Millisecond })
	if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 {
		t.Errorf("client that stayed connected: got status %d, want 200", got.StatusCode)
	}
	c := dialAndWrite(t, address, requestHead+"b")
	<-started
	c.Close()
	<-canceled
}
