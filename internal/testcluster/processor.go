// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two checks of a process that is limited to a fraction of a core.
	checkInterval = time.Millisecond
	// maxCredit is the processor time that a process may use without a stop after it was idle.
	maxCredit = time.Millisecond
	// maxDebt limits the overuse that a process makes up for by being stopped. On a busy machine the check
	// runs late; the processor time that was used meanwhile would otherwise stop the process for longer
	// than its fraction of a core ever requires.
	maxDebt = 2 * time.Millisecond
)

// processorLimit limits a process to a fraction of one core.
type processorLimit struct {
	process   *os.Process
	coreShare float64
	credit    time.Duration // processor time that the process may use now; below 0: the process is stopped
	stopped   bool
	lastCheck time.Time
	lastUsed  time.Duration // processor time used up to lastCheck
}

// limitProcessor limits a process to a fraction of one core, by SIGSTOP and SIGCONT, until the process has
// exited. The process runs for about a millisecond and is then stopped for the rest of its period, as under
// a small CPU quota. In addition it is stopped for each duration received from pauses.
func limitProcessor(p *os.Process, coreShare float64, pauses <-chan time.Duration, exited <-chan struct{}) {
	l := &processorLimit{
		process:   p,
		coreShare: coreShare,
		credit:    maxCredit,
		lastCheck: time.Now(),
		lastUsed:  processorTimeOf(p.Pid),
	}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-exited:
			return
		case <-tick.C:
		case span := <-pauses:
			l.stop()
			time.Sleep(span)
		}
		l.update()
	}
}

// update adds the allowed processor time for the time that has passed, subtracts the used one, and stops or
// continues the process.
func (l *processorLimit) update() {
	now, used := time.Now(), processorTimeOf(l.process.Pid)
	l.credit += time.Duration(l.coreShare*float64(now.Sub(l.lastCheck))) - (used - l.lastUsed)
	l.credit = max(min(l.credit, maxCredit), -maxDebt)
	l.lastCheck = now
	l.lastUsed = used
	stop := l.credit < 0
	if stop && !l.stopped {
		l.stop()
	}
	if !stop && l.stopped {
		l.resume()
	}
}

func (l *processorLimit) stop() {
	l.stopped = true
	_ = l.process.Signal(syscall.SIGSTOP) // fails if the process has exited
}

func (l *processorLimit) resume() {
	l.stopped = false
	_ = l.process.Signal(syscall.SIGCONT) // fails if the process has exited
}

// processorTimeOf returns the processor time that all threads of a process have used, or 0 once it has
// exited. The clock id is computed as by clock_getcpuclockid of the C library.
func processorTimeOf(pid int) time.Duration {
	const schedulerClock = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|schedulerClock), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Pause stops the node's process for a time. The plan must limit processes to a fraction of a core.
func (n *Node) Pause(span time.Duration) { n.pauses <- span }

// ProcessorTime returns the processor time that the node's process has used.
func (n *Node) ProcessorTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return processorTimeOf(n.process.Process.Pid)
}
