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

// discoveryFault is how a discovery service fails its first polls, and how many of them.
type discoveryFault struct {
	name        string
	respond     func(c net.Conn, disconnected <-chan struct{}) (keepOpen bool)
	failedPolls int // number of polls that fail
}

// respondAfter returns a fault that sends a text after a delay, unless the caller closes the connection
// before.
func respondAfter(delay time.Duration, text string, keepOpen bool) func(net.Conn, <-chan struct{}) bool {
	return func(c net.Conn, disconnected <-chan struct{}) bool {
		select {
		case <-time.After(delay):
			io.WriteString(c, text)
		case <-disconnected:
		}
		return keepOpen
	}
}

const busyResponse = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

func resetConnection(c net.Conn, _ <-chan struct{}) bool { c.(*net.TCPConn).SetLinger(0); return false }

// trickle sends a response without end until the caller closes the connection.
func trickle(c net.Conn, disconnected <-chan struct{}) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		select {
		case <-time.After(50 * time.Millisecond):
			if _, err := io.WriteString(c, "1\r\n \r\n"); err != nil {
				return false
			}
		case <-disconnected:
			return false
		}
	}
}

// halfResponse is a truncated endpoint list.
const halfResponse = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":"

var discoveryFaults = []discoveryFault{
	{"503 immediately", respondAfter(0, busyResponse, true), 3},
	{"503 after 3.9 s", respondAfter(3900*time.Millisecond, busyResponse, true), 3},
	{"503 after 2 s", respondAfter(2*time.Second, busyResponse, true), 3},
	{"truncated response", respondAfter(3900*time.Millisecond, halfResponse, false), 2},
	{"endless response", trickle, 1},
	{"response above the size limit", func(c net.Conn, _ <-chan struct{}) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", protocol.MaxEndpointListBytes+1))
		return false
	}, 3},
	{"response that is not a list", respondAfter(0, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>",
		true), 3},
	{"reset", resetConnection, 3},
	{"silent", respondAfter(time.Hour, "", false), 2},
}

// fakeDiscovery is a discovery service on loopback. Its first polls fail. Polls that arrive after the last
// failing one receive a list with a draining server.
type fakeDiscovery struct {
	net.Listener
	fault          *discoveryFault
	mu             sync.Mutex
	polls          int
	reachableSince time.Time     // when the last failing poll arrived
	reachable      chan struct{} // closed at that time
}

func (d *fakeDiscovery) serve(c net.Conn) {
	defer c.Close()
	reads, disconnected := make(chan string, 9), make(chan struct{})
	go func() {
		defer close(disconnected)
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			reads <- string(b[:n])
		}
	}()
	for {
		select {
		case <-disconnected:
			return
		case <-reads:
		}
		d.mu.Lock()
		d.polls++
		fails := d.polls <= d.fault.failedPolls
		if d.polls == d.fault.failedPolls {
			d.reachableSince = time.Now()
			close(d.reachable)
		}
		d.mu.Unlock()
		if fails {
			if !d.fault.respond(c, disconnected) {
				return
			}
			continue
		}
		const draining = `{"id":"e","addr":"h:1","zone":"home","kind":"toy","state":"Terminating"}`
		body := `{"version":9,"full":true,"servers":[` + draining + `]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func startFakeDiscovery(t *testing.T, fault *discoveryFault) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := &fakeDiscovery{Listener: l, fault: fault, reachable: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// TestDrainIsKnownBeforeNotificationDeadline checks that a node knows of a drain within
// protocol.NotificationDeadline, 6 s, of the time from which discovery would report it. Discovery fails in
// each way, often enough for the longest pauses between polls, and would report the drain from the moment at
// which the last failing poll arrived. The test covers short and long drain graces, a node that polls this
// discovery from the start, and a node whose endpoint source is changed to it from a silent one.
func TestDrainIsKnownBeforeNotificationDeadline(t *testing.T) {
	t.Parallel()
	for i := range discoveryFaults {
		for _, grace := range []string{"100000000", "2000000000", "60000000000"} {
			for _, sourceChanged := range []bool{false, true} {
				// The longest waits occur with a long grace, after slow failures and after fast ones.
				if sourceChanged && grace != "2000000000" || len(grace) > 10 && i%4 > 0 {
					continue
				}
				fault := &discoveryFaults[i]
				name := fmt.Sprint(fault.name, ", grace ", grace, ", source changed ", sourceChanged)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					checkNotificationDeadline(t, fault, grace, sourceChanged)
				})
			}
		}
	}
}

// checkNotificationDeadline starts a node that polls a discovery with a fault, either from its first poll on
// or, if sourceChanged is set, after it has polled a silent one. grace is Rules.DrainGrace in nanoseconds.
func checkNotificationDeadline(t *testing.T, fault *discoveryFault, grace string, sourceChanged bool) {
	t.Helper()
	c := loadConfig(t, strings.Replace(nodeSettings, `Grace":2000000000`, `Grace":`+grace, 1))
	discovery := startFakeDiscovery(t, fault)
	first := discovery
	if sourceChanged {
		silent := &discoveryFault{respond: respondAfter(time.Hour, "", false), failedPolls: 1}
		first = startFakeDiscovery(t, silent)
	}
	_, client := newTestClient()
	initialList := endpointList(1, "h:1")
	initialList.Endpoints[0].ID = "e"
	source := NewDiscoveryClient(first.Addr().String(), c.Names)
	node := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             1,
		InitialEndpoints: initialList,
		Forwarder:        client,
		ProbeTimeout:     time.Second,
		EndpointSource:   source,
		Log:              zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go node.WatchEndpoints(ctx)
	if sourceChanged {
		waitFor(t, "poll of the first discovery", first.reachable)
		node.SetEndpointSource(NewDiscoveryClient(discovery.Addr().String(), c.Names))
	}
	select {
	case <-discovery.reachable:
	case <-time.After(time.Minute):
		t.Fatalf("discovery received fewer than %d polls within 1 min", fault.failedPolls)
	}
	for node.Endpoints()[0].State != dispatch.Draining {
		if late := time.Since(discovery.reachableSince); late > protocol.NotificationDeadline {
			t.Fatalf("drain is not known after %s, want within %s", late, protocol.NotificationDeadline)
		}
		time.Sleep(time.Millisecond)
	}
}
