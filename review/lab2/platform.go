// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errSetup wraps the reason why a case could not run.
var errSetup = errors.New("the case could not run")

// record is the protocol of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes one line with the time since the start of the run in seconds.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := time.Since(r.start).Seconds()
	fmt.Fprintf(r.file, "%9.4f  %s\n", elapsed, fmt.Sprintf(format, arguments...))
}

// platform starts the nodes of a run and ends them.
type platform struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary folder of the run
	command string // run of the deploy file
	trouble bool

	mu        sync.Mutex
	processes []*process
}

// process is one process of a node.
type process struct {
	name     string
	cmd      *exec.Cmd
	exited   chan struct{}
	admin    string
	platform *platform
}

// newPlatform reads the run command of a deploy file.
func newPlatform(rec *record, root, deploy string, trouble bool) (*platform, error) {
	text, err := os.ReadFile(filepath.Join(root, deploy))
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, root: root, trouble: trouble}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, `run = "`); found {
			p.command = strings.TrimSuffix(strings.TrimSpace(value), `"`)
		}
	}
	if p.command == "" {
		return nil, fmt.Errorf("%s has no run command", deploy)
	}
	p.dir, err = os.MkdirTemp("", "fernrail-review-")
	return p, err
}

// processPlan is how one process of a node is started.
type processPlan struct {
	name     string
	config   map[string]any
	admin    string
	tmp      string   // TMPDIR
	listener *os.File // inherited as descriptor 5; nil: the node opens its listener itself
	log      string   // name of the log file
}

// start starts a process of a node as the platform does: by /bin/sh, from the root of the repository.
func (p *platform) start(plan processPlan) (*process, error) {
	text, err := json.MarshalIndent(plan.config, "", " ")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(p.dir, plan.log+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", p.command)
	cmd.Dir = p.root
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_NAME="+plan.name, "EDGE_LOG=debug",
		"EDGE_ADMIN_ADDR="+plan.admin, "TMPDIR="+plan.tmp)
	if plan.listener != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		cmd.ExtraFiles = []*os.File{null, null, plan.listener}
		cmd.Env = append(cmd.Env, "EDGE_LISTEN_FD=5")
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: plan.name, cmd: cmd, exited: make(chan struct{}), admin: plan.admin, platform: p}
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	go started.follow(bufio.NewScanner(output), plan)
	p.rec.add("node %s: process %d started", plan.name, cmd.Process.Pid)
	return started, nil
}

// follow copies the log of a process to a file and waits for its end.
func (s *process) follow(lines *bufio.Scanner, plan processPlan) {
	defer close(s.exited)
	file, err := os.Create(filepath.Join(s.platform.dir, plan.log+".log"))
	if err == nil {
		defer file.Close()
	}
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fmt.Fprintln(file, lines.Text())
	}
	err = s.cmd.Wait()
	s.platform.rec.add("node %s: process %d ended: %v", s.name, s.cmd.Process.Pid, err)
}

// signal sends a signal to the process and records it.
func (s *process) signal(signal syscall.Signal) {
	s.platform.rec.add("node %s: process %d gets %v", s.name, s.cmd.Process.Pid, signal)
	_ = s.cmd.Process.Signal(signal)
}

// hasExited reports whether the process has ended.
func (s *process) hasExited() bool {
	select {
	case <-s.exited:
		return true
	default:
		return false
	}
}

// call makes one call of an operator and returns the answer without its last line break.
func (s *process) call(line string) string {
	conn, err := net.DialTimeout("tcp", s.admin, time.Second)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(conn, line)
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer: " + err.Error()
	}
	return strings.TrimSpace(answer)
}

// awaitReady waits until the process says yes to readyz.
func (s *process) awaitReady(within time.Duration) error {
	answer := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer = s.call("readyz"); answer == "OK" {
			s.platform.rec.add("node %s: process %d says yes", s.name, s.cmd.Process.Pid)
			return nil
		}
		if s.hasExited() {
			break
		}
	}
	return fmt.Errorf("%w: node %s is not ready: %s", errSetup, s.name, answer)
}

// end kills all processes that still run and removes the temporary folder.
func (p *platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.processes {
		if !s.hasExited() {
			_ = s.cmd.Process.Kill()
		}
	}
	for _, s := range p.processes {
		select {
		case <-s.exited:
		case <-time.After(2 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

// tempDir returns a new folder inside the temporary folder of the run.
func (p *platform) tempDir(name string) (string, error) {
	dir := filepath.Join(p.dir, name)
	return dir, os.MkdirAll(dir, 0o700)
}

// addresses counts the calls of freeAddress.
var addresses atomic.Int64

// freeAddress returns a loopback address that is free now. Each has a host of its own, so that no connection
// of another process can take its port.
func freeAddress() (string, error) {
	const hosts, networks = 250, 64
	number := int(addresses.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", networks+os.Getpid()%networks, number/hosts, number%hosts+1)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
