// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"math"
	"slices"

	"fernrail/internal/invariants"
)

// server simulates one server. Running jobs share its cores; further jobs wait in order of arrival.
type server struct {
	world       *world
	id          string
	zone        int
	machineType *MachineType
	speed       float64

	up, draining, hung bool
	startedAt          int64 // latest start; 0: before the run, slow start is over
	incarnation        int   // incremented at each stop; events of an earlier incarnation are ignored
	slowdown           float64
	errorRate          float64 // share of jobs that fail immediately
	failingClass       string  // the only class that fails; empty: all
	running, waiting   []*job
	usedSlots          int
	connections        int
	advancedUntil      int64      // time up to which the progress of running jobs is accounted for
	nextStep           *event     // next completion or change of speed
	slowStartSends     []sentWork // during slow start
}

// sentWork is work that a server in slow start received, in slots times ns.
type sentWork struct {
	at   int64
	work float64
}

// job is an attempt as its server processes it.
type job struct {
	request   *request
	slots     int
	remaining float64 // work in ns on a core of speed 1
	attempt   int
	report    func(jobEvent) // sends an event to the node over the network
	canceled  bool
}

// jobEvent is a report of a server about a job.
type jobEvent int

const (
	jobStarted jobEvent = iota
	jobProgressed
	jobSucceeded
	jobFailed
	jobRejected
	jobConnectionReset
)

// capacityShare returns the share of its full capacity that the server has now; it is below 1 during slow
// start.
func (s *server) capacityShare() float64 {
	rules := &s.world.scenario.Rules
	age := s.world.now - s.startedAt
	if s.startedAt == 0 || age >= int64(rules.SlowStart) {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*float64(age)/float64(rules.SlowStart)
}

// slotSpeed returns the work that each used slot completes per nanosecond.
func (s *server) slotSpeed() float64 {
	if s.hung || s.usedSlots == 0 {
		return 0
	}
	return s.speed * s.capacityShare() / max(s.slowdown, 1) * min(1, s.machineType.Cores/float64(s.usedSlots))
}

// advance accounts for the progress of running jobs up to now.
func (s *server) advance() {
	done := float64(s.world.now-s.advancedUntil) * s.slotSpeed()
	for _, j := range s.running {
		j.remaining -= done
	}
	s.advancedUntil = s.world.now
}

// scheduleStep schedules the next completion of a job. During slow start, when the speed rises, it schedules
// a step at least every 1/64 of the slow start.
func (s *server) scheduleStep() {
	if s.nextStep != nil {
		s.nextStep.canceled = true
		s.nextStep = nil
	}
	s.advance()
	speed := s.slotSpeed()
	if len(s.running) == 0 || speed == 0 {
		return
	}
	shortest := math.Inf(1)
	for _, j := range s.running {
		shortest = min(shortest, j.remaining)
	}
	delay := int64(max(math.Ceil(shortest/speed), 1))
	if s.capacityShare() < 1 {
		delay = min(delay, int64(s.world.scenario.Rules.SlowStart)/64)
	}
	s.nextStep = s.world.after(delay, s.completeJobs)
}

// completeJobs ends the jobs that are complete, starts waiting ones, and schedules the next step.
func (s *server) completeJobs() {
	s.advance()
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.remaining > 1e-6 {
			return false
		}
		s.usedSlots -= j.slots
		s.world.completedWork += j.request.work
		s.world.recordEffect(j)
		if !j.canceled {
			j.report(jobSucceeded)
		}
		return true
	})
	s.startWaitingJobs()
}

// startWaitingJobs starts jobs from the head of the queue while their slots are free.
func (s *server) startWaitingJobs() {
	for len(s.waiting) > 0 && s.usedSlots+s.waiting[0].slots <= s.machineType.Slots && !s.hung {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.advance()
		s.running, s.usedSlots = append(s.running, j), s.usedSlots+j.slots
		if s.world.scenario.Rules.StartNotices {
			j.report(jobStarted)
		}
		s.scheduleProgress(j, s.incarnation)
	}
	s.scheduleStep()
}

