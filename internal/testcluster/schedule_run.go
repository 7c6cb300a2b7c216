// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"syscall"
	"time"
)

// RunSchedule plays a schedule, and then ends what still lasts: links are healed, and every node has a process that
// runs.
func (c *Cluster) RunSchedule(s Schedule) {
	c.Helper()
	began := time.Now()
	for _, step := range s {
		c.Until("the time of a step", step.At+time.Second, func() bool { return time.Since(began) >= step.At })
		c.runStep(step)
	}
	for _, n := range c.Nodes {
		c.repair(n)
	}
}

// runStep does one step.
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
		c.Fatalf("%s is no kind of step", step.Kind)
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
