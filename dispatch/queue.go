// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
)

// ProcessQueue ends a round of events: it places waiting txns, the worthiest first, or gives them up.
func (d *Dispatcher) ProcessQueue() {
	waiting := d.queue
	d.queue = nil
	for _, request := range waiting {
		request.queued, request.expectedValue = false, d.expectedValue(request)
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int { return cmp.Compare(b.expectedValue, a.expectedValue) })
	for _, request := range waiting {
		switch {
		case request.expectedValue <= 0:
			d.giveUp(request, QueueTimeout)
		case d.now < request.retryAt:
			d.enqueue(request)
		default:
			d.assign(request)
		}
	}
	if len(d.queue) > 0 && !d.queueTimerSet {
		d.queueTimerSet = true
		d.actions.Schedule(2*d.settings.Tick, func() { d.queueTimerSet = false })
	}
}

func (d *Dispatcher) enqueue(request *Request) {
	if !request.queued {
		request.queued = true
		d.queue = append(d.queue, request)
	}
}

// expectedValue is the billing value a slot and second to be expected of a waiting txn; 0: give it up now.
func (d *Dispatcher) expectedValue(request *Request) float64 {
	late := request.Class.LateShare
	part, atOnce, age := late+(1-late)*d.onTime(request, d.now), late+(1-late)*d.onTime(request, request.arrivedAt), d.now-request.arrivedAt
	// Danger: hints that are off make the best of chances look slim. It is the wait that takes a txn's hope.
	if part < minChance*atOnce || d.now+d.expectedRuntime(request, lowQuantile) >= request.Deadline || age > 2*(request.objectiveAt-request.arrivedAt) {
		return 0
	}
	return part * request.priorityWeight / request.size * d.classPreference(request.Class)
}

// onTime is the chance that a txn started then ends in time; without a hint only long jobs make up for waits.
func (d *Dispatcher) onTime(request *Request, at int64) float64 {
	room, runs := float64(request.arrivedAt+request.Class.LatencyObjective-at), &d.runtimes[request.Class.Index]
	if request.ExpectedWork > 0 {
		return runs.shareBelow(room/float64(request.ExpectedWork) + request.Class.ObjectivePerWork)
	}
	return 1 - runs.shareBelow(-room/1e9/max(request.Class.ObjectivePerWork-1, 0.1))
}

// classPreference is what a txn counts for over its value: more in the scheme served worst, by the terms.
func (d *Dispatcher) classPreference(class *Class) float64 {
	own, all := d.classValues[class.Index].decay(d.now), 0.0
	for i := range d.classValues {
		l := d.classValues[i].decay(d.now)
		if all += l.total; l.hits*own.total < own.hits*l.total {
			return 1
		}
	}
	return 1 + d.settings.WorstClassWeight*all/max(own.total, 1e-9)
}
