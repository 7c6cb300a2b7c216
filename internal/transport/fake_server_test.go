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

// fakeServer is a server on loopback: it reads each request that comes and lets a script answer it.
type fakeServer struct {
	net.Listener
	mu         sync.Mutex
	accepted   int
	requests   int
	requestIDs []string      // of the requests
	closed     chan struct{} // one entry for each connection that the node closed
}

func (e *fakeServer) counts() (accepted, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted, e.requests
}

// startFakeServer starts a server that answers the nth request by a script. One that returns false ends the connection.
func startFakeServer(t *testing.T, script func(c net.Conn, nth int) bool) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeServer{Listener: l, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.accepted++
			e.mu.Unlock()
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err == nil {
						_, err = io.Copy(io.Discard, r.Body)
					}
					if err != nil {
						e.closed <- struct{}{}
						return
					}
					e.mu.Lock()
					e.requests++
					e.requestIDs = append(e.requestIDs, r.Header.Get("X-Call-Id"))
					n := e.requests
					e.mu.Unlock()
					if !script(c, n) {
						return
					}
				}
			}()
		}
	}()
	return e
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunkedEnd  = "0\r\n\r\n"
	// rejection is the response of a server that has no room.
	rejection = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
)

// chunk is one line as a chunk of a body.
func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// updateLine is a line of a response that tells of a job in a state.
func updateLine(state string) string {
	return chunk(`{"id":"j","from":"s","state":"` + state + `","share":0.5,"result":"r"}`)
}

// respondWith answers every request with the same text, and keeps the connection or ends it.
func respondWith(text string, keep bool) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool { io.WriteString(c, text); return keep }
}

// forwardResult is how an attempt ended, and the updates before.
type forwardResult struct {
	outcome dispatch.Outcome
	result  string
	states  []protocol.JobState
}

// forward sends one attempt to a server. then is called with its end.
func forward(ctx context.Context, x *ServerClient, address string, then ...func()) (e forwardResult) {
	job := &protocol.Attempt{
		Address:  address,
		Deadline: time.Now().Add(time.Second),
		Request: &protocol.Request{
			ID:     "j",
			Target: "/p",
			Header: http.Header{"X-Call-Id": {"j"}, "Idempotency-Key": {"k"}},
			Body:   []byte("b"),
		},
	}
	ends := 0
	x.Forward(ctx, job, func(l protocol.JobUpdate) { e.states = append(e.states, l.State) },
		func(end protocol.AttemptResult) {
			e.outcome, e.result, ends = end.Outcome, end.Result, ends+1
			for _, f := range then {
				f()
			}
		})
	if ends != 1 {
		panic("an attempt has exactly one end")
	}
	return e
}

// newTestClient returns a client that may open a thousand connections.
func newTestClient() (*ConnectionBudget, *ServerClient) {
	d := NewConnectionBudget(1024)
	return d, NewServerClient(d, time.Second, time.Minute, protocol.LoadReportKeys{FreeSlots: "x0"}, func() {})
}
