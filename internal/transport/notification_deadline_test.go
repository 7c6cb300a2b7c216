// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// discoveryFault is what a discovery does with a call before it can be reached, and how often that happens.
type discoveryFault struct {
	name        string
	respond     func(c net.Conn, ended <-chan struct{}) (keep bool)
	failedPolls int // that end so
}

// respondAfter is a fault that takes a while of its own, or until the caller has gone.
func respondAfter(span time.Duration, text string, keep bool) func(net.Conn, <-chan struct{}) bool {
	return func(c net.Conn, ended <-chan struct{}) bool {
		select {
		case <-time.After(span):
			io.WriteString(c, text)
		case <-ended:
		}
		return keep
	}
}

const busyResponse = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

func resetConnection(c net.Conn, _ <-chan struct{}) bool { c.(*net.TCPConn).SetLinger(0); return false }

// trickle goes on with an answer as long as the caller takes it.
func trickle(c net.Conn, ended <-chan struct{}) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		select {
		case <-time.After(50 * time.Millisecond):
			if _, err := io.WriteString(c, "1\r\n \r\n"); err != nil {
				return false
			}
		case <-ended:
			return false
		}
	}
}

// halfResponse is the beginning of an endpoint list.
const halfResponse = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":"

var discoveryFaults = []discoveryFault{
	{"refused at once", respondAfter(0, busyResponse, true), 3},
	{"refused slowly, in a row", respondAfter(3900*time.Millisecond, busyResponse, true), 3},
	{"refused after two seconds, in a row", respondAfter(2*time.Second, busyResponse, true), 3},
	{"half an answer", respondAfter(3900*time.Millisecond, halfResponse, false), 2},
	{"an answer without end", trickle, 1},
	{"an answer over the limit", func(c net.Conn, _ <-chan struct{}) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", protocol.MaxEndpointListBytes+1))
		return false
	}, 3},
	{"another kind of answer", respondAfter(0, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>", true), 3},
	{"reset", resetConnection, 3},
	{"silent", respondAfter(time.Hour, "", false), 2},
}

// fakeDiscovery is a discovery on loopback. News is there from a moment on, for calls that come then.
type fakeDiscovery struct {
	net.Listener
	fault      *discoveryFault
	mu         sync.Mutex
	polls      int
	knownSince time.Time     // from when on it can be reached
	known      chan struct{} // closed then
}

func (p *fakeDiscovery) serve(c net.Conn) {
	defer c.Close()
	lines, ended := make(chan string, 9), make(chan struct{})
	go func() {
		defer close(ended)
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			lines <- string(b[:n])
		}
	}()
	for {
		select {
		case <-ended:
			return
		case <-lines:
		}
		p.mu.Lock()
		p.polls++
		bad := p.polls <= p.fault.failedPolls
		if p.polls == p.fault.failedPolls {
			p.knownSince = time.Now()
			close(p.known)
		}
		p.mu.Unlock()
		if bad {
			if !p.fault.respond(c, ended) {
				return
			}
			continue
		}
		const draining = `{"id":"e","addr":"h:1","zone":"home","kind":"toy","state":"Terminating"}`
		body := `{"version":9,"full":true,"servers":[` + draining + `]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func startFakeDiscovery(t *testing.T, f *discoveryFault) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &fakeDiscovery{Listener: l, fault: f, known: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// TestChangeIsKnownInTime: discovery fails in each way, so often that pauses are at their longest, and has news of
// a drain that it would tell from the moment at which the last failing call has just gone out. The node knows 6 s
// after that, with settings of short and long graces, from its first call on, and where it is turned to such a
// place from a silent one.
func TestChangeIsKnownInTime(t *testing.T) {
	t.Parallel()
	for i := range discoveryFaults {
		for _, grace := range []string{"100000000", "2000000000", "60000000000"} {
			for _, turned := range []bool{false, true} {
				// The longest waits are those of a long grace, after calls that took long and after such that did not.
				if turned && grace != "2000000000" || len(grace) > 10 && i%4 > 0 {
					continue
				}
				fault := &discoveryFaults[i]
				name := fmt.Sprint(fault.name, ", grace ", grace, ", turned ", turned)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					checkNotificationDeadline(t, fault, grace, turned)
				})
			}
		}
	}
}

// checkNotificationDeadline starts a node that polls a discovery with a fault, from its first poll on or, turned,
// after it has polled a silent one. grace is Rules.DrainGrace in nanoseconds.
func checkNotificationDeadline(t *testing.T, fault *discoveryFault, grace string, turned bool) {
	t.Helper()
	c := loadConfig(t, strings.Replace(nodeSettings, `Grace":2000000000`, `Grace":`+grace, 1))
	discovery := startFakeDiscovery(t, fault)
	first := discovery
	if turned {
		silent := &discoveryFault{respond: respondAfter(time.Hour, "", false), failedPolls: 1}
		first = startFakeDiscovery(t, silent)
	}
	_, client := newTestClient()
	known := endpointList(1, "h:1")
	known.Endpoints[0].ID = "e"
	source := NewDiscoveryClient(first.Addr().String(), c.Names)
	node := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             1,
		InitialEndpoints: known,
		Forwarder:        client,
		ProbeTimeout:     time.Second,
		EndpointSource:   source,
		Log:              zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go node.WatchEndpoints(ctx)
	if turned {
		waitFor(t, "a call at the first place", first.known)
		node.SetEndpointSource(NewDiscoveryClient(discovery.Addr().String(), c.Names))
	}
	select {
	case <-discovery.known:
	case <-time.After(time.Minute):
		t.Fatal("too few calls")
	}
	for node.Endpoints()[0].State != dispatch.Draining {
		if late := time.Since(discovery.knownSince); late > protocol.NotificationDeadline {
			t.Fatalf("not known after %s", late)
		}
		time.Sleep(time.Millisecond)
	}
}
