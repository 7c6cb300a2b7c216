// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
)

const (
	// minChance is the fraction of a request's expected value at arrival. If its wait has reduced the
	// expected value below that fraction, the request is given up.
	minChance = 0.5
	// maxQueueTime is the longest time in the queue, as a multiple of the time from arrival to the latency
	// objective.
	maxQueueTime = 2
	// queueTicks is the number of ticks after which the queue is processed if no other event occurs.
	queueTicks = 2
	// minOverObjective is the lower bound on the growth of a class's objective with work in excess of the
	// work itself, as a divisor of waiting times.
	minOverObjective = 0.1
	// minTotal is the lower bound on a class's total priority weight as a divisor.
	minTotal = 1e-9
)

// waitQueue holds the requests that wait for a server.
type waitQueue struct {
	requests []*Request
	timerSet bool // a timer to process the queue is running
}

// add appends a request unless it is already queued.
func (q *waitQueue) add(request *Request) {
	if !request.queued {
		request.queued = true
		q.requests = append(q.requests, request)
	}
}

// takeAll empties the queue and returns its requests.
func (q *waitQueue) takeAll() []*Request {
	requests := q.requests
	q.requests = nil
	for _, request := range requests {
		request.queued = false
	}
	return requests
}

// ProcessQueue must be called after each round of events. It assigns the waiting requests in the order of
// their expected value, highest first, and gives up those that are unlikely to end in time.
func (d *Dispatcher) ProcessQueue() {
	waiting := d.queue.takeAll()
	for _, request := range waiting {
		request.expectedValue = d.expectedValue(request)
	}
	slices.SortStableFunc(waiting,
		func(a, b *Request) int { return cmp.Compare(b.expectedValue, a.expectedValue) })
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

// expectedValue is the expected priority weight per unit of size of a waiting request. If it is 0, the
// request is to be given up now.
func (d *Dispatcher) expectedValue(request *Request) float64 {
	lateShare := request.Class.LateShare
	share := lateShare + (1-lateShare)*d.chanceInTime(request, d.now)
	// The probability is compared with the one at arrival. If hints overestimate the work, any probability
	// is low in absolute terms.
	shareAtArrival := lateShare + (1-lateShare)*d.chanceInTime(request, request.arrivedAt)
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

// chanceInTime is the probability that a request which starts at a clock time meets its latency objective.
// If its work is not known, the objective grows with the running time, and only long requests can make up
// for the time that they waited.
func (d *Dispatcher) chanceInTime(request *Request, start int64) float64 {
	class := request.Class
	remaining := float64(request.arrivedAt + class.LatencyObjective - start)
	runtimes := &d.runtimes[class.Index]
	if request.ExpectedWork > 0 {
		return runtimes.shareBelow(remaining/float64(request.ExpectedWork) + class.ObjectivePerWork)
	}
	return 1 - runtimes.shareBelow(-remaining/defaultWork/max(class.ObjectivePerWork-1, minOverObjective))
}

// classPreference is a factor on the value of a class's requests. It is above 1 for the class that earns the
// smallest share of its priority weight, since the settings give the worst class an additional weight.
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
