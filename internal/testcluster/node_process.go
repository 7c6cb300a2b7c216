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
	// serveTimeout is the maximum time from the start of a process until it serves.
	serveTimeout = 20 * time.Second
	// exitTimeout is the maximum time that a process may take to exit after a signal.
	exitTimeout = 8 * time.Second
	// servesMessage is the message that a process logs when it starts to serve.
	servesMessage = `"node serves"`
)

// processStarts takes functions that start processes. One OS thread runs them all; it never ends before this
// process does.
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

// startProcess starts a process that the kernel kills when this process ends for any reason. Otherwise a
// test that is killed or times out would leave processes behind, which occupy ports and processor time that
// later tests need.
func startProcess(p *exec.Cmd) error {
	// The kernel sends the signal when the thread that started the process ends, so that thread must not
	// end earlier.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	processStarts() <- func() { started <- p.Start() }
	return <-started
}

// Start starts the node's process. It does not wait until the process serves.
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
		_ = p.Wait() // tests kill processes; any other exit shows in the log of the process
		logFile.Close()
		close(exited)
	}()
	if n.cluster.plan.Cores > 0 {
		go limitProcessor(p.Process, n.cluster.plan.Cores, n.pauses, exited)
	}
	n.process = p
	n.exited = exited
}

// command returns the command that starts the node's process.
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
	p.ExtraFiles = []*os.File{n.socket} // the first file gets descriptor 3
	p.Stdout = logFile
	p.Stderr = logFile
	return p
}

// logLevel returns the lowest level that processes log.
func (c *Cluster) logLevel() string {
	if c.plan.Quiet {
		return "warn"
	}
	return "info"
}

// Upgrade starts a second process on the node's socket and sends SIGTERM to the first once the second serves.
func (n *Node) Upgrade() {
	n.cluster.Helper()
	n.mu.Lock()
	old, exited := n.process.Process, n.exited
	n.mu.Unlock()
	// Kill ends only the second process, and the test may end before that one serves.
	n.cluster.Cleanup(func() { _ = old.Kill() }) // fails if the process has exited
	servedBefore := n.timesServed()
	n.Admin = n.cluster.unusedAddress() // the first process still listens at the previous address
	n.Start()
	n.cluster.Until("the second process serves", serveTimeout, func() bool {
		return n.timesServed() > servedBefore
	})
	n.endAndWait(old, exited, syscall.SIGTERM,
		fmt.Sprintf("first process of %s did not exit after SIGTERM", n.Name))
}

// timesServed returns the number of the node's processes that have started to serve.
func (n *Node) timesServed() int { return strings.Count(n.Log(), servesMessage) }

// Signal sends a signal to the node's process, if there is one.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s) // fails if the process has exited
	}
}

// Kill kills the process, stopped or not, and waits until it has exited.
func (n *Node) Kill() { n.endProcess(syscall.SIGKILL) }

// Terminate sends SIGTERM to the process and waits until it has exited.
func (n *Node) Terminate() { n.endProcess(syscall.SIGTERM) }

func (n *Node) endProcess(signal syscall.Signal) {
	n.mu.Lock()
	p, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if p != nil {
		n.endAndWait(p.Process, exited, signal, n.Name+" did not exit after the signal")
	}
}

// endAndWait sends a signal to a process and waits until it has exited. If the process does not exit within
// exitTimeout, it is killed and the test fails.
func (n *Node) endAndWait(p *os.Process, exited <-chan struct{}, signal syscall.Signal, failure string) {
	_ = p.Signal(signal) // fails if the process has exited
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		_ = p.Kill() // fails if the process has just exited
		<-exited
		n.cluster.Error(failure)
	}
}

// LoseDisk removes the stored state of the node's voter. The process must have exited.
func (n *Node) LoseDisk() {
	if err := os.RemoveAll(n.defaultVoterDir()); err != nil {
		n.cluster.Error(err)
	}
}

// Running reports whether the node has a process that has not exited.
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
