// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernrail/internal/metrics"
)

// TestMain runs a node instead of the tests if FERNRAIL_TEST_NODE is set, so that tests can start nodes as
// processes.
func TestMain(m *testing.M) {
	if os.Getenv("FERNRAIL_TEST_NODE") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node in its own process, with an admin address.
type process struct {
	*testing.T
	*exec.Cmd
	admin, config, discovery string
	exited                   chan error
	exitedAt                 time.Time // time of the exit; set before exited receives
}

// command sends a command and returns the reply, or "" if the process does not answer.
func (p *process) command(line string) string {
	c, err := net.Dial("tcp", p.admin)
	if err != nil {
		return "" // not started yet, or already exited
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c, line+"\n")
	reply, _ := io.ReadAll(c)
	return string(reply)
}

// expect sends a command and fails the test unless the reply begins with want.
func (p *process) expect(line, want string) {
	p.Helper()
	if got := p.command(line); !strings.HasPrefix(got, want) {
		p.Errorf("%s: got reply %q, want prefix %q", line, got, want)
	}
}

// reload makes the process reload its file with another discovery address, and waits for a poll at that
// address. Then it restores the file and waits until the node has an endpoint list again.
func (p *process) reload() {
	p.Helper()
	otherDiscovery, queries := fakeDiscovery(p.T)
	text, err := os.ReadFile(p.config)
	if err != nil {
		p.Fatal(err)
	}
	changed := strings.Replace(string(text), p.discovery, otherDiscovery, 1)
	if err := os.WriteFile(p.config, []byte(changed), 0o600); err != nil {
		p.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	select {
	case <-queries:
	case <-time.After(5 * time.Second):
		p.Error("no poll at the new discovery address within 5 s")
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		p.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	for start := time.Now(); p.metrics().ServersKnown == 0 && time.Since(start) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
}

// waitFor sends a command until the reply is OK.
func (p *process) waitFor(line string, within time.Duration) {
	p.Helper()
	for start := time.Now(); !strings.HasPrefix(p.command(line), "OK"); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > within {
			p.Fatalf("%s: no OK within %v", line, within)
		}
	}
}

// metrics returns the metrics of the process.
func (p *process) metrics() (f metrics.Snapshot) {
	p.Helper()
	text, complete := strings.CutSuffix(p.command("telemetry"), "\nEND\n")
	if err := json.Unmarshal([]byte(text), &f); err != nil || !complete {
		p.Errorf("telemetry: got reply %q, error %v; want JSON and END", text, err)
	}
	return f
}

// descriptors returns the number of open file descriptors of the process.
func (p *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(files)
}

// expectExit waits until the process exits, and fails the test unless the status is 0.
func (p *process) expectExit() {
	p.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.Errorf("the process exited with %v, want status 0", err)
		}
	case <-time.After(6 * time.Second):
		p.Error("the process did not exit within 6 s")
	}
}

// queryRepeatedly returns a function that sends commands without pauses.
func queryRepeatedly(p *process) func() {
	return func() {
		for range 100 {
			p.expect("telemetry", "{")
		}
	}
}

// processStatus reads a number from /proc/PID/status.
func processStatus(t *testing.T, pid int, key string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key+":"); found {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	t.Fatalf("/proc/PID/status has no key %s", key)
	return 0
}

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
