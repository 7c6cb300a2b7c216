// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestShutdownWithPendingRequests stops a process that has a partial request head, a partial body, an unread
// answer, an idle connection, a connection without data, and requests on hanging servers. It sends SIGTERM
// twice and SIGHUP in between. Each request must get one complete answer, a connection without a request must
// be closed without a reset, and the process must exit within 0.7 s of the longest deadline.
func TestShutdownWithPendingRequests(t *testing.T) {
	for _, idempotency := range []string{"idempotent", "deduplicated", "at_most_once"} {
		t.Run(idempotency, func(t *testing.T) { checkShutdown(t, idempotency) })
	}
}

// checkShutdown runs TestShutdownWithPendingRequests for a request class with the given idempotency.
func checkShutdown(t *testing.T, idempotency string) {
	const maxDeadline = 1500 * time.Millisecond
	release, arrivals := make(chan struct{}), make(chan string, 999)
	var reruns atomic.Int32
	seen := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		arrivals <- id
		if strings.HasPrefix(id, "hang") {
			<-release
			return
		}
		fmt.Fprintf(w, `{"id":%q,"from":"x","state":"done","result":%q}`+"\n", id, strings.Repeat("r", 50000))
	}))
	defer server.Close()
	defer close(release)
	address, path := freeAddress(t), filepath.Join(t.TempDir(), "c.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","limits":{"sockets":256},
"known":{"version":1,"full":true,"servers":[
{"id":"a","addr":%q,"zone":"z","kind":"k","state":"Ready"},{"id":"b","addr":%q,"zone":"z","kind":"k","state":"Ready"}]},
"settings":{"Tick":5000000,"Dcs":["z"],"Skus":["k"],"Discovery":"automatic",
"Limits":{"MayCancel":true,"MostPostings":2},"Rules":{"DrainGrace":500000000},
"Schemes":[{"Name":"wares","SlaTime":300000000,"Expiry":%d,"Idempotency":%q,"MemorySpan":900000000,"Group":"zone"}]}}`,
		address, freeAddress(t), server.Listener.Addr(), server.Listener.Addr(), maxDeadline, idempotency)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_LOG=warn", "TMPDIR="+t.TempDir(),
		"GORACE=atexit_sleep_ms=0") // excludes the exit delay of the race detector from the measured time
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Process.Kill()
	connect := func() net.Conn {
		for start := time.Now(); ; time.Sleep(time.Millisecond) {
			c, err := net.Dial("tcp", address)
			if err == nil {
				t.Cleanup(func() { c.Close() })
				c.SetReadDeadline(time.Now().Add(10 * time.Second))
				return c
			}
			if time.Since(start) > 10*time.Second {
				t.Fatal(err)
			}
		}
	}
	request := func(id string) string {
		return requestText("wares", id, maxDeadline, "body")
	}
	awaitArrival := func(id string) {
		for got := range arrivals {
			if seen[got] {
				reruns.Add(1)
			}
			if seen[got] = true; got == id {
				return
			}
		}
	}
	expectAnswer := func(what string, c net.Conn, want ...int) {
		t.Helper()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: got error %v, want an answer", what, err)
			return
		}
		responseBody, err := io.ReadAll(response.Body)
		for _, w := range want {
			if response.StatusCode == w && err == nil && (w != 200 || len(responseBody) == 50000) {
				return
			}
		}
		t.Errorf("%s: got status %s with %d bytes, error %v; want a complete answer with one of the statuses %v",
			what, response.Status, len(responseBody), err, want)
	}
	expectClose := func(what string, c net.Conn) {
		t.Helper()
		if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
			t.Errorf("%s: got %.60q, error %v; want a close without data", what, text, err)
		}
	}
	idle, reused, silent := connect(), connect(), connect()
	partialHead, partialBody, hanging, unread := connect(), connect(), connect(), connect()
	for i, c := range []net.Conn{idle, reused} {
		io.WriteString(c, request(fmt.Sprint("first", i)))
		expectAnswer("the first request on a connection", c, 200)
	}
	headRequest := request("head")
	io.WriteString(partialHead, headRequest[:40])
	bodyRequest := request("body")
	io.WriteString(partialBody, bodyRequest[:len(bodyRequest)-2])
	io.WriteString(hanging, request("hang"))
	awaitArrival("hang")
	io.WriteString(unread, request("reads"))
	awaitArrival("reads")
	signaled := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	io.WriteString(partialHead, headRequest[40:])
	expectAnswer("a request whose head is completed after the signal", partialHead, 200)
	p.Process.Signal(syscall.SIGHUP)
	io.WriteString(partialBody, bodyRequest[len(bodyRequest)-2:])
	expectAnswer("a request whose body is completed after the signal", partialBody, 200)
	p.Process.Signal(syscall.SIGTERM)
	io.WriteString(reused, request("more"))
	expectAnswer("another request on a connection", reused, 200)
	// A request that may have run on a server is shed only if a retry does no harm.
	expected := map[string]int{"idempotent": 503, "deduplicated": 500, "at_most_once": 500}[idempotency]
	expectAnswer("a hanging request", hanging, expected)
	io.WriteString(reused, request("hang2"))
	expectAnswer("a hanging request that arrives after the signal", reused, 500, 503)
	expectClose("an idle connection", idle)
	expectClose("a connection without data", silent)
	if err := p.Wait(); err != nil {
		t.Errorf("the process exited with %v, want status 0", err)
	}
	if took := time.Since(signaled); took > maxDeadline+700*time.Millisecond {
		t.Errorf("the process exited after %s, want at most 2.2s", took)
	}
	expectAnswer("an answer that was not read before the exit", unread, 200)
	for len(arrivals) > 0 {
		if id := <-arrivals; seen[id] {
			reruns.Add(1)
		}
	}
	if n := reruns.Load(); n > 0 && idempotency == "at_most_once" {
		t.Errorf("got %d requests that ran more than once, want 0", n)
	}
}
