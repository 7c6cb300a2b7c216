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

// tally is what the clients of one kind of node got.
type tally struct {
	succeeded, shed, failed int
	slowest                 time.Duration
}

// TestBothKindsOfNodes: during a migration, nodes that are sent the endpoint list, get load reports with answers and
// may hedge work beside nodes that poll, probe and may not hedge, before the same servers, one of which hangs and one
// drains. The four rules hold, and neither kind starves the other: none takes each free slot while the other asks for
// it, or undoes what the other's rules forbid.
func TestBothKindsOfNodes(t *testing.T) {
	for _, weights := range []string{"live", "nominal"} {
		t.Run(weights, func(t *testing.T) { checkBothKinds(t, weights) })
	}
}

func checkBothKinds(t *testing.T, weights string) {
	f := newServerPool(t, 8)
	discovery := httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	place := strings.TrimPrefix(discovery.URL, "http://")
	var nodes []string
	for i := range 4 {
		if shape := pushSettings; i < 2 {
			nodes = append(nodes, f.startNode(i, shape, "", place))
		} else {
			settings := fmt.Sprintf(pollSettings, weights)
			nodes = append(nodes, f.startNode(i, settings, `,"MemoryUnit":"one","ReportX1":"free memory"`, place))
		}
	}
	var tallies [2]tally
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	const each = 40
	for c := range 16 {
		clients.Go(func() {
			kind := c % 4 / 2
			for i := range each {
				if c == 0 && i == each/3 {
					f.drain(f.servers[5])
				}
				id, class := fmt.Sprintf("%d-%d", c, i), []string{"look", "save", "book", "look", "save"}[i%5]
				f.mu.Lock()
				f.withoutHedging[id] = kind == 1
				f.servers[2].hung = i > each/2
				f.mu.Unlock()
				url := fmt.Sprintf("http://%s/%s?obj=%d", nodes[c%4], class, i%7)
				request, err := http.NewRequest("POST", url, strings.NewReader("b"))
				if err != nil {
					t.Error(err)
					return
				}
				request.Header = http.Header{
					"X-Call-Id":    {id},
					"X-Call-Class": {class},
					"X-Budget-Ms":  {"500"},
					"X-Call-Info":  {"slots=1,mem=0.5"},
				}
				began := time.Now()
				answer, err := client.Do(request)
				if err != nil {
					t.Errorf("rule 1: %s has no answer: %v", id, err)
					continue
				}
				io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
				took := time.Since(began)
				f.mu.Lock()
				if took > 500*time.Millisecond+toleratedDelay {
					t.Errorf("rule 1: %s was answered after %v", id, took)
				}
				if answer.StatusCode == 503 && f.effects[id] > 0 && class != "look" {
					t.Errorf("rule 2: %s was declined and has had its effect", id)
				}
				own := &tallies[kind]
				own.slowest = max(own.slowest, took)
				switch answer.StatusCode {
				case 200:
					own.succeeded++
				case 503:
					own.shed++
					if answer.Header.Get("Retry-After") == "" {
						t.Errorf("%s was declined without advice", id)
					}
				default:
					own.failed++
				}
				f.mu.Unlock()
			}
		})
	}
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.effects {
		if n > 1 {
			t.Errorf("rule 2: %s has had its effect %d times", id, n)
		}
	}
	for kind, own := range tallies {
		t.Logf("kind %d: %+v", kind, own)
		if own.succeeded < 8*each*8/10 {
			t.Errorf("kind %d starves: %+v of %d", kind, own, 8*each)
		}
	}
}
