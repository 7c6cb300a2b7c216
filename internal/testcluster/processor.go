// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two looks at a process that is held to a share of a core.
	checkInterval = time.Millisecond
	// maxCredit is the processor time that a process may use at once after it was idle.
	maxCredit = time.Millisecond
	// maxDebt bounds what a process pays back by standing still. On a busy machine this process looks late, and
	// what the other one used meanwhile would else stop it for longer than the share alone ever does.
	maxDebt = 2 * time.Millisecond
)

// processorLimit holds a process to a share of one core.
type processorLimit struct {
	process *os.Process
	share   float64
	credit  time.Duration // processor time that it may use now; below 0: it stands still
	stopped bool
	lastAt  time.Time
	lastUse time.Duration // processor time used up to lastAt
}

// limitProcessor holds a process to a share of one core until it has ended, by SIGSTOP and SIGCONT: it runs for
// about a millisecond and then stands still for the rest of its turn, as a process with a small quota does. pauses
// are spans for which it is to stand still as well.
func limitProcessor(p *os.Process, share float64, pauses <-chan time.Duration, exited <-chan struct{}) {
	l := &processorLimit{
		process: p,
		share:   share,
		credit:  maxCredit,
		lastAt:  time.Now(),
		lastUse: processorTimeOf(p.Pid),
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

// update credits the share of the time that has passed, and stops or continues the process.
func (l *processorLimit) update() {
	now, use := time.Now(), processorTimeOf(l.process.Pid)
	l.credit += time.Duration(l.share*float64(now.Sub(l.lastAt))) - (use - l.lastUse)
	l.credit = max(min(l.credit, maxCredit), -maxDebt)
	l.lastAt = now
	l.lastUse = use
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
	_ = l.process.Signal(syscall.SIGSTOP) // it may have ended
}

func (l *processorLimit) resume() {
	l.stopped = false
	_ = l.process.Signal(syscall.SIGCONT) // it may have ended
}

// processorTimeOf returns the processor time that all threads of a process have used; nothing once it has ended.
// The number of its clock is what clock_getcpuclockid of the C library computes.
func processorTimeOf(pid int) time.Duration {
	const schedulerClock = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|schedulerClock), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Pause has the node's process stand still for a while. The plan must hold it to a share of a core.
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
