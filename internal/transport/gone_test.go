// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// lister gives one list after the other, and then none.
type lister chan *protocol.EndpointList

func (l lister) Poll(ctx context.Context, _ int64, _ bool) (*protocol.EndpointList, error) {
	select {
	case list := <-l:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// whole is a node on loopback with its module, and executors that are listed at these addresses.
func whole(t *testing.T, deaf bool, addresses ...string) (address string, d *ConnectionBudget, x *ServerClient, news lister, gone chan struct{}) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": path}[key] })
	if err != nil {
		t.Fatal(err)
	}
	d, x = fresh()
	news, gone = make(lister), make(chan struct{}, 99)
	n := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             1,
		InitialEndpoints: listing(1, addresses...),
		Forwarder:        x,
		ProbeTimeout:     time.Second,
		EndpointSource:   news,
		Log:              zerolog.Nop(),
	})
	follow, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go n.WatchEndpoints(follow)
	s, address := node(t, d, func(ctx context.Context, q *protocol.Request) *protocol.Response {
		defer context.AfterFunc(ctx, func() { gone <- struct{}{} })() // no answer of the node's own ends it
		if deaf {                                                     // word of the close never comes, as if it waited behind work
			ctx = context.WithoutCancel(ctx)
		}
		a := n.Serve(ctx, q)
		if a == nil || a.ClientClosed {
			gone <- struct{}{}
		}
		return a
	})
	s.names = c.Names
	return address, d, x, news, gone
}

func listing(version int64, addresses ...string) *protocol.EndpointList {
	l := &protocol.EndpointList{Version: version, Complete: true}
	for _, a := range addresses {
		l.Endpoints = append(l.Endpoints, protocol.Endpoint{ID: a, Address: a, State: dispatch.Up})
	}
	return l
}

const job = "POST /a HTTP/1.1\r\nHost: h\r\nX-Call-Id: j\r\nX-Call-Class: a\r\nX-Budget-Ms: 60000\r\nContent-Length: 1\r\n\r\nb"

// done is the answer to who comes next, k.
var done = head + strings.Replace(line("done"), `"j"`, `"k"`, 1) + end

// closes are the ways in which a client closes or cancels while its request waits.
var closes = map[string]func(c *net.TCPConn){
	"closed":                          func(c *net.TCPConn) { c.Close() },
	"reset":                           func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"its sending shut":                func(c *net.TCPConn) { c.CloseWrite() },
	"closed behind a stray byte":      func(c *net.TCPConn) { io.WriteString(c, "\n"); c.Close() },
	"closed behind another request":   func(c *net.TCPConn) { io.WriteString(c, job); c.Close() },
	"closed behind 20 more requests":  func(c *net.TCPConn) { io.WriteString(c, strings.Repeat(job, 20)); c.Close() },
	"reset behind a stray byte":       func(c *net.TCPConn) { io.WriteString(c, "\n"); c.SetLinger(0); c.Close() },
	"closed behind more than is kept": func(c *net.TCPConn) { io.WriteString(c, strings.Repeat("x", 4*readAheadLimit)); c.Close() },
}

// within fails the test where something does not come.
func within(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("not seen: ", what)
	}
}