// scheduleProgress reports progress of a running job at each interval, except while the server hangs.
func (s *server) scheduleProgress(j *job, incarnation int) {
	interval := int64(s.world.scenario.Rules.ProgressInterval)
	if interval == 0 {
		return
	}
	s.world.after(interval, func() {
		if s.incarnation == incarnation && s.up && j.remaining > 0 && !j.canceled && slices.Contains(s.running, j) {
			if !s.hung {
				j.report(jobProgressed)
			}
			s.scheduleProgress(j, incarnation)
		}
	})
}

// accept handles a job that arrives over a connection.
func (s *server) accept(j *job) {
	if !s.up || !s.recordSlowStartWork(j) {
		return
	}
	if s.hung {
		s.waiting = append(s.waiting, j)
		return
	}
	if s.draining || j.slots > s.machineType.Slots ||
		len(s.waiting) >= s.machineType.QueueLimit && s.usedSlots+j.slots > s.machineType.Slots {
		j.report(jobRejected)
		return
	}
	if s.world.isDeduplicated(j) {
		j.report(jobSucceeded)
		return
	}
	if j.request.failsEverywhere || s.errorRate > 0 &&
		(s.failingClass == "" || s.failingClass == j.request.class.Name) && s.world.random.Float64() < s.errorRate {
		if s.world.random.IntN(2) == 0 { // a job that reports an error may have had its effect
			s.world.recordEffect(j)
		}
		s.world.after(int64(2e6), func() { j.report(jobFailed) })
		return
	}
	s.waiting = append(s.waiting, j)
	s.startWaitingJobs()
}

// recordSlowStartWork records the work of a job that a server in slow start receives. If the sum in the
// overload window exceeds the server's limit, the server stops and does not restart; it returns false.
func (s *server) recordSlowStartWork(j *job) bool {
	if s.capacityShare() == 1 {
		return true
	}
	rules := &s.world.scenario.Rules
	s.world.slowStartWork += j.request.work
	s.slowStartSends = slices.DeleteFunc(
		append(s.slowStartSends, sentWork{s.world.now, j.request.work}),
		func(sent sentWork) bool { return s.world.now-sent.at > int64(rules.OverloadWindow) })
	sum := 0.0
	for _, sent := range s.slowStartSends {
		sum += sent.work
	}
	// The checker's limit is the stated budget. The simulated server fails only at 1.5 times that limit.
	if sum > 1.5*rules.OverloadFactor*s.capacityShare()*
		float64(s.machineType.Slots)*float64(rules.OverloadWindow) {
		s.world.overloadCount++
		s.stop(false)
		return false
	}
	return true
}

// cancel cancels a job as far as the machine type supports it: no jobs, waiting jobs, or all jobs.
func (s *server) cancel(j *job) {
	j.canceled = true
	if s.machineType.Cancel == "none" {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *job) bool { return x == j })
	if s.machineType.Cancel == "all" {
		s.advance()
		s.running = slices.DeleteFunc(s.running, func(x *job) bool {
			if x == j {
				s.usedSlots -= j.slots
			}
			return x == j
		})
		s.startWaitingJobs()
	}
}

// stop ends the server process. Unless it is silent, the nodes receive a connection reset for each job.
func (s *server) stop(silent bool) {
	s.advance()
	s.up, s.draining, s.hung, s.connections = false, false, false, 0
	s.incarnation++
	lost := append(s.running, s.waiting...)
	s.running, s.waiting, s.usedSlots, s.slowStartSends = nil, nil, 0, nil
	s.scheduleStep()
	if !silent {
		for _, j := range lost {
			j.report(jobConnectionReset)
		}
	}
}

// start starts the server again, in slow start.
func (s *server) start() {
	if s.up {
		return
	}
	s.up, s.startedAt, s.advancedUntil, s.slowdown, s.errorRate, s.failingClass =
		true, s.world.now, s.world.now, 0, 0, ""
	s.world.log(invariants.Event{Kind: invariants.ServerStarted, Server: s.id})
}
