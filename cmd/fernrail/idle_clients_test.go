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

// TestIdleClientsFillANode: a process with few descriptors, by its limits and the kernel's, starts on an old list of
// 1,024 servers while discovery is silent, and 400 clients keep all connections that they can get. It is ready within
// 10 s, serves new clients, answers its operators, and knows the endpoint list within 6 s of discovery's return. No
// idle client loses a request when its connection is evicted: the request is served, or the connection ended without
// an answer, and the client may send it once more.
func TestIdleClientsFillANode(t *testing.T) {
	for _, limit := range []int{48, 96, 256} {
		t.Run(fmt.Sprint(limit, " descriptors"), func(t *testing.T) { checkIdleClients(t, limit) })
	}
}

func checkIdleClients(t *testing.T, limit int) {
	release := make(chan struct{})
	job := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.RawQuery == "slow" {
			<-release
		}
		fmt.Fprintf(w, `{"id":%q,"from":"x","state":"done","result":"r"}`+"\n", r.Header.Get("X-Call-Id"))
	})
	var list []map[string]any
	executors := httptest.NewServer(job)
	t.Cleanup(executors.Close)
	for i := range 1024 {
		e := map[string]any{"id": fmt.Sprint("s", i), "addr": "127.0.0.1:1", "zone": "a", "kind": "m", "state": "Terminating"}
		if i < 100 { // enough to fill the other side
			e["addr"], e["state"] = strings.TrimPrefix(executors.URL, "http://"), "Ready"
		}
		list = append(list, e)
	}
	var back atomic.Bool
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !back.Load() || r.URL.Query().Get("since") == "5" {
			<-r.Context().Done()
			return
		}
		text, _ := json.Marshal(map[string]any{"version": 5, "full": true, "servers": list[:100]})
		w.Write(text)
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	known, _ := json.Marshal(map[string]any{"version": 4, "full": true, "servers": list})
	door, admin, path := freeAddress(t), freeAddress(t), filepath.Join(t.TempDir(), "c.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"admin_addr":%q,"discovery":%q,"seed":"1",
"limits":{"sockets":%d},"known":%s,
"settings":{"Tick":5000000,
"Dcs":["a"],"Skus":["m"],"Discovery":"automatic",
"Limits":{"MayCancel":true,"MostPostings":3,"DialTimeout":250000000,"IdleClose":10000000000},
"Rules":{"AskWithin":10000000000,"DrainGrace":2000000000},
"Schemes":[{"Name":"look","SlaTime":300000000,"Expiry":3000000000,"Idempotency":"idempotent"}]}}`,
		door, admin, strings.TrimPrefix(discovery.URL, "http://"), limit, known)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	withLimit := fmt.Sprintf("ulimit -n %d && exec %s", limit, os.Args[0])
	p := &process{T: t, Cmd: exec.Command("/bin/sh", "-c", withLimit), admin: admin}
	p.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_LOG=warn", "TMPDIR="+t.TempDir())
	start := time.Now()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	ready := func() bool {
		a, err := http.Get("http://" + door + "/-/ready")
		if err != nil {
			return false
		}
		a.Body.Close()
		return a.StatusCode == 200
	}
	for !ready() {
		if time.Since(start) > 10*time.Second {
			t.Fatal("not ready within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	calls := 0
	// ask sends a request; nothing reports that the connection ended without a byte of an answer.
	ask := func(c net.Conn) (status int, nothing bool) {
		calls++
		io.WriteString(c, requestText("look", fmt.Sprint("c", calls), 3*time.Second, "b"))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		in := bufio.NewReader(c)
		if _, err := in.Peek(1); err != nil {
			return 0, true
		}
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("half an answer: %v", err)
			return 0, false
		}
		io.Copy(io.Discard, a.Body)
		return a.StatusCode, false
	}
	var rest []net.Conn
	fresh := func() int {
		c, err := net.Dial("tcp", door)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		rest = append(rest, c)
		status, _ := ask(c)
		return status
	}
	served := 0
	for range 400 {
		if fresh() == 200 {
			served++
		}
	}
	if served < 360 {
		t.Errorf("%d of 400 who came anew were served", served)
	}
	// Requests that take long use up the connections that are left, to clients and to servers.
	var slow sync.WaitGroup
	for i := range 2 * limit {
		slow.Go(func() {
			q, _ := http.NewRequest("POST", "http://"+door+"/look?slow", strings.NewReader("b"))
			q.Header = http.Header{"X-Call-Id": {fmt.Sprint("s", i)}, "X-Call-Class": {"look"}, "X-Budget-Ms": {"9000"}}
			if a, err := http.DefaultTransport.RoundTrip(q); err == nil {
				a.Body.Close()
			}
		})
	}
	asked := time.Now()
	p.expect("telemetry", "{")
	if took := time.Since(asked); took > time.Second {
		t.Errorf("operators were answered after %s", took)
	}
	back.Store(true)
	returned := time.Now()
	for p.metrics().ServersKnown != 100 {
		if time.Since(returned) > 6*time.Second {
			t.Fatal("the list is not known 6 s after discovery's return")
		}
		if fresh() == 0 { // clients take connections all the while
			continue
		}
	}
	again, lost := 0, 0
	close(release)
	slow.Wait()
	all := slices.Clone(rest)
	slices.Reverse(all) // the first ones were evicted long ago
	for _, c := range all[:400] {
		status, nothing := ask(c)
		if nothing {
			again++
			status = fresh()
		}
		if status != 200 && status != 503 {
			lost++
		}
	}
	t.Logf("%d of 400 served, list known after %s, %d sent once more", served, time.Since(returned), again)
	if lost > 0 {
		t.Errorf("%d requests of idle clients were lost", lost)
	}
	if held := p.descriptors(); held > limit {
		t.Errorf("%d descriptors", held)
	}
}
