// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"syscall"
	"time"
)

// RunSchedule has all that happen, and then ends what still lasts: links are healed, and every node of the fleet has a process.
func (r *Cluster) RunSchedule(s Schedule) {
	r.Helper()
	began := time.Now()
	for _, step := range s {
		r.Until("the time of a step", step.At+time.Second, func() bool { return time.Since(began) >= step.At })
		n := r.Nodes[step.Node]
		switch step.Kind {
		case "kill":
			n.Kill()
		case "end":
			n.Terminate()
		case "start":
			if !n.Running() {
				n.Start()
			}
		case "forget":
			n.Kill()
			n.LoseDisk()
		case "stop":
			n.Signal(syscall.SIGSTOP)
		case "go":
			n.Signal(syscall.SIGCONT)
		case "upgrade":
			n.Upgrade()
		case "cut":
			n.VoterRelay(step.Other).Cut(step.Direction)
		case "heal":
			n.VoterRelay(step.Other).Heal()
		case "delay":
			n.VoterRelay(step.Other).Delay(step.Direction, step.Delay)
		case "reset":
			n.VoterRelay(step.Other).Reset()
		case "replay":
			n.VoterRelay(step.Other).Replay()
		default:
			r.Fatalf("%s is no kind of step", step.Kind)
		}
	}
	for _, n := range r.Nodes {
		for i := range r.plan.Voters {
			n.VoterRelay(i).Heal()
			n.VoterRelay(i).Delay(Forward, 0)
			n.VoterRelay(i).Delay(Backward, 0)
		}
		n.Signal(syscall.SIGCONT)
		if !n.Running() {
			n.Start()
		}
	}
}
