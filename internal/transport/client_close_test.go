// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// listSource is an endpoint source that returns the lists sent on the channel.
type listSource chan *protocol.EndpointList

func (l listSource) Poll(ctx context.Context, _ int64, _ bool) (*protocol.EndpointList, error) {
	select {
	case list := <-l:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeSignal selects whether a request's context ends when its client closes.
type closeSignal int

const (
	closeSignaled    closeSignal = iota
	closeNotSignaled             // as on a node that is too busy to process the close
)

// testNode is a node on loopback with its router.
type testNode struct {
	address      string
	budget       *ConnectionBudget
	client       *ServerClient
	lists        listSource
	disconnected chan struct{} // one entry for each request whose client was detected as closed
}

// startNode starts a node whose endpoint list has servers at the given addresses.
func startNode(t *testing.T, signal closeSignal, addresses ...string) testNode {
	t.Helper()
	c := loadConfig(t, nodeSettings)
	budget, client := newTestClient()
	lists, disconnected := make(listSource), make(chan struct{}, 99)
	n := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             1,
		InitialEndpoints: endpointList(1, addresses...),
		Forwarder:        client,
		ProbeTimeout:     time.Second,
		EndpointSource:   lists,
		Log:              zerolog.Nop(),
	})
	watchCtx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go n.WatchEndpoints(watchCtx)
	s, address := startServer(t, budget, func(ctx context.Context, r *protocol.Request) *protocol.Response {
		defer context.AfterFunc(ctx, func() { disconnected <- struct{}{} })() // not called after a response
		if signal == closeNotSignaled {
			ctx = context.WithoutCancel(ctx)
		}
		a := n.Serve(ctx, r)
		if a == nil || a.ClientClosed {
			disconnected <- struct{}{}
		}
		return a
	})
	s.names = c.Names
	return testNode{address: address, budget: budget, client: client, lists: lists,
		disconnected: disconnected}
}

// endpointList lists servers as ready, each with its address as its ID.
func endpointList(version int64, addresses ...string) *protocol.EndpointList {
	l := &protocol.EndpointList{Version: version, Complete: true}
	for _, a := range addresses {
		l.Endpoints = append(l.Endpoints, protocol.Endpoint{ID: a, Address: a, State: dispatch.Up})
	}
	return l
}

const jobRequest = "POST /a HTTP/1.1\r\nHost: h\r\n" +
	"X-Call-Id: j\r\nX-Call-Class: a\r\nX-Budget-Ms: 60000\r\nContent-Length: 1\r\n\r\nb"

// nextJobRequest is the request k of another client.
var nextJobRequest = strings.Replace(jobRequest, "Id: j", "Id: k", 1)

// doneResponse is the response to nextJobRequest.
var doneResponse = chunkedHead + strings.Replace(updateLine("done"), `"j"`, `"k"`, 1) + chunkedEnd

// clientCloses are the ways in which a client can close its connection while its request is in flight.
var clientCloses = map[string]func(c *net.TCPConn){
	"closed":                       func(c *net.TCPConn) { c.Close() },
	"reset":                        func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half-closed":                  func(c *net.TCPConn) { c.CloseWrite() },
	"closed after an extra byte":   func(c *net.TCPConn) { io.WriteString(c, "\n"); c.Close() },
	"closed after another request": func(c *net.TCPConn) { io.WriteString(c, jobRequest); c.Close() },
	"closed after 20 more requests": func(c *net.TCPConn) {
		io.WriteString(c, strings.Repeat(jobRequest, 20))
		c.Close()
	},
	"reset after an extra byte": func(c *net.TCPConn) { io.WriteString(c, "\n"); c.SetLinger(0); c.Close() },
	"closed after more than readAheadLimit": func(c *net.TCPConn) {
		io.WriteString(c, strings.Repeat("x", 4*readAheadLimit))
		c.Close()
	},
}

