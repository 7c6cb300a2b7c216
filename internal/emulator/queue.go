// SPDX-License-Identifier: Apache-2.0

// Package emulator simulates a fleet in virtual time: clients, nodes that run the dispatch package or a
// baseline policy, servers, discovery, the network between them, and faults. It has a single event queue and
// a single thread, so that the same scenario and seed give the same log to the byte. It makes no dispatch
// decisions itself. docs/emulator.md describes its structure.
package emulator

import "container/heap"

// event is an action at a virtual time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at, order int64
	action    func()
	canceled  bool
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}

// clock is the virtual time in nanoseconds, with the queue of pending events.
type clock struct {
	now       int64
	queue     queue
	scheduled int64
	executed  int64 // number of events that have run
}

// after schedules an action after a delay in nanoseconds. Setting canceled on the returned event prevents it.
func (c *clock) after(delay int64, do func()) *event {
	c.scheduled++
	e := &event{at: c.now + max(delay, 0), order: c.scheduled, action: do}
	heap.Push(&c.queue, e)
	return e
}

// run executes events in order up to and including an end time.
func (c *clock) run(end int64) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(*event)
		if e.canceled {
			continue
		}
		c.now = e.at
		c.executed++
		e.action()
	}
	c.now = end
}
