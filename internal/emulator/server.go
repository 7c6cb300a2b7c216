// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"math"
	"slices"

	"fernrail/internal/invariants"
)

// server is the truth about one worker. Its jobs share its cores; the rest waits in order.
type server struct {
	world       *world
	id          string
	zone        int
	machineType *MachineType
	speed       float64

	up, draining, hung bool
	startedAt          int64 // its latest start; 0: long ago, and warm
	incarnation        int   // starts, ever: what an earlier life had is gone
	slowdown           float64
	errorRate          float64 // share of jobs that fail at once
	failingClass       string  // of this scheme alone
	running, waiting   []*job
	usedSlots          int // in use
	connections        int
	advancedUntil      int64      // until when the running jobs have been worked on
	nextStep           *event     // the next end or change of pace
	slowStartSends     []sentWork // while cold
}

type sentWork struct {
	at   int64
	work float64
}

// job is one posting as its executor has it.
type job struct {
	request   *request
	slots     int
	remaining float64 // work, in ns on a core of speed one
	attempt   int
	report    func(jobEvent) // to the node, over the network
	canceled  bool
}

// jobEvent is what an executor says of a job.
type jobEvent int

const (
	jobStarted jobEvent = iota
	jobProgressed
	jobSucceeded
	jobFailed
	jobRejected
	jobConnectionReset
)

// capacityShare is the share of its capacity that it has now.
func (e *server) capacityShare() float64 {
	r := &e.world.scenario.Rules
	age := e.world.now - e.startedAt
	if e.startedAt == 0 || age >= int64(r.SlowStart) {
		return 1
	}
	return r.SlowStartShare + (1-r.SlowStartShare)*float64(age)/float64(r.SlowStart)
}

// slotSpeed is how much work each running slot gets done in a nanosecond.
func (e *server) slotSpeed() float64 {
	if e.hung || e.usedSlots == 0 {
		return 0
	}
	return e.speed * e.capacityShare() / max(e.slowdown, 1) * min(1, e.machineType.Cores/float64(e.usedSlots))
}

// advance brings the running jobs up to now.
func (e *server) advance() {
	done := float64(e.world.now-e.advancedUntil) * e.slotSpeed()
	for _, j := range e.running {
		j.remaining -= done
	}
	e.advancedUntil = e.world.now
}

// scheduleStep sees to the next end, and looks again while the pace changes by itself.
func (e *server) scheduleStep() {
	if e.nextStep != nil {
		e.nextStep.canceled = true
		e.nextStep = nil
	}
	e.advance()
	pace := e.slotSpeed()
	if len(e.running) == 0 || pace == 0 {
		return
	}
	least := math.Inf(1)
	for _, j := range e.running {
		least = min(least, j.remaining)
	}
	span := int64(max(math.Ceil(least/pace), 1))
	if e.capacityShare() < 1 {
		span = min(span, int64(e.world.scenario.Rules.SlowStart)/64)
	}
	e.nextStep = e.world.after(span, e.completeJobs)
}

// completeJobs ends what is done, begins what fits, and plans on.
func (e *server) completeJobs() {
	e.advance()
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.remaining > 1e-6 {
			return false
		}
		e.usedSlots -= j.slots
		e.world.completedWork += j.request.work
		e.world.recordEffect(j)
		if !j.canceled {
			j.report(jobSucceeded)
		}
		return true
	})
	e.startWaitingJobs()
}

func (e *server) startWaitingJobs() {
	for len(e.waiting) > 0 && e.usedSlots+e.waiting[0].slots <= e.machineType.Slots && !e.hung {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.advance()
		e.running, e.usedSlots = append(e.running, j), e.usedSlots+j.slots
		if e.world.scenario.Rules.StartNotices {
			j.report(jobStarted)
		}
		e.scheduleProgress(j, e.incarnation)
	}
	e.scheduleStep()
}

// scheduleProgress tells of a running job while the executor does not stand still.
func (e *server) scheduleProgress(j *job, life int) {
	period := int64(e.world.scenario.Rules.ProgressInterval)
	if period == 0 {
		return
	}
	e.world.after(period, func() {
		if e.incarnation == life && e.up && j.remaining > 0 && !j.canceled && slices.Contains(e.running, j) {
			if !e.hung {
				j.report(jobProgressed)
			}
			e.scheduleProgress(j, life)
		}
	})
}

// accept is what comes over a connection.
func (e *server) accept(j *job) {
	if !e.up || !e.recordSlowStartWork(j) {
		return
	}
	if e.hung {
		e.waiting = append(e.waiting, j)
		return
	}
	if e.draining || j.slots > e.machineType.Slots || len(e.waiting) >= e.machineType.QueueLimit && e.usedSlots+j.slots > e.machineType.Slots {
		j.report(jobRejected)
		return
	}
	if e.world.isDeduplicated(j) {
		j.report(jobSucceeded)
		return
	}
	if j.request.failsEverywhere || e.errorRate > 0 && (e.failingClass == "" || e.failingClass == j.request.class.Name) && e.world.random.Float64() < e.errorRate {
		if e.world.random.IntN(2) == 0 { // what failed may have done its work all the same
			e.world.recordEffect(j)
		}
		e.world.after(int64(2e6), func() { j.report(jobFailed) })
		return
	}
	e.waiting = append(e.waiting, j)
	e.startWaitingJobs()
}

// recordSlowStartWork counts what a cold executor is sent; too much in any window, and it falls over for good.
func (e *server) recordSlowStartWork(j *job) bool {
	if e.capacityShare() == 1 {
		return true
	}
	r := &e.world.scenario.Rules
	e.world.slowStartWork += j.request.work
	e.slowStartSends = slices.DeleteFunc(append(e.slowStartSends, sentWork{e.world.now, j.request.work}), func(l sentWork) bool { return e.world.now-l.at > int64(r.OverloadWindow) })
	sum := 0.0
	for _, l := range e.slowStartSends {
		sum += l.work
	}
	// The judge's budget is stated; a machine falls when well beyond it.
	if sum > 1.5*r.OverloadFactor*e.capacityShare()*float64(e.machineType.Slots)*float64(r.OverloadWindow) {
		e.world.overloadCount++
		e.stop(false)
		return false
	}
	return true
}

// cancel takes a job back, as far as this kind does so.
func (e *server) cancel(j *job) {
	j.canceled = true
	if e.machineType.Cancel == "none" {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(x *job) bool { return x == j })
	if e.machineType.Cancel == "all" {
		e.advance()
		e.running = slices.DeleteFunc(e.running, func(x *job) bool {
			if x == j {
				e.usedSlots -= j.slots
			}
			return x == j
		})
		e.startWaitingJobs()
	}
}

// stop ends the process. Loud, its connections are reset; silent, nobody hears of it.
func (e *server) stop(silent bool) {
	e.advance()
	e.up, e.draining, e.hung, e.connections = false, false, false, 0
	e.incarnation++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.usedSlots, e.slowStartSends = nil, nil, 0, nil
	e.scheduleStep()
	if !silent {
		for _, j := range lost {
			j.report(jobConnectionReset)
		}
	}
}

// start begins a new life, cold.
func (e *server) start() {
	if e.up {
		return
	}
	e.up, e.startedAt, e.advancedUntil, e.slowdown, e.errorRate, e.failingClass = true, e.world.now, e.world.now, 0, 0, ""
	e.world.log(invariants.Event{Kind: invariants.ServerStarted, Server: e.id})
}
