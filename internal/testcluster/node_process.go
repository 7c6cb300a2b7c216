// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processStarts are processes to be started. All are by one thread that lives as long as this process.
var processStarts = sync.OnceValue(func() chan func() {
	all := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range all {
			start()
		}
	}()
	return all
})

// startProcess starts a process that the kernel ends when this one ends, however it does.
// Danger: a test that is killed, or runs out of time, leaves fleets behind that take ports and processor time from the next.
func startProcess(p *exec.Cmd) (err error) {
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // sent at the end of the thread that started it
	done := make(chan struct{})
	processStarts() <- func() {
		err = p.Start()
		close(done)
	}
	<-done
	return err
}

// logLevel is the least that processes log.
func (r *Cluster) logLevel() string {
	if r.plan.Quiet {
		return "warn"
	}
	return "info"
}

// Start starts the node's process. It does not wait until it serves.
func (n *Node) Start() {
	n.cluster.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path, n.configuration(), 0o600); err != nil {
		n.cluster.Fatal(err)
	}
	n.logPath = filepath.Join(n.dir, "log")
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.cluster.Fatal(err)
	}
	p := exec.Command(n.cluster.plan.Program[0], n.cluster.plan.Program[1:]...)
	p.Env = append(append(append(os.Environ(), n.cluster.plan.Env...), n.Env...), "EDGE_CONFIG="+path, "EDGE_LOG="+n.cluster.logLevel(), "TMPDIR="+n.dir, "EDGE_LISTEN_FD=3")
	p.ExtraFiles = []*os.File{n.socket}
	p.Stdout, p.Stderr = out, out
	if err := startProcess(p); err != nil {
		n.cluster.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		p.Wait()
		out.Close()
		close(ended)
	}()
	if share := n.cluster.plan.Cores; share > 0 {
		go limitProcessor(p.Process, share, n.pauses, ended)
	}
	n.process, n.exited, n.logFile = p, ended, out
}

// Upgrade starts a second process on the node's socket, and tells the first to end once that serves.
func (n *Node) Upgrade() {
	n.cluster.Helper()
	n.mu.Lock()
	old, ended := n.process, n.exited
	n.mu.Unlock()
	// Danger: a test that ends before the second process serves; the first is nobody's by then, and stays for good.
	n.cluster.Cleanup(func() { old.Process.Kill() })
	lines := strings.Count(n.Log(), `"node serves"`)
	n.Admin = n.cluster.unusedAddress() // the first one's is still its own
	n.Start()
	n.cluster.Until("the second process serves", 20*time.Second, func() bool { return strings.Count(n.Log(), `"node serves"`) > lines })
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		old.Process.Kill()
		n.cluster.Errorf("the first process of %s does not end", n.Name)
	}
}

// Signal sends one to the process, if there is one.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Process.Signal(s)
	}
}

// Kill ends the process at once, stopped or not, and waits for its end.
func (n *Node) Kill() { n.endProcess(syscall.SIGKILL) }

// Terminate tells the process to end, and waits for it.
func (n *Node) Terminate() { n.endProcess(syscall.SIGTERM) }

func (n *Node) endProcess(by syscall.Signal) {
	n.mu.Lock()
	p, ended := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.Process.Signal(by)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		p.Process.Kill()
		<-ended
		n.cluster.Errorf("%s did not end", n.Name)
	}
}

// LoseDisk loses what the node has on disk. Its process must have ended.
func (n *Node) LoseDisk() {
	if err := os.RemoveAll(filepath.Join(n.dir, "seat")); err != nil {
		n.cluster.Error(err)
	}
}

// Running says whether the node has a process that has not ended.
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
