// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestIdleClientsDoNotBlockANode checks a node whose limits and kernel limit allow few descriptors. It starts
// with an outdated list of 1,024 servers while discovery does not answer, and 400 clients keep their
// connections open. The node must be ready within 10 s, serve new clients, answer operators, and get the
// endpoint list within 6 s of the return of discovery. No idle client may lose a request when its connection
// is evicted: either the request is served, or the connection is closed without an answer and the client may
// retry.
func TestIdleClientsDoNotBlockANode(t *testing.T) {
	for _, limit := range []int{48, 96, 256} {
		t.Run(fmt.Sprint(limit, " descriptors"), func(t *testing.T) { checkIdleClients(t, limit) })
	}
}

// checkIdleClients runs TestIdleClientsDoNotBlockANode with the given limit on descriptors.
func checkIdleClients(t *testing.T, limit int) {
	release := make(chan struct{})
	serveRequest := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.RawQuery == "slow" {
			<-release
		}
		fmt.Fprintf(w, `{"id":%q,"from":"x","state":"done","result":"r"}`+"\n", r.Header.Get("X-Call-Id"))
	})
	var list []map[string]any
	servers := httptest.NewServer(serveRequest)
	t.Cleanup(servers.Close)
	for i := range 1024 {
		server := map[string]any{"id": fmt.Sprint("s", i), "addr": "127.0.0.1:1", "zone": "a", "kind": "m", "state": "Terminating"}
		if i < 100 { // enough to use up the descriptors for connections to servers
			server["addr"], server["state"] = strings.TrimPrefix(servers.URL, "http://"), "Ready"
		}
		list = append(list, server)
	}
	var discoveryUp atomic.Bool
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !discoveryUp.Load() || r.URL.Query().Get("since") == "5" {
			<-r.Context().Done()
			return
		}
		text, _ := json.Marshal(map[string]any{"version": 5, "full": true, "servers": list[:100]})
		w.Write(text)
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	known, _ := json.Marshal(map[string]any{"version": 4, "full": true, "servers": list})
	address, admin, path := freeAddress(t), freeAddress(t), filepath.Join(t.TempDir(), "c.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"admin_addr":%q,"discovery":%q,"seed":"1",
"limits":{"sockets":%d},"known":%s,
"settings":{"Tick":5000000,
"Dcs":["a"],"Skus":["m"],"Discovery":"automatic",
"Limits":{"MayCancel":true,"MostPostings":3,"DialTimeout":250000000,"IdleClose":10000000000},
"Rules":{"AskWithin":10000000000,"DrainGrace":2000000000},
"Schemes":[{"Name":"look","SlaTime":300000000,"Expiry":3000000000,"Idempotency":"idempotent"}]}}`,
		address, admin, strings.TrimPrefix(discovery.URL, "http://"), limit, known)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	withLimit := fmt.Sprintf("ulimit -n %d && exec %s", limit, os.Args[0])
	node := &process{T: t, Cmd: exec.Command("/bin/sh", "-c", withLimit), admin: admin}
	node.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_LOG=warn", "TMPDIR="+t.TempDir())
	start := time.Now()
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Process.Kill(); node.Wait() })
	ready := func() bool {
		response, err := http.Get("http://" + address + "/-/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == 200
	}
	for !ready() {
		if time.Since(start) > 10*time.Second {
			t.Fatal("not ready within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	calls := 0
	// sendRequest sends a request. noAnswer reports that the connection was closed without a byte of an
	// answer.
	sendRequest := func(c net.Conn) (status int, noAnswer bool) {
		calls++
		io.WriteString(c, requestText("look", fmt.Sprint("c", calls), 3*time.Second, "b"))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		in := bufio.NewReader(c)
		if _, err := in.Peek(1); err != nil {
			return 0, true
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("incomplete answer: %v", err)
			return 0, false
		}
		io.Copy(io.Discard, response.Body)
		return response.StatusCode, false
	}
	var connections []net.Conn
	serveNewClient := func() int {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		connections = append(connections, c)
		status, _ := sendRequest(c)
		return status
	}
	served := 0
	for range 400 {
		if serveNewClient() == 200 {
			served++
		}
	}
	if served < 360 {
		t.Errorf("got %d of 400 new clients served, want at least 360", served)
	}
	// Slow requests use up the remaining connections to clients and servers.
	var slow sync.WaitGroup
	for i := range 2 * limit {
		slow.Go(func() {
			request, _ := http.NewRequest("POST", "http://"+address+"/look?slow", strings.NewReader("b"))
			request.Header = http.Header{"X-Call-Id": {fmt.Sprint("s", i)}, "X-Call-Class": {"look"}, "X-Budget-Ms": {"9000"}}
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				response.Body.Close()
			}
		})
	}
	queried := time.Now()
	node.expect("telemetry", "{")
	if took := time.Since(queried); took > time.Second {
		t.Errorf("the admin reply took %s, want at most 1s", took)
	}
	discoveryUp.Store(true)
	returned := time.Now()
	for node.metrics().ServersKnown != 100 {
		if time.Since(returned) > 6*time.Second {
			t.Fatal("the node has no current endpoint list 6 s after the return of discovery")
		}
		if serveNewClient() == 0 { // new clients keep arriving meanwhile
			continue
		}
	}
	resent, lost := 0, 0
	close(release)
	slow.Wait()
	newestFirst := slices.Clone(connections)
	slices.Reverse(newestFirst) // the oldest connections were evicted long ago
	for _, c := range newestFirst[:400] {
		status, noAnswer := sendRequest(c)
		if noAnswer {
			resent++
			status = serveNewClient()
		}
		if status != 200 && status != 503 {
			lost++
		}
	}
	t.Logf("%d of 400 served, endpoint list and idle clients after %s, %d requests resent",
		served, time.Since(returned), resent)
	if lost > 0 {
		t.Errorf("got %d lost requests of idle clients, want 0", lost)
	}
	if used := node.descriptors(); used > limit {
		t.Errorf("got %d descriptors, want at most %d", used, limit)
	}
}
