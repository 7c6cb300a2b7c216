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

// upgradedNode is what the processes of one node share.
type upgradedNode struct {
	*serverPool
	dir, discovery string
	listener       net.Listener
	file           *os.File
}

const nodeSockets = 200

func newUpgradedNode(t *testing.T) *upgradedNode {
	f := newServerPool(t, 8)
	discovery := httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	file, err := door.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return &upgradedNode{f, t.TempDir(), strings.TrimPrefix(discovery.URL, "http://"), door, file}
}

// startProcess starts a process of the node beside those that there are.
func (s *upgradedNode) startProcess(discovery string) *process {
	s.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fatal(err)
	}
	admin := free.Addr().String()
	free.Close()
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
		ended:     make(chan error, 1),
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
		p.endedAt = time.Now()
		p.ended <- err
	}()
	s.Cleanup(func() { p.Process.Kill() })
	return p
}

// load has clients send requests on kept connections until end is called, which returns how many were answered and
// how many connections were refused, which is no answer.
func (s *upgradedNode) load(clients int) (end func() (answered, turnedBack int)) {
	stop, all := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	answered, turnedBack := 0, 0
	for c := range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				class := []string{"look", "save", "book"}[i%3]
				// No GetBody: the library sends nothing again by itself.
				url := fmt.Sprintf("http://%s/%s", s.listener.Addr(), class)
				request, _ := http.NewRequest("POST", url, io.NopCloser(strings.NewReader("b")))
				request.ContentLength = 1
				request.Header = http.Header{
					"X-Call-Id":    {fmt.Sprintf("%d-%d", c, i)},
					"X-Call-Class": {class},
					"X-Budget-Ms":  {"2000"},
				}
				answer, err := client.Do(request)
				mu.Lock()
				if answered++; err != nil {
					answered, turnedBack = answered-1, turnedBack+1
				}
				mu.Unlock()
				if err == nil {
					io.Copy(io.Discard, answer.Body)
					answer.Body.Close()
				}
			}
		})
	}
	return func() (int, int) {
		close(stop)
		all.Wait()
		return answered, turnedBack
	}
}

// holdConnections opens connections with one request each and keeps them.
func (s *upgradedNode) holdConnections(count int, name string) {
	for i := range count {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			s.Fatal(err)
		}
		s.Cleanup(func() { c.Close() })
		io.WriteString(c, requestText("look", fmt.Sprintf("%s-%d", name, i), 2*time.Second, "b"))
		if n, err := c.Read(make([]byte, 1<<10)); n == 0 {
			s.Errorf("a client that comes has no answer: %v", err)
		}
	}
}

// addServer lists one more server.
func (s *upgradedNode) addServer() {
	w := &fakeServer{serverPool: s.serverPool, name: "w8", server: s.servers[7].server}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, w)
	s.announce()
}

// removeServer takes the added server out of the list again.
func (s *upgradedNode) removeServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = s.servers[:8]
	s.announce()
}
