// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// serveTimeout is how long a process may take until it serves.
	serveTimeout = 20 * time.Second
	// exitTimeout is how long a process may take to end when it was told to.
	exitTimeout = 8 * time.Second
	// servesMessage is what a process logs when it serves.
	servesMessage = `"node serves"`
)

// processStarts are functions that start processes. One thread runs them all and lives as long as this process.
var processStarts = sync.OnceValue(func() chan func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// startProcess starts a process that the kernel kills when this one ends, however it does. A test that is killed,
// or runs out of time, would else leave processes behind that take ports and processor time from the next.
func startProcess(p *exec.Cmd) error {
	// The signal is sent at the end of the thread that started the process, so that must not end before.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	processStarts() <- func() { started <- p.Start() }
	return <-started
}

// Start starts the node's process. It does not wait until that serves.
func (n *Node) Start() {
	n.cluster.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	configPath := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(configPath, n.configuration(), 0o600); err != nil {
		n.cluster.Fatal(err)
	}
	logFile, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.cluster.Fatal(err)
	}
	p := n.command(configPath, logFile)
	if err := startProcess(p); err != nil {
		n.cluster.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = p.Wait() // processes are killed by tests, and how they end otherwise shows in their logs
		logFile.Close()
		close(exited)
	}()
	if n.cluster.plan.Cores > 0 {
		go limitProcessor(p.Process, n.cluster.plan.Cores, n.pauses, exited)
	}
	n.process = p
	n.exited = exited
}

// command is how the node's process is started.
func (n *Node) command(configPath string, logFile *os.File) *exec.Cmd {
	plan := n.cluster.plan
	p := exec.Command(plan.Program[0], plan.Program[1:]...)
	p.Env = append(os.Environ(), plan.Env...)
	p.Env = append(p.Env, n.Env...)
	p.Env = append(p.Env,
		"EDGE_CONFIG="+configPath,
		"EDGE_LOG="+n.cluster.logLevel(),
		"TMPDIR="+n.dir,
		"EDGE_LISTEN_FD=3",
	)
	p.ExtraFiles = []*os.File{n.socket} // the first of them has descriptor 3
	p.Stdout = logFile
	p.Stderr = logFile
	return p
}

// logLevel is the lowest level that processes log.
func (c *Cluster) logLevel() string {
	if c.plan.Quiet {
		return "warn"
	}
	return "info"
}

// Upgrade starts a second process on the node's socket, and tells the first to end once the second serves.
func (n *Node) Upgrade() {
	n.cluster.Helper()
	n.mu.Lock()
	old, exited := n.process.Process, n.exited
	n.mu.Unlock()
	// Kill knows the second process alone; the test may end before that serves.
	n.cluster.Cleanup(func() { _ = old.Kill() }) // it may have ended
	before := n.timesServed()
	n.Admin = n.cluster.unusedAddress() // the first process still has its own
	n.Start()
	n.cluster.Until("the second process serves", serveTimeout, func() bool { return n.timesServed() > before })
	n.endWithin(old, exited, syscall.SIGTERM, fmt.Sprintf("the first process of %s does not end", n.Name))
}

// timesServed returns how many of the node's processes have served.
func (n *Node) timesServed() int { return strings.Count(n.Log(), servesMessage) }

// Signal sends a signal to the process, if there is one.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s) // it may have ended
	}
}

// Kill ends the process at once, stopped or not, and waits for its end.
func (n *Node) Kill() { n.endProcess(syscall.SIGKILL) }

// Terminate tells the process to end, and waits until it has.
func (n *Node) Terminate() { n.endProcess(syscall.SIGTERM) }

func (n *Node) endProcess(by syscall.Signal) {
	n.mu.Lock()
	p, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if p != nil {
		n.endWithin(p.Process, exited, by, n.Name+" did not end")
	}
}

// endWithin sends a signal to a process and waits for its end. One that does not end in time is killed, and the
// test fails.
func (n *Node) endWithin(p *os.Process, exited <-chan struct{}, by syscall.Signal, failure string) {
	_ = p.Signal(by) // it may have ended
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		_ = p.Kill() // it may have ended just now
		<-exited
		n.cluster.Error(failure)
	}
}

// LoseDisk removes the state of the node's voter. Its process must have ended.
func (n *Node) LoseDisk() {
	if err := os.RemoveAll(n.defaultVoterDir()); err != nil {
		n.cluster.Error(err)
	}
}

// Running reports whether the node has a process that has not ended.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}
