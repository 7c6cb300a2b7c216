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

func TestServer(t *testing.T) {
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
			t.Errorf("%.40q: %d, want %d, close %t", text, got.StatusCode, want, got.Close)
		}
	}
}

// TestHalfARequest: one that is broken off is never served; one that never ends or begins is ended within 3 s.
func TestHalfARequest(t *testing.T) {
	d := NewConnectionBudget(1024)
	_, address := startServer(t, d, func(context.Context, *protocol.Request) *protocol.Response {
		t.Error("served")
		return nil
	})
	dialAndWrite(t, address, requestHead[:30]).Close()
	var parts sync.WaitGroup
	chunked := strings.Replace(requestHead, "Content-Length: 1", "Transfer-Encoding: chunked", 1)
	for _, part := range []string{"", requestHead[:3], requestHead[:30], requestHead, chunked} {
		c, start := dialAndWrite(t, address, part), time.Now()
		parts.Go(func() {
			if text, err := io.ReadAll(c); err != nil || time.Since(start) > 3*time.Second {
				t.Errorf("%q: %q %v after %s", part, text, err, time.Since(start))
			}
		})
	}
	parts.Wait()
}

// TestLibraryLogIsCut: a flood of bad clients must not become one of log lines.
func TestLibraryLogIsCut(t *testing.T) {
	var out strings.Builder
	s := NewServer(NewConnectionBudget(64), nil, nil, nil, nil, zerolog.New(&out))
	for range 1000 {
		s.http.ErrorLog.Print("bad")
	}
	if n := strings.Count(out.String(), "\n"); n == 0 || n > 100 {
		t.Errorf("%d lines", n)
	}
}

// TestIdleClientIsKept: the time to hand a request in does not run while a connection rests.
func TestIdleClientIsKept(t *testing.T) {
	d := NewConnectionBudget(1024)
	short := func(h *http.Server) { h.ReadTimeout = 20 * time.Millisecond }
	_, address := startServer(t, d, succeed, short)
	c := dialAndWrite(t, address, requestHead+"b")
	in := bufio.NewReader(c)
	if r, err := http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, r.Body)
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := in.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}

// TestClientLeaves: the wait for an answer ends when the client goes, and not when the time to hand in is over.
func TestClientLeaves(t *testing.T) {
	taken, left := make(chan struct{}), make(chan struct{})
	d := NewConnectionBudget(1024)
	_, address := startServer(t, d, func(ctx context.Context, _ *protocol.Request) *protocol.Response {
		select {
		case taken <- struct{}{}:
			<-ctx.Done()
			close(left)
		case <-time.After(150 * time.Millisecond):
			if ctx.Err() != nil {
				t.Error("seen as left")
			}
		}
		return &protocol.Response{Status: 200}
	}, func(h *http.Server) { h.ReadTimeout = 50 * time.Millisecond })
	if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 {
		t.Error(got)
	}
	c := dialAndWrite(t, address, requestHead+"b")
	<-taken
	c.Close()
	<-left
}
