// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
)

const (
	// minChance is the part of a request's first expected value under which it doesn't wait any longer.
	minChance = 0.5
	// maxQueueTime is the longest time in the queue, as a multiple of the time to the latency objective.
	maxQueueTime = 2
	// queueTicks is the number of ticks between two looks at the queue where nothing else happens.
	queueTicks = 2
	// minOverObjective is the least that a class's objective may grow with work, over the work itself, when
	// waits are weighed.
	minOverObjective = 0.1
	// minTotal bounds a class's total priority weight, which other classes' is divided by.
	minTotal = 1e-9
)

// waitQueue holds the requests that wait for a server.
type waitQueue struct {
	requests []*Request
	timerSet bool // a timer to look at the queue is running
}

// add appends a request unless it waits already.
func (q *waitQueue) add(request *Request) {
	if !request.queued {
		request.queued = true
		q.requests = append(q.requests, request)
	}
}

// takeAll empties the queue.
func (q *waitQueue) takeAll() []*Request {
	requests := q.requests
	q.requests = nil
	for _, request := range requests {
		request.queued = false
	}
	return requests
}

// ProcessQueue has to be called after each round of events. It assigns the waiting requests, those of the
// highest expected value first, and gives up those that can hardly end in time.
func (d *Dispatcher) ProcessQueue() {
	waiting := d.queue.takeAll()
	for _, request := range waiting {
		request.expectedValue = d.expectedValue(request)
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int { return cmp.Compare(b.expectedValue, a.expectedValue) })
	for _, request := range waiting {
		switch {
		case request.expectedValue <= 0:
			d.giveUp(request, QueueTimeout)
		case d.now < request.retryAt:
			d.queue.add(request)
		default:
			d.assign(request)
		}
	}
	if len(d.queue.requests) > 0 && !d.queue.timerSet {
		d.queue.timerSet = true
		// The caller calls ProcessQueue after each timer.
		d.actions.Schedule(queueTicks*d.settings.Tick, func() { d.queue.timerSet = false })
	}
}

// expectedValue is the priority weight for each unit of size that can be expected of a waiting request; 0: give
// it up now.
func (d *Dispatcher) expectedValue(request *Request) float64 {
	late := request.Class.LateShare
	share := late + (1-late)*d.chanceInTime(request, d.now)
	// The chance is compared with that at arrival: hints of work that are too high make any chance look slim.
	shareAtArrival := late + (1-late)*d.chanceInTime(request, request.arrivedAt)
	switch {
	case share < minChance*shareAtArrival:
		return 0
	case d.now+d.expectedRuntime(request, lowQuantile) >= request.Deadline:
		return 0
	case d.now-request.arrivedAt > maxQueueTime*(request.objectiveAt-request.arrivedAt):
		return 0
	}
	return share * request.priorityWeight / request.size * d.classPreference(request.Class)
}

// chanceInTime is the chance that a request which starts at a clock time meets its latency objective. Where its
// work is not known, the objective grows with the running time, and long requests alone make up for the time
// that they waited.
func (d *Dispatcher) chanceInTime(request *Request, start int64) float64 {
	class := request.Class
	left := float64(request.arrivedAt + class.LatencyObjective - start)
	runtimes := &d.runtimes[class.Index]
	if request.ExpectedWork > 0 {
		return runtimes.shareBelow(left/float64(request.ExpectedWork) + class.ObjectivePerWork)
	}
	return 1 - runtimes.shareBelow(-left/defaultWork/max(class.ObjectivePerWork-1, minOverObjective))
}

// classPreference is a factor on the value of a class's requests: over 1 for the class that earns the smallest
// share of its weight, since the settings weigh the worst class besides the whole.
func (d *Dispatcher) classPreference(class *Class) float64 {
	own, all := d.classValues[class.Index].decay(d.now), 0.0
	for i := range d.classValues {
		other := d.classValues[i].decay(d.now)
		all += other.total
		if other.hits*own.total < own.hits*other.total {
			return 1
		}
	}
	return 1 + d.settings.WorstClassWeight*all/max(own.total, minTotal)
}
