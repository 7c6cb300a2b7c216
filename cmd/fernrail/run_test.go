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

// nodeFile is a configuration with the address of discovery and the tick to fill in.
const nodeFile = `{"name":"n1","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
"limits":{"sockets":64},"settings":{"Tick":%d,"Rules":{"AskWithin":80000000},
"Schemes":[{"Name":"pay","SlaTime":200000000,"Expiry":300000000,"Idempotency":"idempotent"}]}}`

// fakeDiscovery stands in for discovery: it answers polls of the complete list at once and watches at their end. The
// channel gets the query of each.
func fakeDiscovery(t *testing.T) (address string, asked chan string) {
	asked = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked <- r.URL.RawQuery; r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"version":9,"full":true,"servers":[]}`)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

// logLines receives the lines of a log.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// until returns the next line that holds a text.
func (l logLines) until(text string) string {
	for line := range l {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// TestHangup: SIGHUP brings another address of discovery, at once; a faulty file changes nothing, and the next one is
// read afresh. SIGHUP never ends the program, SIGTERM does.
func TestHangup(t *testing.T) {
	first, askedFirst := fakeDiscovery(t)
	second, askedSecond := fakeDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_DISCOVERY", first)
	replace := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hang := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	replace(fmt.Sprintf(nodeFile, first, int(5e6)))
	log, ended := make(logLines, 1000), make(chan error, 1)
	go func() { ended <- run(zerolog.New(log)) }()
	log.until("node serves")
	<-askedFirst
	if watch := <-askedFirst; !strings.HasPrefix(watch, "since=9") {
		t.Error(watch)
	}
	replace(fmt.Sprintf(nodeFile, first, int(5e6))[:80])
	hang()
	log.until("new configuration not taken")
	replace(fmt.Sprintf(nodeFile, first, -1))
	hang()
	if line := log.until("new configuration not taken"); !strings.Contains(line, "Tick") {
		t.Error(line)
	}
	replace(fmt.Sprintf(nodeFile, second, int(6e6)))
	hang()
	hang()
	if line := log.until("wait for a restart"); !strings.Contains(line, `["settings.Tick"]`) {
		t.Error(line)
	}
	if whole := <-askedSecond; whole != "" {
		t.Error(whole)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.until("node stops")
	hang()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestFaultEndsTheStart: a node that cannot listen returns an error.
func TestFaultEndsTheStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Appendf(nil, nodeFile, "127.0.0.1:1", int64(5e6))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_LISTEN", taken.Addr().String())
	if err := run(zerolog.Nop()); err == nil {
		t.Error("no fault")
	}
}
