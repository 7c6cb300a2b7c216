// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Node is one process that the deploy file's run command starts.
type Node struct {
	Listen  string // where clients connect
	command *exec.Cmd
	exited  chan struct{}
}

// FreeAddress returns a loopback address that nobody listens on.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// StartNode writes the configuration into dir and starts the run command of the deploy file, which the
// environment variable NODE_RUN holds, with it. The kernel kills the process when this one ends.
func StartNode(dir string, configuration Object) (*Node, error) {
	return StartNodeWith(dir, configuration, nil, nil)
}

// StartNodeWith is like StartNode, with further environment variables, and with files that the process
// inherits as descriptors from 3 on.
func StartNodeWith(dir string, configuration Object, env []string, files []*os.File) (*Node, error) {
	text, err := json.MarshalIndent(configuration, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	logPath := filepath.Join(dir, "node.log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	run := os.Getenv("NODE_RUN")
	if run == "" {
		return nil, fmt.Errorf("NODE_RUN is not set")
	}
	n := &Node{
		Listen:  configuration["listen"].(string),
		command: exec.Command("/bin/sh", "-c", run),
		exited:  make(chan struct{}),
	}
	n.command.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_LOG=trace", "TMPDIR="+dir)
	n.command.Env = append(n.command.Env, env...)
	n.command.ExtraFiles = files
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // the kernel ends the process with the thread that started it
		started <- n.command.Start()
		_ = n.command.Wait()
		log.Close()
		close(n.exited)
		select {}
	}()
	return n, <-started
}

// WaitReady waits until the node takes clients.
func (n *Node) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.Listen + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node at %s is not ready after %v", n.Listen, limit)
}

// Signal sends a signal to the node.
func (n *Node) Signal(s syscall.Signal) error { return n.command.Process.Signal(s) }

// Pid returns the process id of the node.
func (n *Node) Pid() int { return n.command.Process.Pid }

// Running reports whether the node has not exited.
func (n *Node) Running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// WaitExit waits until the node has exited, and reports whether it has within a limit.
func (n *Node) WaitExit(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// WaitYes waits until the node answers readyz at its address for operators with yes.
func WaitYes(admin string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := Call(admin, "readyz")
		if err == nil && strings.HasPrefix(answer, "OK") {
			return nil
		}
	}
	return fmt.Errorf("no yes from %s after %v", admin, limit)
}

// Call makes one call of an operator.
func Call(admin, line string) (answer string, err error) {
	c, err := net.DialTimeout("tcp", admin, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	text, err := io.ReadAll(c)
	return string(text), err
}

// Kill ends the node and waits until it has exited.
func (n *Node) Kill() {
	_ = n.command.Process.Kill()
	<-n.exited
}
