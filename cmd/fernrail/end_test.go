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

// TestEndWithAllOwed: a process is told to end, repeatedly and to reload in between, while it holds half of a
// request's head, half of a body, an answer, an idle connection and a silent one, and servers hang with requests of
// each idempotency. Each request gets one complete answer, a connection without a request ends without a reset, and
// the process is gone 0.7 s after the longest deadline.
func TestEndWithAllOwed(t *testing.T) {
	for _, effect := range []string{"idempotent", "deduplicated", "at_most_once"} {
		t.Run(effect, func(t *testing.T) { checkEnd(t, effect) })
	}
}

func checkEnd(t *testing.T, effect string) {
	const longest = 1500 * time.Millisecond
	hung, arrived := make(chan struct{}), make(chan string, 999)
	var twice atomic.Int32
	ran := map[string]bool{}
	executor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		arrived <- id
		if strings.HasPrefix(id, "hang") {
			<-hung
			return
		}
		fmt.Fprintf(w, `{"id":%q,"from":"x","state":"done","result":%q}`+"\n", id, strings.Repeat("r", 50000))
	}))
	defer executor.Close()
	defer close(hung)
	door, path := freeAddress(t), filepath.Join(t.TempDir(), "c.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","limits":{"sockets":256},
"known":{"version":1,"full":true,"servers":[
{"id":"a","addr":%q,"zone":"z","kind":"k","state":"Ready"},{"id":"b","addr":%q,"zone":"z","kind":"k","state":"Ready"}]},
"settings":{"Tick":5000000,"Dcs":["z"],"Skus":["k"],"Discovery":"automatic",
"Limits":{"MayCancel":true,"MostPostings":2},"Rules":{"DrainGrace":500000000},
"Schemes":[{"Name":"wares","SlaTime":300000000,"Expiry":%d,"Idempotency":%q,"MemorySpan":900000000,"Group":"zone"}]}}`,
		door, freeAddress(t), executor.Listener.Addr(), executor.Listener.Addr(), longest, effect)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_LOG=warn", "TMPDIR="+t.TempDir(),
		"GORACE=atexit_sleep_ms=0") // what a build with -race waits for at its end is not the node's
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Process.Kill()
	connect := func() net.Conn {
		for start := time.Now(); ; time.Sleep(time.Millisecond) {
			c, err := net.Dial("tcp", door)
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
		return requestText("wares", id, longest, "body")
	}
	begun := func(id string) {
		for got := range arrived {
			if ran[got] {
				twice.Add(1)
			}
			if ran[got] = true; got == id {
				return
			}
		}
	}
	answered := func(what string, c net.Conn, want ...int) {
		t.Helper()
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		body, err := io.ReadAll(a.Body)
		for _, w := range want {
			if a.StatusCode == w && err == nil && (w != 200 || len(body) == 50000) {
				return
			}
		}
		t.Errorf("%s: %s with %d bytes, %v", what, a.Status, len(body), err)
	}
	ends := func(what string, c net.Conn) {
		t.Helper()
		if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
			t.Errorf("%s: %.60q, %v", what, text, err)
		}
	}
	rests, goesOn, silent := connect(), connect(), connect()
	head, body, hangs, reads := connect(), connect(), connect(), connect()
	for i, c := range []net.Conn{rests, goesOn} {
		io.WriteString(c, request(fmt.Sprint("first", i)))
		answered("the first on a connection", c, 200)
	}
	whole := request("head")
	io.WriteString(head, whole[:40])
	cut := request("body")
	io.WriteString(body, cut[:len(cut)-2])
	io.WriteString(hangs, request("hang"))
	begun("hang")
	io.WriteString(reads, request("reads"))
	begun("reads")
	told := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	io.WriteString(head, whole[40:])
	answered("the rest of a head", head, 200)
	p.Process.Signal(syscall.SIGHUP)
	io.WriteString(body, cut[len(cut)-2:])
	answered("the rest of a body", body, 200)
	p.Process.Signal(syscall.SIGTERM)
	io.WriteString(goesOn, request("more"))
	answered("another on a connection", goesOn, 200)
	// A request whose server may run it is shed only where a retry does no harm.
	expected := map[string]int{"idempotent": 503, "deduplicated": 500, "at_most_once": 500}[effect]
	answered("a job that hangs", hangs, expected)
	io.WriteString(goesOn, request("hang2"))
	answered("one that comes late and hangs", goesOn, 500, 503)
	ends("a connection that rests", rests)
	ends("a silent connection", silent)
	if err := p.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if took := time.Since(told); took > longest+700*time.Millisecond {
		t.Errorf("it ended after %s", took)
	}
	answered("an answer that was not read till then", reads, 200)
	for len(arrived) > 0 {
		if id := <-arrived; ran[id] {
			twice.Add(1)
		}
	}
	if n := twice.Load(); n > 0 && effect == "at_most_once" {
		t.Errorf("%d jobs ran twice", n)
	}
}
