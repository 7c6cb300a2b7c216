// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fernrail/internal/metrics"
)

// TestFigures: the metrics of a node agree with what its clients and servers saw, with requests that are shed, a
// server that hangs, clients that leave and requests that are cut. A request whose client left may count as any end.
func TestFigures(t *testing.T) {
	f := newServerPool(t, 3)
	f.servers[2].hung = true
	discovery := httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	address := f.startNode(0, pushSettings, "", strings.TrimPrefix(discovery.URL, "http://"))
	handler := f.nodes[0].adminHandler()
	figures := func() (f metrics.Snapshot) {
		t.Helper()
		line, err := handler.Metrics()
		if err == nil {
			err = json.Unmarshal(line, &f)
		}
		if err != nil {
			t.Error(err)
		}
		return f
	}
	var mu sync.Mutex
	whole, left, want := 0, 0, map[string]metrics.ClassCounts{"look": {}, "save": {}, "book": {}}
	var clients sync.WaitGroup
	for c := range uint64(24) {
		clients.Go(func() {
			chance := rand.New(rand.NewPCG(c, 11))
			for i := range 20 {
				class := []string{"look", "save", "book"}[chance.IntN(3)]
				budget := time.Duration(20+chance.IntN(300)) * time.Millisecond
				text := requestText(class, fmt.Sprintf("%d-%d", c, i), budget, "body")
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				how := chance.IntN(5)
				if how == 0 { // cut before its end
					io.WriteString(conn, text[:len(text)-1-chance.IntN(len(text)-1)])
					conn.Close()
					continue
				}
				io.WriteString(conn, text)
				status, answer := 0, make([]byte, 512)
				if how > 1 {
					if n, _ := conn.Read(answer); n > 12 {
						fmt.Sscanf(string(answer[9:12]), "%d", &status)
					}
				}
				conn.Close()
				mu.Lock()
				e := want[class]
				whole++
				switch status {
				case 200:
					e.Served++
				case 503:
					e.Rejected++
				case 0:
					left++
				default:
					e.Failed++
				}
				want[class] = e
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	taken := func(f metrics.Snapshot) (sum int64) {
		for _, e := range f.Requests {
			sum += e.Served + e.Rejected + e.Failed
		}
		return sum + f.InFlight
	}
	for before, running := int64(0), true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
		}
		now := taken(figures())
		if now < before || now > 24*20 {
			t.Errorf("%d taken, %d before", now, before)
		}
		before = now
	}
	var got metrics.Snapshot
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		if got = figures(); got.InFlight == 0 {
			break
		}
	}
	f.mu.Lock()
	ran := f.received
	f.mu.Unlock()
	surplus := int64(0)
	for class, e := range want {
		is := got.Requests[class]
		if is.Served < e.Served || is.Rejected < e.Rejected || is.Failed < e.Failed {
			t.Errorf("%s: %+v, clients saw %+v", class, is, e)
		}
		surplus += is.Served + is.Rejected + is.Failed - e.Served - e.Rejected - e.Failed
	}
	if surplus > int64(left) || taken(got) > int64(whole) || taken(got) < int64(whole-left) || got.InFlight != 0 {
		t.Errorf("%+v; %d whole requests, %d clients left", got, whole, left)
	}
	if int(got.Attempts) != ran || ran == 0 {
		t.Errorf("%d attempts, executors saw %d", got.Attempts, ran)
	}
	if got.ServersKnown != 3 || got.ServersExcluded > 2 {
		t.Errorf("%+v", got)
	}
}
