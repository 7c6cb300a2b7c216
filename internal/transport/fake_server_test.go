// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// fakeServer is a server on loopback that reads each request and lets a script respond to it.
type fakeServer struct {
	net.Listener
	mu         sync.Mutex
	accepted   int
	requests   int
	requestIDs []string      // in the order of arrival
	closed     chan struct{} // one entry for each connection that the node closed
}

func (s *fakeServer) counts() (accepted, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.requests
}

// startFakeServer starts a server that calls a script to respond to the nth request. The server closes the
// connection if the script returns false.
func startFakeServer(t *testing.T, script func(c net.Conn, nth int) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeServer{Listener: listener, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			server.mu.Lock()
			server.accepted++
			server.mu.Unlock()
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err == nil {
						_, err = io.Copy(io.Discard, r.Body)
					}
					if err != nil {
						server.closed <- struct{}{}
						return
					}
					server.mu.Lock()
					server.requests++
					server.requestIDs = append(server.requestIDs, r.Header.Get("X-Call-Id"))
					n := server.requests
					server.mu.Unlock()
					if !script(c, n) {
						return
					}
				}
			}()
		}
	}()
	return server
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunkedEnd  = "0\r\n\r\n"
	// rejection is the response of a server without a free slot.
	rejection = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
)

// chunk returns one line as a chunk of a body.
func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// updateLine returns a chunk with a job update in the given state.
func updateLine(state string) string {
	return chunk(`{"id":"j","from":"s","state":"` + state + `","share":0.5,"result":"r"}`)
}

// respondWith returns a script that responds to every request with the same text, and then keeps the
// connection open or closes it.
func respondWith(text string, keepOpen bool) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool { io.WriteString(c, text); return keepOpen }
}

// forwardResult is the result of an attempt and the states of its updates.
type forwardResult struct {
	outcome dispatch.Outcome
	result  string
	states  []protocol.JobState
}

// forward sends one attempt to a server. It calls the onEnd functions when the result is reported.
func forward(ctx context.Context, client *ServerClient, address string, onEnd ...func()) (got forwardResult) {
	attempt := &protocol.Attempt{
		Address:  address,
		Deadline: time.Now().Add(time.Second),
		Request: &protocol.Request{
			ID:     "j",
			Target: "/p",
			Header: http.Header{"X-Call-Id": {"j"}, "Idempotency-Key": {"k"}},
			Body:   []byte("b"),
		},
	}
	endCount := 0
	client.Forward(ctx, attempt,
		func(update protocol.JobUpdate) { got.states = append(got.states, update.State) },
		func(attemptResult protocol.AttemptResult) {
			got.outcome, got.result, endCount = attemptResult.Outcome, attemptResult.Result, endCount+1
			for _, f := range onEnd {
				f()
			}
		})
	if endCount != 1 {
		panic(fmt.Sprintf("attempt reported %d results, want 1", endCount))
	}
	return got
}

// newTestClient returns a client whose budget is for 1024 file descriptors.
func newTestClient() (*ConnectionBudget, *ServerClient) {
	budget := NewConnectionBudget(1024)
	return budget, NewServerClient(budget, time.Second, time.Minute,
		protocol.LoadReportKeys{FreeSlots: "x0"}, func() {})
}
