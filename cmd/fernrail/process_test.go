// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fernrail/internal/metrics"
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
)

// TestMain lets the test's binary be a node, so that two real processes can meet.
func TestMain(m *testing.M) {
	if os.Getenv("FERNRAIL_TEST_NODE") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node in a process of its own, with an address for operators.
type process struct {
	*testing.T
	*exec.Cmd
	admin, config, discovery string
	ended                    chan error
	endedAt                  time.Time // of its end, once that is told
}

// command sends an operators' command and returns the reply; "" where the process does not answer.
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

// expect sends a command, whose reply has to begin with want.
func (p *process) expect(line, want string) {
	p.Helper()
	if got := p.command(line); !strings.HasPrefix(got, want) {
		p.Errorf("%s: %q, want %q", line, got, want)
	}
}

// reload has the process read its file again, with another address of discovery, and waits until that one is asked.
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

// waitFor sends a command until the reply is OK.
func (p *process) waitFor(line string, within time.Duration) {
	p.Helper()
	for start := time.Now(); !strings.HasPrefix(p.command(line), "OK"); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > within {
			p.Fatalf("%s: no yes within %v", line, within)
		}
	}
}

// metrics returns the figures of the process.
func (p *process) metrics() (f metrics.Snapshot) {
	p.Helper()
	text, whole := strings.CutSuffix(p.command("telemetry"), "\nEND\n")
	if err := json.Unmarshal([]byte(text), &f); err != nil || !whole {
		p.Errorf("%q, %v", text, err)
	}
	return f
}

// descriptors returns how many descriptors the process holds.
func (p *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(files)
}

// expectEnd waits until the process has ended by itself, without an error.
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

// callRepeatedly sends commands without a pause.
func callRepeatedly(p *process) func() {
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
		if rest, is := strings.CutPrefix(line, key+":"); is {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	t.Fatalf("%s is not told", key)
	return 0
}

// freeAddress returns an address that nobody listens at.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