// TestNoAttemptAfterClientClose checks that nothing of a request is sent to a server after its client has
// closed, in any way, while the request waits for a server, for a connection or for the end of an attempt.
//
// net/http stops detecting a close at the first byte behind a request.
func TestNoAttemptAfterClientClose(t *testing.T) {
	for name, closeClient := range clientCloses {
		for _, state := range []string{"no server", "dial in progress", "attempt in flight"} {
			t.Run(name+", "+state, func(t *testing.T) {
				attempted, release := make(chan struct{}, 9), make(chan struct{})
				first := startFakeServer(t, func(c net.Conn, _ int) bool {
					attempted <- struct{}{}
					<-release // rejects the attempt only after its client has closed
					io.WriteString(c, rejection)
					return true
				})
				other := startFakeServer(t, respondWith(doneResponse, true))
				known := []string{first.Addr().String()}
				if state == "no server" {
					known = nil
				}
				node := startNode(t, closeSignaled, known...)
				address, budget, client, disconnected :=
					node.address, node.budget, node.client, node.disconnected
				dialing, dial := make(chan struct{}, 9), make(chan struct{})
				client.SetDialGate(func(string) bool {
					if state == "dial in progress" {
						dialing <- struct{}{}
						<-dial
					}
					return true
				})
				c := dialAndWrite(t, address, jobRequest).(*net.TCPConn)
				switch state {
				case "dial in progress":
					waitFor(t, "dial to a server", dialing)
				case "attempt in flight":
					waitFor(t, "attempt at the first server", attempted)
				default:
					waitUntil(t, "request in progress", func() bool {
						return lockedCount(budget, &budget.active) > pendingCount(budget)
					})
				}
				closeClient(c)
				waitFor(t, "detection of the client's close", disconnected)
				close(dial)
				close(release)
				for version := range int64(2) { // the second is polled for after the first was applied
					node.lists <- endpointList(2+version, first.Addr().String(), other.Addr().String())
				}
				// A response to the next client proves that all earlier requests were decided.
				next := dialAndWrite(t, address, nextJobRequest)
				if a := readResponse(t, next); a.StatusCode != http.StatusOK {
					t.Errorf("next client: got status %q, want 200", a.Status)
				}
				for _, e := range []*fakeServer{first, other} {
					e.mu.Lock()
					for _, id := range e.requestIDs {
						if id != "k" && (state != "attempt in flight" || e != first ||
							e.requestIDs[0] != id) {
							t.Errorf("request %q was sent to a server after its client had closed", id)
						}
					}
					e.mu.Unlock()
				}
			})
		}
	}
}

// TestClientCloseIsCheckedBeforeFirstByte checks that an attempt is not sent if its client has closed, even
// if the close never ends the request's context: the node reads the client's socket before the attempt's
// first byte.
//
// Otherwise a busy node, which processes closes late, would start jobs for clients that have long
// disconnected.
func TestClientCloseIsCheckedBeforeFirstByte(t *testing.T) {
	for name, closeClient := range clientCloses {
		t.Run(name, func(t *testing.T) {
			e := startFakeServer(t, respondWith(doneResponse, true))
			node := startNode(t, closeNotSignaled, e.Addr().String())
			address, client, disconnected := node.address, node.client, node.disconnected
			dialing, dial := make(chan struct{}, 9), make(chan struct{})
			client.SetDialGate(func(string) bool { dialing <- struct{}{}; <-dial; return true })
			c := dialAndWrite(t, address, jobRequest).(*net.TCPConn)
			waitFor(t, "dial to a server", dialing)
			closeClient(c)
			waitFor(t, "detection of the client's close", disconnected)
			close(dial)
			if a := readResponse(t, dialAndWrite(t, address, nextJobRequest)); a.StatusCode != http.StatusOK {
				t.Errorf("next client: got status %q, want 200", a.Status)
			}
			if _, requests := e.counts(); requests != 1 {
				t.Errorf("server received %d requests, want 1, of the client that stayed connected", requests)
			}
		})
	}
}

// TestClientCloseBeforeRequestIsRead checks that the node still serves the next client after it received
// requests together with the close of their client, before it has read either.
func TestClientCloseBeforeRequestIsRead(t *testing.T) {
	e := startFakeServer(t, respondWith(doneResponse, true))
	node := startNode(t, closeNotSignaled, e.Addr().String())
	address, disconnected := node.address, node.disconnected
	for range 50 {
		dialAndWrite(t, address, jobRequest).Close()
	}
	if a := readResponse(t, dialAndWrite(t, address, nextJobRequest)); a.StatusCode != http.StatusOK {
		t.Errorf("next client: got status %q, want 200", a.Status)
	}
	select {
	case <-disconnected:
	default:
	}
}

// writeAndCloseAtOnce sends a text and the end of the client's data in one segment, so that the node cannot see the
// text without the end.
func writeAndCloseAtOnce(t *testing.T, c *net.TCPConn, text string) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var corkErr error
	err = raw.Control(func(fd uintptr) {
		corkErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
	})
	if err := errors.Join(err, corkErr); err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, text)
	c.CloseWrite()
}

// TestHalfClosedClientIsRejected checks that a client that closes its sending direction counts as
// disconnected: no attempt is sent for it. It may still read, so it receives one final rejection and then the
// end of the connection.
//
// Without a response the request would be lost. If the handler returned without one, net/http would send
// status 200, as a result that no server produced.
func TestHalfClosedClientIsRejected(t *testing.T) {
	for state, known := range map[string][]string{"close while waiting": nil,
		"close before selection": {"127.0.0.1:9"}} {
		node := startNode(t, closeSignaled, known...)
		address, disconnected := node.address, node.disconnected
		c := dialAndWrite(t, address, "").(*net.TCPConn)
		writeAndCloseAtOnce(t, c, jobRequest)
		waitFor(t, "detection of the client's close", disconnected)
		text, err := io.ReadAll(c)
		responses := strings.Count(string(text), "HTTP/1.1")
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") || responses != 1 {
			t.Errorf("%s: got %q, error %v, want one response with status 503", state, text, err)
		}
	}
}
