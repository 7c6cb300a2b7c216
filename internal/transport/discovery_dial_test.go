// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// unreachableAgent is a discovery agent that cannot be connected to during an outage. It reports a draining server
// after the outage.
type unreachableAgent struct {
	from, until time.Time // of the outage
	refuses     bool      // connections are refused in it; otherwise they get no response

	mu   sync.Mutex
	open []net.Conn
}

func (a *unreachableAgent) isDown() bool {
	return !time.Now().Before(a.from) && time.Now().Before(a.until)
}

// dial behaves as the kernel does, which sends an unanswered SYN again after 1 s, 3 s, 7 s and so on.
func (a *unreachableAgent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	for wait := time.Second; a.isDown(); wait *= 2 {
		if a.refuses {
			return nil, syscall.ECONNREFUSED
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
	client, agent := net.Pipe()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open = append(a.open, agent)
	go a.serve(agent)
	return client, nil
}

// closeConnections closes all connections.
func (a *unreachableAgent) closeConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.open {
		conn.Close()
	}
}

func (a *unreachableAgent) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		state, version := "Ready", "1"
		if !time.Now().Before(a.until) {
			state, version = "Terminating", "2"
		}
		if request.URL.Query().Get("since") == version {
			time.Sleep(100 * time.Millisecond)
		}
		body := fmt.Sprintf(`{"version":%s,"full":true,"servers":[{"id":"e","addr":"h:1","zone":"home","kind":"toy",`+
			`"state":%q}]}`, version, state)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// TestDrainIsKnownAfterUnreachableDiscovery checks that a node knows of a drain within
// protocol.NotificationDeadline of the end of an outage in which discovery could not be connected to. A dial that
// began in the outage waits for the kernel's next SYN, which may be sent long after the outage, and it holds the one
// connection to discovery.
func TestDrainIsKnownAfterUnreachableDiscovery(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for _, seconds := range []int{5, 20, 50} {
			for phase := range 10 {
				outage := time.Duration(seconds)*time.Second + time.Duration(phase)*370*time.Millisecond
				t.Run(fmt.Sprint("refused ", refuses, ", outage ", outage), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkUnreachableDiscovery(t, outage, refuses) })
				})
			}
		}
	}
}

func checkUnreachableDiscovery(t *testing.T, outage time.Duration, refuses bool) {
	t.Helper()
	c := loadConfig(t, nodeSettings)
	from := time.Now().Add(3 * time.Second)
	agent := &unreachableAgent{from: from, until: from.Add(outage), refuses: refuses}
	source := NewDiscoveryClient("agent:1", c.Names)
	source.dialContext = agent.dial
	initialList := endpointList(1, "h:1")
	initialList.Endpoints[0].ID = "e"
	_, client := newTestClient()
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
	go node.WatchEndpoints(ctx)
	time.Sleep(time.Until(agent.from))
	agent.closeConnections()
	time.Sleep(time.Until(agent.until))
	for node.Endpoints()[0].State != dispatch.Draining && time.Since(agent.until) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	if late := time.Since(agent.until); late > protocol.NotificationDeadline {
		t.Errorf("drain is known %v after the outage, want within %v", late, protocol.NotificationDeadline)
	}
	stop()
	agent.closeConnections()
	synctest.Wait()
	time.Sleep(time.Minute) // a dial may still wait
}
