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

// TestMetricsMatchTraffic checks that the metrics of a node match what clients and servers saw. Some requests
// are shed or incomplete, one server hangs, and some clients disconnect early. A request whose client
// disconnected may be counted with any outcome.
func TestMetricsMatchTraffic(t *testing.T) {
	pool := newServerPool(t, 3)
	pool.servers[2].hung = true
	discovery := httptest.NewServer(http.HandlerFunc(pool.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	address := pool.startNode(0, pushSettings, "", strings.TrimPrefix(discovery.URL, "http://"))
	handler := pool.nodes[0].adminHandler()
	readMetrics := func() (f metrics.Snapshot) {
		t.Helper()
		line, err := handler.Metrics()
		if err == nil {
			err = json.Unmarshal(line, &f)
		}
		if err != nil {
			t.Errorf("reading the metrics failed: %v", err)
		}
		return f
	}
	var mu sync.Mutex
	sent, leftEarly, want := 0, 0, map[string]metrics.ClassCounts{"look": {}, "save": {}, "book": {}}
	var clients sync.WaitGroup
	for c := range uint64(24) {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(c, 11))
			for i := range 20 {
				class := []string{"look", "save", "book"}[random.IntN(3)]
				budget := time.Duration(20+random.IntN(300)) * time.Millisecond
				text := requestText(class, fmt.Sprintf("%d-%d", c, i), budget, "body")
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Errorf("connecting to the node failed: %v", err)
					return
				}
				behavior := random.IntN(5)
				if behavior == 0 { // incomplete request
					io.WriteString(conn, text[:len(text)-1-random.IntN(len(text)-1)])
					conn.Close()
					continue
				}
				io.WriteString(conn, text)
				status, answer := 0, make([]byte, 512)
				if behavior > 1 {
					if n, _ := conn.Read(answer); n > 12 {
						fmt.Sscanf(string(answer[9:12]), "%d", &status)
					}
				}
				conn.Close()
				mu.Lock()
				seen := want[class]
				sent++
				switch status {
				case 200:
					seen.Served++
				case 503:
					seen.Rejected++
				case 0:
					leftEarly++
				default:
					seen.Failed++
				}
				want[class] = seen
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	accepted := func(f metrics.Snapshot) (sum int64) {
		for _, seen := range f.Requests {
			sum += seen.Served + seen.Rejected + seen.Failed
		}
		return sum + f.InFlight
	}
	for before, running := int64(0), true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
		}
		now := accepted(readMetrics())
		if now < before || now > 24*20 {
			t.Errorf("got %d accepted requests after %d before, want no decrease and at most 480",
				now, before)
		}
		before = now
	}
	var got metrics.Snapshot
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		if got = readMetrics(); got.InFlight == 0 {
			break
		}
	}
	pool.mu.Lock()
	received := pool.received
	pool.mu.Unlock()
	surplus := int64(0)
	for class, seen := range want {
		counts := got.Requests[class]
		if counts.Served < seen.Served || counts.Rejected < seen.Rejected || counts.Failed < seen.Failed {
			t.Errorf("%s: got metrics %+v, want at least what clients saw: %+v", class, counts, seen)
		}
		surplus += counts.Served + counts.Rejected + counts.Failed - seen.Served - seen.Rejected - seen.Failed
	}
	if surplus > int64(leftEarly) || accepted(got) > int64(sent) ||
		accepted(got) < int64(sent-leftEarly) || got.InFlight != 0 {
		t.Errorf("got metrics %+v, want them to match %d complete requests, of which %d clients left early",
			got, sent, leftEarly)
	}
	if int(got.Attempts) != received || received == 0 {
		t.Errorf("got %d attempts, want the %d that servers received", got.Attempts, received)
	}
	if got.ServersKnown != 3 || got.ServersExcluded > 2 {
		t.Errorf("got metrics %+v, want 3 known servers and at most 2 excluded", got)
	}
}
