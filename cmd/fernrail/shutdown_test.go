// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/hotrestart"
)

// silentPeer accepts connections and never sends a byte, as a node whose process is suspended.
func silentPeer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// startFleetNode starts a node with a voter and gossip in this process. All other nodes of its fleet are silent.
func startFleetNode(f *serverPool, discovery string) (*node, string) {
	f.Helper()
	address := freeAddress(f.T)
	peers := fmt.Sprintf("%q,%q,%q,%q", silentPeer(f.T), silentPeer(f.T), silentPeer(f.T), silentPeer(f.T))
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:1","admin_addr":"127.0.0.1:2","discovery":%q,"seed":"1",
"limits":{"sockets":200},"known":%s,"settings":{%s%s},
"fleet":{"listen":%q,"secret":"a secret of the test","most":7,"budgets":{"cold":{"whole":1000,"floor":20,"reserve":50,"step":20,"window_ms":1600}},"gossip":%q,"join":[%s],
"seats":[{"name":"n0","address":%q},{"name":"n1","address":%q},{"name":"n2","address":%q}]}}`,
		discovery, f.knownList(), strings.Replace(pollSettings, "%s", "silent", 1),
		fmt.Sprintf(commonSettings, 0, 0, ""), address, freeAddress(f.T), peers,
		silentPeer(f.T), address, silentPeer(f.T))
	path := filepath.Join(f.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	c, err := config.Load(func(variable string) string { return map[string]string{"EDGE_CONFIG": path}[variable] })
	if err != nil {
		f.Fatal(err)
	}
	budgets, err := startFleet(c, zerolog.Nop())
	if err != nil || budgets == nil {
		f.Fatalf("starting the fleet: got %v, error %v", budgets, err)
	}
	f.Cleanup(budgets.Close)
	n := newNode(c, budgets, zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	n.server.Start(l)
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go n.router.WatchEndpoints(ctx)
	return n, l.Addr().String()
}

// TestShutdownBesideSilentPeers: a node of a fleet is upgraded while the other nodes are silent. The time for its
// last answers must start at the signal, not after calls to those nodes: it is killed at a fixed time. The node has
// handed over its addresses to its successor when it has ended.
func TestShutdownBesideSilentPeers(t *testing.T) {
	f := newServerPool(t, 2)
	f.setHung(true)
	discovery := httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	t.Setenv("TMPDIR", t.TempDir())
	n, address := startFleetNode(f, strings.TrimPrefix(discovery.URL, "http://"))
	successor, err := hotrestart.Join(os.Getenv("TMPDIR"), "n1")
	if err != nil {
		t.Fatal(err)
	}
	successor.StartServing()
	defer successor.Leave()
	time.Sleep(500 * time.Millisecond) // the node calls its peers
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answered := make(chan time.Time, 1)
	var status int
	go func() {
		c.Write([]byte(requestText("book", "1", 10*time.Second, "b")))
		reply := make([]byte, 1<<10)
		read, _ := c.Read(reply)
		fmt.Sscanf(string(reply[:read]), "HTTP/1.1 %d", &status)
		answered <- time.Now()
	}()
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	n.shutDown()
	took := (<-answered).Sub(stopped)
	if limit := shutdownTime(n.config) + shutdownMargin; took > limit || status == 0 {
		t.Errorf("answered with status %d after %v, want a status within %v", status, took, limit)
	}
	t.Logf("answered with status %d after %v", status, took)
}