// TestNothingBeginsForWhoHasGone: a client closes, in any way, while its request waits for an executor, for a connection or between
// two attempts. Not a byte of it is sent from then on, and its place is free again.
// Danger: net/http stops to look for the close at the first byte that comes behind a request.
func TestNothingBeginsForWhoHasGone(t *testing.T) {
	for how, closing := range closes {
		for _, state := range []string{"no executor", "a connection comes up", "an attempt is out"} {
			t.Run(how+", "+state, func(t *testing.T) {
				arrived, hold := make(chan struct{}, 9), make(chan struct{})
				first := play(t, func(c net.Conn, _ int) bool {
					arrived <- struct{}{}
					<-hold // turned away when its client has gone
					io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
					return true
				})
				other := play(t, says(done, true))
				known := []string{first.Addr().String()}
				if state == "no executor" {
					known = nil
				}
				address, d, x, news, gone := whole(t, false, known...)
				dialing, dial := make(chan struct{}, 9), make(chan struct{})
				x.SetDialGate(func(string) bool {
					if state == "a connection comes up" {
						dialing <- struct{}{}
						<-dial
					}
					return true
				})
				c := call(t, address, job).(*net.TCPConn)
				switch state {
				case "a connection comes up":
					within(t, "a dial", dialing)
				case "an attempt is out":
					within(t, "an attempt", arrived)
				default:
					until(t, "a request at work", func() bool { return count(d, &d.active) > strangers(d) })
				}
				closing(c)
				within(t, "that the client has gone", gone)
				close(dial)
				close(hold)
				for version := range int64(2) { // the second is asked for when the first has been taken
					news <- listing(2+version, first.Addr().String(), other.Addr().String())
				}
				// Who comes next is served, which tells that all before has been decided on.
				next := call(t, address, strings.Replace(job, "Id: j", "Id: k", 1))
				if a := answer(t, next); a.StatusCode != http.StatusOK {
					t.Error(a.Status)
				}
				for _, e := range []*executor{first, other} {
					e.mu.Lock()
					for _, id := range e.ids {
						if id != "k" && (state != "an attempt is out" || e != first || e.ids[0] != id) {
							t.Errorf("%s was sent on for who had gone", id)
						}
					}
					e.mu.Unlock()
				}
			})
		}
	}
}

// TestTheLastLookIsAtTheClient: word of a close is held back for good; the look at the client's socket before a posting's first byte
// holds the job back all the same, and ends it.
// Danger: a full node, at which that word queues behind work, begins jobs for clients that went long ago.
func TestTheLastLookIsAtTheClient(t *testing.T) {
	for how, closing := range closes {
		t.Run(how, func(t *testing.T) {
			e := play(t, says(done, true))
			address, _, x, _, gone := whole(t, true, e.Addr().String())
			dialing, dial := make(chan struct{}, 9), make(chan struct{})
			x.SetDialGate(func(string) bool { dialing <- struct{}{}; <-dial; return true })
			c := call(t, address, job).(*net.TCPConn)
			within(t, "a dial", dialing)
			closing(c)
			within(t, "that the client has gone", gone)
			close(dial)
			if a := answer(t, call(t, address, strings.Replace(job, "Id: j", "Id: k", 1))); a.StatusCode != http.StatusOK {
				t.Error(a.Status)
			}
			if _, requests := e.seen(); requests != 1 {
				t.Errorf("%d requests came, of one client that was there", requests)
			}
		})
	}
}

// TestGoneBeforeItIsRead: a request and its client's close are in the socket before the node reads either.
func TestGoneBeforeItIsRead(t *testing.T) {
	e := play(t, says(done, true))
	address, _, _, _, gone := whole(t, true, e.Addr().String())
	for range 50 {
		call(t, address, job).Close()
	}
	if a := answer(t, call(t, address, strings.Replace(job, "Id: j", "Id: k", 1))); a.StatusCode != http.StatusOK {
		t.Error(a.Status)
	}
	select {
	case <-gone:
	default:
	}
}

// TestWhoShutsTheirSendingGetsNoResult: a client that closes its sending side counts as gone, and no attempt begins for it. It may
// still read: it gets one final refusal, and then the end.
// Danger: a request that was read and ends with no answer is lost; and a handler that returns without a word has answered 200, with a
// result that no executor made.
func TestWhoShutsTheirSendingGetsNoResult(t *testing.T) {
	for state, known := range map[string][]string{"waits": nil, "is read after that": {"127.0.0.1:9"}} {
		address, _, _, _, gone := whole(t, false, known...)
		c := call(t, address, "").(*net.TCPConn)
		io.WriteString(c, job)
		c.CloseWrite()
		within(t, "that the client has gone", gone)
		text, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") || strings.Count(string(text), "HTTP/1.1") != 1 {
			t.Errorf("%s: %q, %v", state, text, err)
		}
	}
}

