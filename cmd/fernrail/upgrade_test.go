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
	"syscall"
	"testing"
	"time"

	"fernrail/internal/metrics"
)

// TestMain lets the test's binary be a node, so that two real processes can meet.
func TestMain(m *testing.M) {
	if os.Getenv("FERNRAIL_TEST_NODE") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node of its own, with its operators' address.
type process struct {
	*testing.T
	*exec.Cmd
	admin, config, discovery string
	ended                    chan error
	endedAt                  time.Time // of its end, once that is told
}

// command makes an operators' call.
func (p *process) command(line string) string {
	c, err := net.Dial("tcp", p.admin)
	if err != nil {
		return "" // not up yet, or not any more
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c, line+"\n")
	answer, _ := io.ReadAll(c)
	return string(answer)
}

func (p *process) expect(line, want string) {
	p.Helper()
	if got := p.command(line); !strings.HasPrefix(got, want) {
		p.Errorf("%s: %q, want %q", line, got, want)
	}
}

// reload has the process read its file again, which names another discovery now, and waits until it is asked.
func (p *process) reload() {
	p.Helper()
	first, asked := fakeDiscovery(p.T)
	text, err := os.ReadFile(p.config)
	if err != nil {
		p.Fatal(err)
	}
	now := strings.Replace(string(text), p.discovery, first, 1)
	if err := os.WriteFile(p.config, []byte(now), 0o600); err != nil {
		p.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		p.Error("the new configuration is not taken")
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		p.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	for start := time.Now(); p.metrics().ServersKnown == 0 && time.Since(start) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
}

// waitFor asks until the answer is yes.
func (p *process) waitFor(line string, within time.Duration) {
	p.Helper()
	for start := time.Now(); !strings.HasPrefix(p.command(line), "OK"); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > within {
			p.Fatalf("%s: no yes within %v", line, within)
		}
	}
}

func (p *process) metrics() (f metrics.Snapshot) {
	p.Helper()
	text, whole := strings.CutSuffix(p.command("telemetry"), "\nEND\n")
	if err := json.Unmarshal([]byte(text), &f); err != nil || !whole {
		p.Errorf("%q, %v", text, err)
	}
	return f
}

func (p *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(files)
}

// expectEnd waits for the process's own end.
func (p *process) expectEnd() {
	p.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			p.Errorf("a process ended with %v", err)
		}
	case <-time.After(6 * time.Second):
		p.Error("a process does not end")
	}
}

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
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"sockets":%d},"known":%s,"settings":{%s%s}}`,
		s.listener.Addr(), discovery, nodeSockets, s.knownList(), pushSettings, fmt.Sprintf(commonSettings, 0, 0, ""))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
	p := &process{T: s.T, Cmd: exec.Command(os.Args[0]), admin: admin, config: path, discovery: discovery, ended: make(chan error, 1)}
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

// load has clients send jobs on kept connections until the end of it; it gives how many got an answer and how many were
// turned back at the door, which is not an answer.
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
				request, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/%s", s.listener.Addr(), class), io.NopCloser(strings.NewReader("b")))
				request.ContentLength = 1
				request.Header = http.Header{"X-Call-Id": {fmt.Sprintf("%d-%d", c, i)}, "X-Call-Class": {class}, "X-Budget-Ms": {"2000"}}
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

// holdConnections opens connections with one job each and keeps them.
func (s *upgradedNode) holdConnections(count int, name string) {
	for i := range count {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			s.Fatal(err)
		}
		s.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST /look HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s-%d\r\nX-Call-Class: look\r\nX-Budget-Ms: 2000\r\nContent-Length: 1\r\n\r\nb", name, i)
		if n, err := c.Read(make([]byte, 1<<10)); n == 0 {
			s.Errorf("a client that comes has no answer: %v", err)
		}
	}
}

// addServer lists one more worker, and part takes it out again.
func (s *upgradedNode) addServer() {
	w := &fakeServer{serverPool: s.serverPool, name: "w8", server: s.servers[7].server}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, w)
	s.announce()
}

func (s *upgradedNode) removeServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = s.servers[:8]
	s.announce()
}

// markExcluded notes when operators said that nothing more is to go to a worker.
func (f *serverPool) markExcluded(w *fakeServer, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.excludedAt = at
}

// TestUpgrades: processes take over from one another on one inherited socket, under load. Every job gets one answer, next
// to none is turned back; bans given to either hold in both and in the next; both keep to one node's descriptors; a drain
// on the way harms nothing; and nothing is left behind.
func TestUpgrades(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	old.expect("exclude nobody", "ERR")
	old.expect("include nobody", "ERR")
	end := s.load(12)
	const upgrades = 3
	for round := range upgrades {
		kept, crossed := s.servers[round], s.servers[3+round]
		old.expect("exclude "+kept.name, "OK")
		s.markExcluded(kept, time.Now())
		if round == 1 {
			old.expect("evacuate", "OK")
			old.expect("readyz", "ERR")
			old.expect("activate", "OK")
			old.waitFor("readyz", time.Second)
		}
		s.holdConnections(80, fmt.Sprint("old", round))
		fresh := s.startProcess(s.discovery)
		fresh.waitFor("readyz", 6*time.Second)
		s.holdConnections(80, fmt.Sprint("both", round))
		fresh.expect("exclude "+crossed.name, "OK")
		s.markExcluded(crossed, time.Now())
		for start := time.Now(); old.metrics().ServersExcluded < 2; time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > time.Second {
				t.Error("a ban given to the new process does not hold in the old")
				break
			}
		}
		if got := fresh.metrics(); got.ServersExcluded != 2 || got.ServersKnown != 8 {
			t.Errorf("the new process has %+v", got)
		}
		if both := old.descriptors() + fresh.descriptors(); both > nodeSockets {
			t.Errorf("%d descriptors", both)
		}
		old.Process.Signal(syscall.SIGTERM)
		old.expectEnd()
		old = fresh
		if round == 1 {
			old.reload()
		}
		old.expect("exclude w8", []string{"ERR", "OK"}[min(round, 1)]) // listed in the first process's time alone
		old.expect("include w8", []string{"ERR", "OK"}[min(round, 1)])
		if round == 0 {
			s.addServer()
			for start, noted := time.Now(), []byte{}; !strings.Contains(string(noted), `"w8"`) && time.Since(start) < 3*time.Second; {
				noted, _ = os.ReadFile(filepath.Join(s.dir, "fernrail-n1.bans"))
				time.Sleep(10 * time.Millisecond)
			}
			s.removeServer()
			for start := time.Now(); old.metrics().ServersKnown != 8 && time.Since(start) < 3*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
		}
		for _, w := range []*fakeServer{kept, crossed} {
			s.markExcluded(w, time.Time{})
			old.expect("include "+w.name, "OK")
		}
	}
	answered, turnedBack := end()
	t.Logf("%d answered, %d turned back", answered, turnedBack)
	if turnedBack > 2*upgrades || answered < 100 {
		t.Errorf("%d turned back, %d answered", turnedBack, answered)
	}
	s.mu.Lock()
	for id, n := range s.effects {
		if n > 1 {
			t.Errorf("rule 2: %s has had its effect %d times", id, n)
		}
	}
	s.mu.Unlock()
	f := old.metrics()
	if f.InFlight != 0 || f.Attempts == 0 || f.ServersExcluded != 0 {
		t.Errorf("at rest: %+v", f)
	}
	old.Process.Signal(syscall.SIGTERM)
	old.expectEnd()
	left, _ := filepath.Glob(filepath.Join(s.dir, "*"))
	if len(left) != 2 {
		t.Errorf("left behind: %q", left)
	}
}

// TestSuccessorDies: one that ends before its yes, by itself or killed, leaves the old process as it was.
func TestSuccessorDies(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	end := s.load(4)
	for _, how := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		fresh := s.startProcess(silent.Addr().String())
		for fresh.command("readyz") == "" { // it is up, and waits for discovery
			time.Sleep(10 * time.Millisecond)
		}
		fresh.expect("readyz", "ERR")
		fresh.expect("evacuate", "ERR")
		fresh.Process.Signal(how)
		<-fresh.ended
		old.expect("readyz", "OK")
	}
	if _, turnedBack := end(); turnedBack > 0 {
		t.Errorf("%d turned back", turnedBack)
	}
	// Told to end together the new one, which the platform takes for the node, is not the first to go.
	fresh := s.startProcess(silent.Addr().String())
	for fresh.command("readyz") == "" {
		time.Sleep(10 * time.Millisecond)
	}
	fresh.Process.Signal(syscall.SIGTERM)
	old.Process.Signal(syscall.SIGTERM)
	old.expectEnd()
	fresh.expectEnd()
	if early := old.endedAt.Sub(fresh.endedAt); early > time.Second {
		t.Errorf("the new process ended %v before the old one", early)
	}
}

// TestNeitherSideStarvesTheOther: operators get their answers within a second while hundreds of clients' connections say
// nothing and others work; and clients get theirs while hundreds of operators' connections send no whole line and others
// call without a pause.
func TestNeitherSideStarvesTheOther(t *testing.T) {
	s := newUpgradedNode(t)
	node := s.startProcess(s.discovery)
	node.waitFor("readyz", 5*time.Second)
	end := s.load(12)
	stall := func(address, text string) {
		for range 300 {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, text)
		}
	}
	slowest := time.Duration(0)
	ask := func() {
		for range 20 {
			start := time.Now()
			node.expect("readyz", "OK")
			node.metrics()
			slowest = max(slowest, time.Since(start)/2)
		}
	}
	go stall(s.listener.Addr().String(), "POST /look HTTP/1.1\r\nHost: h")
	ask()
	stall(node.admin, "exclude w")
	ask()
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(callRepeatedly(node))
	}
	calls.Wait()
	if slowest > time.Second {
		t.Errorf("operators waited for %v", slowest)
	}
	if f := node.metrics(); f.ServersExcluded != 0 {
		t.Errorf("half a line was carried out: %+v", f)
	}
	if answered, turnedBack := end(); turnedBack > 0 || answered < 100 {
		t.Errorf("%d answered, %d turned back", answered, turnedBack)
	}
	if used := node.descriptors(); used > nodeSockets {
		t.Errorf("%d descriptors", used)
	}
	node.Process.Kill()
}

// callRepeatedly calls without a pause.
func callRepeatedly(p *process) func() {
	return func() {
		for range 100 {
			p.expect("telemetry", "{")
		}
	}
}
