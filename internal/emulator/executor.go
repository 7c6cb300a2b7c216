// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"math"
	"slices"

	"fernrail/internal/invariants"
)

// executor is the truth about one worker. Its jobs share its cores; the rest waits in order.
type executor struct {
	world *world
	id    string
	zone  int
	kind  *Kind
	speed float64

	up, draining, hung bool
	begun              int64 // its latest start; 0: long ago, and warm
	lives              int   // starts, ever: what an earlier life had is gone
	slow               float64
	errors             float64 // share of jobs that fail at once
	failing            string  // of this scheme alone
	running, waiting   []*job
	slots              int // in use
	connections        int
	at                 int64  // until when the running jobs have been worked on
	next               *event // the next end or change of pace
	sent               []load // while cold
}

type load struct {
	at   int64
	work float64
}

// job is one posting as its executor has it.
type job struct {
	txn     *request
	slots   int
	left    float64 // work, in ns on a core of speed one
	posting int
	tell    func(line) // to the node, over the network
	dropped bool
}

// line is what an executor says of a job.
type line int

const (
	lineStarted line = iota
	lineProgress
	lineDone
	lineError
	lineFull
	lineReset
)

// warmth is the share of its capacity that it has now.
func (e *executor) warmth() float64 {
	r := &e.world.s.Rules
	age := e.world.now - e.begun
	if e.begun == 0 || age >= int64(r.Cold) {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(age)/float64(r.Cold)
}

// pace is how much work each running slot gets done in a nanosecond.
func (e *executor) pace() float64 {
	if e.hung || e.slots == 0 {
		return 0
	}
	return e.speed * e.warmth() / max(e.slow, 1) * min(1, e.kind.Cores/float64(e.slots))
}

// work brings the running jobs up to now.
func (e *executor) work() {
	done := float64(e.world.now-e.at) * e.pace()
	for _, j := range e.running {
		j.left -= done
	}
	e.at = e.world.now
}

// plan sees to the next end, and looks again while the pace changes by itself.
func (e *executor) plan() {
	if e.next != nil {
		e.next.off = true
		e.next = nil
	}
	e.work()
	pace := e.pace()
	if len(e.running) == 0 || pace == 0 {
		return
	}
	least := math.Inf(1)
	for _, j := range e.running {
		least = min(least, j.left)
	}
	span := int64(max(math.Ceil(least/pace), 1))
	if e.warmth() < 1 {
		span = min(span, int64(e.world.s.Rules.Cold)/64)
	}
	e.next = e.world.after(span, e.step)
}

// step ends what is done, begins what fits, and plans on.
func (e *executor) step() {
	e.work()
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.left > 1e-6 {
			return false
		}
		e.slots -= j.slots
		e.world.busy += j.txn.work
		e.world.ran(j)
		if !j.dropped {
			j.tell(lineDone)
		}
		return true
	})
	e.fill()
}

func (e *executor) fill() {
	for len(e.waiting) > 0 && e.slots+e.waiting[0].slots <= e.kind.Slots && !e.hung {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.work()
		e.running, e.slots = append(e.running, j), e.slots+j.slots
		if e.world.s.Rules.Started {
			j.tell(lineStarted)
		}
		e.progress(j, e.lives)
	}
	e.plan()
}

// progress tells of a running job while the executor does not stand still.
func (e *executor) progress(j *job, life int) {
	period := int64(e.world.s.Rules.Progress)
	if period == 0 {
		return
	}
	e.world.after(period, func() {
		if e.lives == life && e.up && j.left > 0 && !j.dropped && slices.Contains(e.running, j) {
			if !e.hung {
				j.tell(lineProgress)
			}
			e.progress(j, life)
		}
	})
}

// take is what comes over a connection.
func (e *executor) take(j *job) {
	if !e.up || !e.bears(j) {
		return
	}
	if e.hung {
		e.waiting = append(e.waiting, j)
		return
	}
	if e.draining || j.slots > e.kind.Slots || len(e.waiting) >= e.kind.Queue && e.slots+j.slots > e.kind.Slots {
		j.tell(lineFull)
		return
	}
	if e.world.remembers(j) {
		j.tell(lineDone)
		return
	}
	if j.txn.spoilt || e.errors > 0 && (e.failing == "" || e.failing == j.txn.scheme.Name) && e.world.chance.Float64() < e.errors {
		if e.world.chance.IntN(2) == 0 { // what failed may have done its work all the same
			e.world.ran(j)
		}
		e.world.after(int64(2e6), func() { j.tell(lineError) })
		return
	}
	e.waiting = append(e.waiting, j)
	e.fill()
}

// bears counts what a cold executor is sent; too much in any window, and it falls over for good.
func (e *executor) bears(j *job) bool {
	if e.warmth() == 1 {
		return true
	}
	r := &e.world.s.Rules
	e.world.cold += j.txn.work
	e.sent = slices.DeleteFunc(append(e.sent, load{e.world.now, j.txn.work}), func(l load) bool { return e.world.now-l.at > int64(r.Fall) })
	sum := 0.0
	for _, l := range e.sent {
		sum += l.work
	}
	// The judge's budget is stated; a machine falls when well beyond it.
	if sum > 1.5*r.FallMultiple*e.warmth()*float64(e.kind.Slots)*float64(r.Fall) {
		e.world.fallen++
		e.stop(false)
		return false
	}
	return true
}

// forget takes a job back, as far as this kind does so.
func (e *executor) forget(j *job) {
	j.dropped = true
	if e.kind.Cancel == "none" {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(x *job) bool { return x == j })
	if e.kind.Cancel == "all" {
		e.work()
		e.running = slices.DeleteFunc(e.running, func(x *job) bool {
			if x == j {
				e.slots -= j.slots
			}
			return x == j
		})
		e.fill()
	}
}

// stop ends the process. Loud, its connections are reset; silent, nobody hears of it.
func (e *executor) stop(silent bool) {
	e.work()
	e.up, e.draining, e.hung, e.connections = false, false, false, 0
	e.lives++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.slots, e.sent = nil, nil, 0, nil
	e.plan()
	if !silent {
		for _, j := range lost {
			j.tell(lineReset)
		}
	}
}

// start begins a new life, cold.
func (e *executor) start() {
	if e.up {
		return
	}
	e.up, e.begun, e.at, e.slow, e.errors, e.failing = true, e.world.now, e.world.now, 0, 0, ""
	e.world.log(invariants.Event{Kind: invariants.ServerStarted, Server: e.id})
}
