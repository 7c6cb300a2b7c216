// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// nodeFile is a format string for a configuration. Its arguments are the discovery address and the tick, in
// ns.
const nodeFile = `{"name":"n1","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
"limits":{"sockets":64},"settings":{"Tick":%d,"Rules":{"AskWithin":80000000},
"Schemes":[{"Name":"pay","SlaTime":200000000,"Expiry":300000000,"Idempotency":"idempotent"}]}}`

// fakeDiscovery starts a fake discovery agent. It answers polls for the complete list at once and never
// answers watches. The channel receives the query of each request.
func fakeDiscovery(t *testing.T) (address string, queries chan string) {
	queries = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if queries <- r.URL.RawQuery; r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"version":9,"full":true,"servers":[]}`)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), queries
}

// logLines receives the lines of a log.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// until returns the next line that contains a text.
func (l logLines) until(text string) string {
	for line := range l {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// TestReloadOnHangup checks that SIGHUP applies a new discovery address at once, that an invalid file changes
// nothing, and that the next reload after it works. SIGHUP must never stop the program; SIGTERM must.
func TestReloadOnHangup(t *testing.T) {
	first, firstQueries := fakeDiscovery(t)
	second, secondQueries := fakeDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_DISCOVERY", first)
	writeFile := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hangup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	writeFile(fmt.Sprintf(nodeFile, first, int(5e6)))
	log, result := make(logLines, 1000), make(chan error, 1)
	go func() { result <- run(zerolog.New(log)) }()
	log.until("node serves")
	<-firstQueries
	if watch := <-firstQueries; !strings.HasPrefix(watch, "since=9") {
		t.Errorf("second query at the first discovery: got %q, want a watch since version 9", watch)
	}
	writeFile(fmt.Sprintf(nodeFile, first, int(5e6))[:80])
	hangup()
	log.until("configuration reload failed")
	writeFile(fmt.Sprintf(nodeFile, first, -1))
	hangup()
	if line := log.until("configuration reload failed"); !strings.Contains(line, "Tick") {
		t.Errorf("got log line %s, want it to name the key Tick", line)
	}
	writeFile(fmt.Sprintf(nodeFile, second, int(6e6)))
	hangup()
	hangup()
	if line := log.until("take effect at the next restart"); !strings.Contains(line, `["settings.Tick"]`) {
		t.Errorf("got log line %s, want only the key settings.Tick", line)
	}
	if query := <-secondQueries; query != "" {
		t.Errorf("first query at the second discovery: got %q, want a poll for the complete list", query)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.until("node stops")
	hangup()
	if err := <-result; err != nil {
		t.Errorf("run after SIGTERM: got error %v, want none", err)
	}
}

// TestStartFailsIfAddressInUse checks that run returns an error if the client address is already in use.
func TestStartFailsIfAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Appendf(nil, nodeFile, "127.0.0.1:1", int64(5e6))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_LISTEN", listener.Addr().String())
	if err := run(zerolog.Nop()); err == nil {
		t.Error("got no error for an address in use")
	}
}
