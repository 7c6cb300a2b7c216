// SPDX-License-Identifier: Apache-2.0

// Package emulator plays a whole fleet in virtual time: clients, nodes with the decision module or a baseline on them,
// executors, discovery, the network between them, and what goes wrong. One event queue, one thread: the same scenario and
// seed give the same log to the byte. It decides nothing about txns; docs/emulator.md says how it is put together.
package emulator

import "container/heap"

// event happens at a time; of several at one time the one that was put in first.
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

// clock is virtual time, in nanoseconds from the start, with what is still to happen.
type clock struct {
	now       int64
	queue     queue
	scheduled int64
	executed  int64 // events, ever
}

// after has something happen later; what it gives back calls that off.
func (c *clock) after(delay int64, do func()) *event {
	c.scheduled++
	e := &event{at: c.now + max(delay, 0), order: c.scheduled, action: do}
	heap.Push(&c.queue, e)
	return e
}

// run lets time go by until an end; what is to happen at that very time still does.
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
