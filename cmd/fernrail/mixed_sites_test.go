// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// tally counts the answers to the clients of one kind of node.
type tally struct {
	succeeded, shed, failed int
	slowest                 time.Duration
}

// TestPushAndPollNodes models a migration. Nodes of one kind receive the endpoint list, get load reports with
// answers and may hedge; nodes of the other kind poll, probe and may not hedge. Both kinds share the servers,
// one of which hangs while another drains. The four rules must hold, and neither kind may starve the other by
// taking every free slot or by breaking the other's rules.
func TestPushAndPollNodes(t *testing.T) {
	for _, weights := range []string{"live", "nominal"} {
		t.Run(weights, func(t *testing.T) { checkPushAndPollNodes(t, weights) })
	}
}

// checkPushAndPollNodes runs TestPushAndPollNodes with the given value of Weights for the nodes that poll.
func checkPushAndPollNodes(t *testing.T, weights string) {
	pool := newServerPool(t, 8)
	discovery := httptest.NewServer(http.HandlerFunc(pool.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	discoveryAddress := strings.TrimPrefix(discovery.URL, "http://")
	var nodes []string
	for i := range 4 {
		if settings := pushSettings; i < 2 {
			nodes = append(nodes, pool.startNode(i, settings, "", discoveryAddress))
		} else {
			settings := fmt.Sprintf(pollSettings, weights)
			nodes = append(nodes, pool.startNode(i, settings, `,"MemoryUnit":"one","ReportX1":"free memory"`, discoveryAddress))
		}
	}
	var tallies [2]tally
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	const requestsPerClient = 40
	for c := range 16 {
		clients.Go(func() {
			kind := c % 4 / 2
			for i := range requestsPerClient {
				if c == 0 && i == requestsPerClient/3 {
					pool.drain(pool.servers[5])
				}
				id, class := fmt.Sprintf("%d-%d", c, i), []string{"look", "save", "book", "look", "save"}[i%5]
				pool.mu.Lock()
				pool.withoutHedging[id] = kind == 1
				pool.servers[2].hung = i > requestsPerClient/2
				pool.mu.Unlock()
				url := fmt.Sprintf("http://%s/%s?obj=%d", nodes[c%4], class, i%7)
				request, err := http.NewRequest("POST", url, strings.NewReader("b"))
				if err != nil {
					t.Errorf("creating request %s failed: %v", id, err)
					return
				}
				request.Header = http.Header{
					"X-Call-Id":    {id},
					"X-Call-Class": {class},
					"X-Budget-Ms":  {"500"},
					"X-Call-Info":  {"slots=1,mem=0.5"},
				}
				start := time.Now()
				response, err := client.Do(request)
				if err != nil {
					t.Errorf("rule 1: request %s got no answer: %v", id, err)
					continue
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				took := time.Since(start)
				pool.mu.Lock()
				if took > 500*time.Millisecond+toleratedDelay {
					t.Errorf("rule 1: request %s was answered after %v, want at most 1.5s", id, took)
				}
				if response.StatusCode == 503 && pool.effects[id] > 0 && class != "look" {
					t.Errorf("rule 2: request %s was shed after it took effect", id)
				}
				counts := &tallies[kind]
				counts.slowest = max(counts.slowest, took)
				switch response.StatusCode {
				case 200:
					counts.succeeded++
				case 503:
					counts.shed++
					if response.Header.Get("Retry-After") == "" {
						t.Errorf("request %s was shed without a Retry-After header", id)
					}
				default:
					counts.failed++
				}
				pool.mu.Unlock()
			}
		})
	}
	clients.Wait()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for id, n := range pool.effects {
		if n > 1 {
			t.Errorf("rule 2: request %s took effect %d times, want at most once", id, n)
		}
	}
	for kind, counts := range tallies {
		t.Logf("nodes of kind %d: %+v", kind, counts)
		if counts.succeeded < 8*requestsPerClient*8/10 {
			t.Errorf("nodes of kind %d: got %+v of %d requests, want at least 80%% successful",
				kind, counts, 8*requestsPerClient)
		}
	}
}
