// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"container/heap"
)

// deadlineHeap is a heap of txns by when their answers are due; of several at one time the one that was taken first.
// Danger: all that are owed, looked at for each event; at 300 nodes that took two thirds of a run.
type deadlineHeap []*request

func (o deadlineHeap) Len() int { return len(o) }

func (o deadlineHeap) Less(x, y int) bool {
	return cmp.Or(cmp.Compare(o[x].deadline, o[y].deadline), cmp.Compare(o[x].acceptedBy, o[y].acceptedBy)) < 0
}

func (o deadlineHeap) Swap(x, y int) { o[x], o[y] = o[y], o[x] }

func (o *deadlineHeap) Push(t any) { *o = append(*o, t.(*request)) }

func (o *deadlineHeap) Pop() any {
	t := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return t
}

// expireRequests tells of txns whose answer is late.
func (j *Checker) expireRequests() {
	for len(j.unanswered) > 0 && (j.unanswered[0].ended || j.now > j.unanswered[0].deadline+j.rules.Slack) {
		if t := heap.Pop(&j.unanswered).(*request); !t.ended {
			j.report(1, "the txn taken by event %d has no final answer by its expiry", t.acceptedBy)
			t.ended = true
		}
	}
}
