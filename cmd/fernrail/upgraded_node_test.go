// SPDX-License-Identifier: Apache-2.0

package main

import (
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

// upgradedNode is a node whose processes share a client listener and a directory.
type upgradedNode struct {
	*serverPool
	dir, discovery string
	listener       net.Listener
	file           *os.File
}

// nodeSockets is the limit on descriptors of the node.
const nodeSockets = 200

// newUpgradedNode starts the servers, discovery and the client listener of a node, but no process.
func newUpgradedNode(t *testing.T) *upgradedNode {
	f := newServerPool(t, 8)
	discovery := httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return &upgradedNode{f, t.TempDir(), strings.TrimPrefix(discovery.URL, "http://"), listener, file}
}

// startProcess starts another process of the node.
func (s *upgradedNode) startProcess(discovery string) *process {
	s.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fatal(err)
	}
	admin := reserved.Addr().String()
	reserved.Close()
	path := filepath.Join(s.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"sockets":%d},
"known":%s,"settings":{%s%s}}`,
		s.listener.Addr(), discovery, nodeSockets, s.knownList(), pushSettings, fmt.Sprintf(commonSettings, 0, 0, ""))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
	p := &process{
		T:         s.T,
		Cmd:       exec.Command(os.Args[0]),
		admin:     admin,
		config:    path,
		discovery: discovery,
		exited:    make(chan error, 1),
	}
	p.Env = append(os.Environ(), "FERNRAIL_TEST_NODE=1", "EDGE_CONFIG="+path, "EDGE_ADMIN_ADDR="+admin, "EDGE_LISTEN_FD=3",
		"EDGE_LOG=info", "TMPDIR="+s.dir)
	p.ExtraFiles = []*os.File{s.file}
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		s.Fatal(err)
	}
	go func() {
		err := p.Wait()
		p.exitedAt = time.Now()
		p.exited <- err
	}()
	s.Cleanup(func() { p.Process.Kill() })
	return p
}

// load makes clients send requests on persistent connections until stopLoad is called. stopLoad returns the
// number of answered requests, and of requests without an answer because the connection was refused.
func (s *upgradedNode) load(clients int) (stopLoad func() (answered, refused int)) {
	stop, running := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	answered, refused := 0, 0
	for c := range clients {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				class := []string{"look", "save", "book"}[i%3]
				// Without GetBody, the HTTP library does not retry by itself.
				url := fmt.Sprintf("http://%s/%s", s.listener.Addr(), class)
				request, _ := http.NewRequest("POST", url, io.NopCloser(strings.NewReader("b")))
				request.ContentLength = 1
				request.Header = http.Header{
					"X-Call-Id":    {fmt.Sprintf("%d-%d", c, i)},
					"X-Call-Class": {class},
					"X-Budget-Ms":  {"2000"},
				}
				response, err := client.Do(request)
				mu.Lock()
				if answered++; err != nil {
					answered, refused = answered-1, refused+1
				}
				mu.Unlock()
				if err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
		})
	}
	return func() (int, int) {
		close(stop)
		running.Wait()
		return answered, refused
	}
}

// holdConnections opens connections, sends one request on each and keeps them open until the test ends.
func (s *upgradedNode) holdConnections(count int, name string) {
	for i := range count {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			s.Fatal(err)
		}
		s.Cleanup(func() { c.Close() })
		io.WriteString(c, requestText("look", fmt.Sprintf("%s-%d", name, i), 2*time.Second, "b"))
		if n, err := c.Read(make([]byte, 1<<10)); n == 0 {
			s.Errorf("a new client got no answer: %v", err)
		}
	}
}

// addServer adds a server to the endpoint list.
func (s *upgradedNode) addServer() {
	server := &fakeServer{serverPool: s.serverPool, name: "w8", server: s.servers[7].server}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
	s.announce()
}

// removeServer removes the added server from the endpoint list.
func (s *upgradedNode) removeServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = s.servers[:8]
	s.announce()
}
