// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// listSource gives one list after the other, and then none.
type listSource chan *protocol.EndpointList

func (l listSource) Poll(ctx context.Context, _ int64, _ bool) (*protocol.EndpointList, error) {
	select {
	case list := <-l:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeSignal says whether a request's context ends when its client closes.
type closeSignal int

const (
	closeSignaled    closeSignal = iota
	closeNotSignaled             // as at a node where word of the close waits behind other work
)

// testNode is a node on loopback with its router.
type testNode struct {
	address string
	budget  *ConnectionBudget
	client  *ServerClient
	lists   listSource
	gone    chan struct{} // one entry for each request whose client is known to have closed
}

// startNode starts a node to which servers at these addresses are listed.
func startNode(t *testing.T, hears closeSignal, addresses ...string) testNode {
	t.Helper()
	c := loadConfig(t, nodeSettings)
	budget, client := newTestClient()
	lists, gone := make(listSource), make(chan struct{}, 99)
	n := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             1,
		InitialEndpoints: endpointList(1, addresses...),
		Forwarder:        client,
		ProbeTimeout:     time.Second,
		EndpointSource:   lists,
		Log:              zerolog.Nop(),
	})
	follow, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go n.WatchEndpoints(follow)
	s, address := startServer(t, budget, func(ctx context.Context, q *protocol.Request) *protocol.Response {
		defer context.AfterFunc(ctx, func() { gone <- struct{}{} })() // no answer of the node's own ends it
		if hears == closeNotSignaled {
			ctx = context.WithoutCancel(ctx)
		}
		a := n.Serve(ctx, q)
		if a == nil || a.ClientClosed {
			gone <- struct{}{}
		}
		return a
	})
	s.names = c.Names
	return testNode{address: address, budget: budget, client: client, lists: lists, gone: gone}
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

// nextJobRequest is one of another client.
var nextJobRequest = strings.Replace(jobRequest, "Id: j", "Id: k", 1)

// doneResponse is the answer to who comes next, k.
var doneResponse = chunkedHead + strings.Replace(updateLine("done"), `"j"`, `"k"`, 1) + chunkedEnd

// clientCloses are the ways in which a client closes or cancels while its request waits.
var clientCloses = map[string]func(c *net.TCPConn){
	"closed":                        func(c *net.TCPConn) { c.Close() },
	"reset":                         func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"its sending shut":              func(c *net.TCPConn) { c.CloseWrite() },
	"closed behind a stray byte":    func(c *net.TCPConn) { io.WriteString(c, "\n"); c.Close() },
	"closed behind another request": func(c *net.TCPConn) { io.WriteString(c, jobRequest); c.Close() },
	"closed behind 20 more requests": func(c *net.TCPConn) {
		io.WriteString(c, strings.Repeat(jobRequest, 20))
		c.Close()
	},
	"reset behind a stray byte": func(c *net.TCPConn) { io.WriteString(c, "\n"); c.SetLinger(0); c.Close() },
	"closed behind more than is kept": func(c *net.TCPConn) {
		io.WriteString(c, strings.Repeat("x", 4*readAheadLimit))
		c.Close()
	},
}

// TestNothingIsSentForAClosedClient: a client closes, in any way, while its request waits for a server, for a
// connection or between two attempts. Not a byte of it is sent from then on, and its place is free again.
//
// net/http stops looking for the close at the first byte that comes behind a request.
func TestNothingIsSentForAClosedClient(t *testing.T) {
	for how, closing := range clientCloses {
		for _, state := range []string{"no server", "a connection comes up", "an attempt is out"} {
			t.Run(how+", "+state, func(t *testing.T) {
				arrived, hold := make(chan struct{}, 9), make(chan struct{})
				first := startFakeServer(t, func(c net.Conn, _ int) bool {
					arrived <- struct{}{}
					<-hold // rejected when its client has gone
					io.WriteString(c, rejection)
					return true
				})
				other := startFakeServer(t, respondWith(doneResponse, true))
				known := []string{first.Addr().String()}
				if state == "no server" {
					known = nil
				}
				node := startNode(t, closeSignaled, known...)
				address, budget, client, gone := node.address, node.budget, node.client, node.gone
				dialing, dial := make(chan struct{}, 9), make(chan struct{})
				client.SetDialGate(func(string) bool {
					if state == "a connection comes up" {
						dialing <- struct{}{}
						<-dial
					}
					return true
				})
				c := dialAndWrite(t, address, jobRequest).(*net.TCPConn)
				switch state {
				case "a connection comes up":
					waitFor(t, "a dial", dialing)
				case "an attempt is out":
					waitFor(t, "an attempt", arrived)
				default:
					waitUntil(t, "a request at work", func() bool {
						return lockedCount(budget, &budget.active) > pendingCount(budget)
					})
				}
				closing(c)
				waitFor(t, "that the client has gone", gone)
				close(dial)
				close(hold)
				for version := range int64(2) { // the second is asked for when the first has been taken
					node.lists <- endpointList(2+version, first.Addr().String(), other.Addr().String())
				}
				// Who comes next is served, which tells that all before has been decided on.
				next := dialAndWrite(t, address, nextJobRequest)
				if a := readResponse(t, next); a.StatusCode != http.StatusOK {
					t.Error(a.Status)
				}
				for _, e := range []*fakeServer{first, other} {
					e.mu.Lock()
					for _, id := range e.requestIDs {
						if id != "k" && (state != "an attempt is out" || e != first || e.requestIDs[0] != id) {
							t.Errorf("%s was sent on for who had gone", id)
						}
					}
					e.mu.Unlock()
				}
			})
		}
	}
}

// TestClientIsCheckedBeforeTheFirstByte: word of a close is held back for good; the look at the client's socket
// before an attempt's first byte holds the job back all the same, and ends it.
//
// Otherwise a busy node, at which that word waits behind other work, would start jobs for clients that left long ago.
func TestClientIsCheckedBeforeTheFirstByte(t *testing.T) {
	for how, closing := range clientCloses {
		t.Run(how, func(t *testing.T) {
			e := startFakeServer(t, respondWith(doneResponse, true))
			node := startNode(t, closeNotSignaled, e.Addr().String())
			address, client, gone := node.address, node.client, node.gone
			dialing, dial := make(chan struct{}, 9), make(chan struct{})
			client.SetDialGate(func(string) bool { dialing <- struct{}{}; <-dial; return true })
			c := dialAndWrite(t, address, jobRequest).(*net.TCPConn)
			waitFor(t, "a dial", dialing)
			closing(c)
			waitFor(t, "that the client has gone", gone)
			close(dial)
			if a := readResponse(t, dialAndWrite(t, address, nextJobRequest)); a.StatusCode != http.StatusOK {
				t.Error(a.Status)
			}
			if _, requests := e.counts(); requests != 1 {
				t.Errorf("%d requests came, of one client that was there", requests)
			}
		})
	}
}

// TestClosedBeforeItIsRead: a request and its client's close are in the socket before the node reads either.
func TestClosedBeforeItIsRead(t *testing.T) {
	e := startFakeServer(t, respondWith(doneResponse, true))
	node := startNode(t, closeNotSignaled, e.Addr().String())
	address, gone := node.address, node.gone
	for range 50 {
		dialAndWrite(t, address, jobRequest).Close()
	}
	if a := readResponse(t, dialAndWrite(t, address, nextJobRequest)); a.StatusCode != http.StatusOK {
		t.Error(a.Status)
	}
	select {
	case <-gone:
	default:
	}
}

// TestHalfClosedClientGetsNoResult: a client that closes its sending side counts as gone, and no attempt begins
// for it. It may still read: it gets one final refusal, and then the end.
//
// A request that was read and ends without a response is lost, and a handler that returns without one has sent
// status 200, as a result that no server made.
func TestHalfClosedClientGetsNoResult(t *testing.T) {
	for state, known := range map[string][]string{"waits": nil, "is read after that": {"127.0.0.1:9"}} {
		node := startNode(t, closeSignaled, known...)
		address, gone := node.address, node.gone
		c := dialAndWrite(t, address, "").(*net.TCPConn)
		io.WriteString(c, jobRequest)
		c.CloseWrite()
		waitFor(t, "that the client has gone", gone)
		text, err := io.ReadAll(c)
		responses := strings.Count(string(text), "HTTP/1.1")
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") || responses != 1 {
			t.Errorf("%s: %q, %v", state, text, err)
		}
	}
}
