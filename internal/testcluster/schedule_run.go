// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"syscall"
	"time"
)

// RunSchedule executes a schedule and then ends all remaining faults: it heals the links and gives every
// node a running process.
func (c *Cluster) RunSchedule(s Schedule) {
	c.Helper()
	began := time.Now()
	for _, step := range s {
		c.Until("the start time of the next step is reached", step.At+time.Second, func() bool {
			return time.Since(began) >= step.At
		})
		c.runStep(step)
	}
	for _, n := range c.Nodes {
		c.repair(n)
	}
}

// runStep executes one step.
func (c *Cluster) runStep(step Step) {
	c.Helper()
	n := c.Nodes[step.Node]
	switch step.Kind {
	case FaultKill:
		n.Kill()
	case FaultEnd:
		n.Terminate()
	case FaultStart:
		n.startIfDown()
	case FaultLoseDisk:
		n.Kill()
		n.LoseDisk()
	case FaultStop:
		n.Signal(syscall.SIGSTOP)
	case FaultContinue:
		n.Signal(syscall.SIGCONT)
	case FaultUpgrade:
		n.Upgrade()
	case FaultCut:
		n.VoterRelay(step.Other).Cut(step.Direction)
	case FaultHeal:
		n.VoterRelay(step.Other).Heal()
	case FaultDelay:
		n.VoterRelay(step.Other).Delay(step.Direction, step.Delay)
	case FaultReset:
		n.VoterRelay(step.Other).Reset()
	case FaultReplay:
		n.VoterRelay(step.Other).Replay()
	default:
		c.Fatalf("unknown kind of step %q", step.Kind)
	}
}

// repair ends all faults of a node.
func (c *Cluster) repair(n *Node) {
	for i := range c.plan.Voters {
		n.VoterRelay(i).Heal()
		n.VoterRelay(i).Delay(Forward, 0)
		n.VoterRelay(i).Delay(Backward, 0)
	}
	n.Signal(syscall.SIGCONT)
	n.startIfDown()
}

func (n *Node) startIfDown() {
	if !n.Running() {
		n.Start()
	}
}
