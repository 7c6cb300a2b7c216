// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestListSize checks one of 1,024 nodes with a list of 10 to 2,000 servers, indented, in its file and from
// discovery. The node is ready within a second or two with any of these lists; the test fails after 20 s.
// Memory and threads must grow only by the size of the list.
func TestListSize(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, `{"id":%q,"from":"x","state":"done","result":"r"}`+"\n", r.Header.Get("X-Call-Id"))
	}))
	defer server.Close()
	serverAddress := strings.TrimPrefix(server.URL, "http://")
	baselineIdle, baselineBusy := 0, 0 // KB with the shortest list; a build with -race uses several times as much
	for _, listSize := range []int{10, 200, 1024, 2000} {
		servers := []map[string]any{}
		for i := range listSize {
			servers = append(servers, map[string]any{
				"id": fmt.Sprintf("s-%08x", i), "addr": serverAddress, "zone": "a", "kind": "m", "cell": i / 2,
				"state": "Ready", "weight": 1.0, "started_ms": 0,
			})
		}
		endpointList, _ := json.MarshalIndent(map[string]any{"version": 4, "full": true, "servers": servers}, "  ", "    ")
		firstQuery, sendFirst := make(chan string, 1), sync.Once{}
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("since") == "4" { // the first poll: return the complete list as a new version
				io.WriteString(w, strings.Replace(string(endpointList), `"version": 4`, `"version": 5`, 1))
				return
			}
			sendFirst.Do(func() { firstQuery <- r.URL.RawQuery })
			<-r.Context().Done()
		}))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listener.Close()
		path := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"sockets":1024},"known":%s,
"settings":{"Tick":5000000,
"ReplicasOfMe":1024,"Me":1023,"Dcs":["a"],"Skus":["m"],"Discovery":"automatic",
"Limits":{"MayCancel":true,"MayDuplicate":true,"MostPostings":3,
"DialTimeout":250000000,"IdleClose":10000000000},"Rules":{"AskWithin":8000000000,"DrainGrace":2000000000},
"Schemes":[{"Name":"look","SlaTime":300000000,"Expiry":3000000000,"Idempotency":"idempotent"}]}}`,
			address, strings.TrimPrefix(discovery.URL, "http://"), endpointList)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		node := exec.Command(os.Args[0])
		node.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_LOG=info")
		start := time.Now()
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		for { // until the node is ready
			if response, err := http.Get("http://" + address + "/-/ready"); err == nil {
				if response.Body.Close(); response.StatusCode == 200 {
					break
				}
			}
			if time.Since(start) > 20*time.Second {
				t.Fatalf("%d servers: not ready within 20 s", listSize)
			}
			time.Sleep(time.Millisecond)
		}
		ready := time.Since(start)
		if query := <-firstQuery; !strings.HasPrefix(query, "since=5") {
			t.Errorf("%d servers: got discovery query %q, want one since version 5", listSize, query)
		}
		idle, threads := processStatus(t, node.Process.Pid, "VmRSS"), processStatus(t, node.Process.Pid, "Threads")
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		served, clients := 0, sync.WaitGroup{}
		var mu sync.Mutex
		for c := range 64 {
			clients.Go(func() {
				for i := range 10 {
					request, _ := http.NewRequest("POST", "http://"+address+"/look", strings.NewReader("body"))
					request.Header = http.Header{
						"X-Call-Id":    {fmt.Sprintf("%d-%d", c, i)},
						"X-Call-Class": {"look"},
						"X-Budget-Ms":  {"3000"},
					}
					if response, err := client.Do(request); err == nil {
						if response.Body.Close(); response.StatusCode == 200 {
							mu.Lock()
							served++
							mu.Unlock()
						}
					}
				}
			})
		}
		clients.Wait()
		busy, busyThreads := processStatus(t, node.Process.Pid, "VmRSS"), processStatus(t, node.Process.Pid, "Threads")
		t.Logf("%d servers: ready after %d ms; idle %d KB, %d threads; "+
			"after a burst of 640 on 64 connections %d KB, %d threads",
			listSize, ready.Milliseconds(), idle, threads, busy, busyThreads)
		if baselineIdle == 0 {
			baselineIdle, baselineBusy = idle, busy
		}
		if served < 600 || idle > baselineIdle*5/2 || busy > baselineBusy*5/2 || busyThreads > 64 {
			t.Errorf("%d servers: got %d of 640 served, %d KB idle, %d KB busy, %d threads; "+
				"want at least 600, at most 2.5 times %d KB, at most 2.5 times %d KB, at most 64",
				listSize, served, idle, busy, busyThreads, baselineIdle, baselineBusy)
		}
		client.CloseIdleConnections()
		node.Process.Kill()
		node.Wait()
		discovery.CloseClientConnections()
		discovery.Close()
	}
}
