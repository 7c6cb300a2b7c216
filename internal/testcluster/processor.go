// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is between two looks at a process that is held to a share of a core.
	checkInterval = time.Millisecond
	// maxCredit is the processor time that a process may use at once after it rested.
	maxCredit = time.Millisecond
	// maxDebt bounds what a process pays back by standing still. Danger: on a busy machine this process looks late, and what the other
	// one used meanwhile would stop it for longer than the share alone ever does.
	maxDebt = 2 * time.Millisecond
)

// limitProcessor keeps a process to a share of one core until it has ended, by SIGSTOP and SIGCONT: it runs for about a millisecond and then
// stands still for the rest of its turn, as a process with a small quota does.
func limitProcessor(p *os.Process, share float64, stops <-chan time.Duration, ended <-chan struct{}) {
	credit, stopped := maxCredit, false
	then, used := time.Now(), processorTimeOf(p.Pid)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
		case span := <-stops:
			p.Signal(syscall.SIGSTOP)
			time.Sleep(span)
			stopped = true
		}
		now, usedNow := time.Now(), processorTimeOf(p.Pid)
		credit += time.Duration(share*float64(now.Sub(then))) - (usedNow - used)
		credit = max(min(credit, maxCredit), -maxDebt)
		then, used = now, usedNow
		if stop := credit < 0; stop != stopped {
			stopped = stop
			if stop {
				p.Signal(syscall.SIGSTOP)
			} else {
				p.Signal(syscall.SIGCONT)
			}
		}
	}
}

// processorTimeOf is what a process has used on all its threads, by its clock (clock_getcpuclockid of the C library); nothing once it
// has ended.
func processorTimeOf(pid int) time.Duration {
	const scheduler = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|scheduler), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Pause has the node's process stand still for a while. The plan holds it to a share of a core.
func (n *Node) Pause(span time.Duration) { n.pauses <- span }

// ProcessorTime is what the node's process has used so far.
func (n *Node) ProcessorTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return processorTimeOf(n.process.Process.Pid)
}