// TestBytesBehindARequestAreTheNext: what came while a request was at work is served in its turn, whatever pieces it came in.
func TestBytesBehindARequestAreTheNext(t *testing.T) {
	hold := make(chan struct{})
	var bodies []string
	_, address := node(t, NewConnectionBudget(64), func(_ context.Context, q *protocol.Request) *protocol.Response {
		<-hold
		bodies = append(bodies, string(q.Body))
		return &protocol.Response{Status: 200, Body: string(q.Body)}
	})
	second := strings.Replace(ask, "Length: 1", "Length: 60000", 1) + strings.Repeat("y", 60000)
	c := call(t, address, ask+"x"+second[:10])
	io.WriteString(c, second[10:50])
	hold <- struct{}{}
	io.WriteString(c, second[50:]+ask+"z")
	hold <- struct{}{}
	hold <- struct{}{}
	in := bufio.NewReader(c)
	for _, want := range []string{"x", strings.Repeat("y", 60000), "z"} {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(a.Body); string(got) != want {
			t.Errorf("%.20q, want %.20q", got, want)
		}
	}
}

// TestAnswersOutliveTheClose: connections that end with an answer, while bytes that nobody will read are in them, end without a reset.
// Danger: it takes an answer with it that the client has not read.
func TestAnswersOutliveTheClose(t *testing.T) {
	stray := strings.Repeat("x", readAheadLimit+100<<10)
	for what, text := range map[string]string{
		"an answer that ends it": ask + "b" + stray,
		"a bad request":          strings.Replace(ask, "pay", "odd", 1) + stray,
		"no request at all":      "GET\r\n\r\n" + stray[:1000],
	} {
		s, address := node(t, NewConnectionBudget(64), settled)
		s.closeAfterResponse.Store(true)
		c := call(t, address, "")
		go io.WriteString(c, text)
		until(t, what+": a close that waits", func() bool { return count(s.budget, &s.budget.lingering) > 0 })
		got, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 ") {
			t.Errorf("%s: %.40q, %v", what, got, err)
		}
	}
}

// until waits for what another goroutine does.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for start := time.Now(); !is(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("not seen: ", what)
		}
	}
}

func count(d *ConnectionBudget, figure *int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *figure
}

func strangers(d *ConnectionBudget) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending.Len()
}

// TestNothingIsTakenAfterTheEnd: a stranger's second half comes when the server has ended. It is not served, and nothing is made up.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	d := NewConnectionBudget(64)
	s, address := node(t, d, func(context.Context, *protocol.Request) *protocol.Response {
		t.Error("served")
		return nil
	})
	c := call(t, address, ask[:30])
	until(t, "its first bytes", func() bool { return count(d, &d.active) > 0 })
	if err := s.Stop(50*time.Millisecond, false); err != nil {
		t.Error(err)
	}
	io.WriteString(c, ask[30:]+"b")
	if text, err := io.ReadAll(c); len(text) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, %v", text, err)
	}
}

// TestStopEndsSilentConnections: connections that never said a word are closed before the process is, or served if they have.
// Danger: a request that is read as the process ends.
func TestStopEndsSilentConnections(t *testing.T) {
	s, address := node(t, NewConnectionBudget(64), settled)
	silent := call(t, address, "")
	until(t, "a connection", func() bool { return strangers(s.budget) > 0 })
	if err := s.Stop(time.Second, false); err != nil {
		t.Error(err)
	}
	shuts(t, "silent", silent, time.Second)
	if held := count(s.budget, &s.budget.held[clientSide]); held > 0 {
		t.Errorf("%d connections at the end", held)
	}
}
