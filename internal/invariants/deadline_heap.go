// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"container/heap"
)

// deadlineHeap holds requests by deadline, those of one deadline in the order in which they were accepted. With it an
// event costs no look at each unanswered request, which was most of the time in large logs. It implements
// heap.Interface.
type deadlineHeap []*request

// Len implements sort.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h deadlineHeap) Less(x, y int) bool {
	return cmp.Or(cmp.Compare(h[x].deadline, h[y].deadline), cmp.Compare(h[x].acceptedBy, h[y].acceptedBy)) < 0
}

// Swap implements sort.Interface.
func (h deadlineHeap) Swap(x, y int) { h[x], h[y] = h[y], h[x] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(r any) { *h = append(*h, r.(*request)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}

// expireRequests reports requests whose answer is late, and drops those that need none any more.
func (c *Checker) expireRequests() {
	for len(c.unanswered) > 0 {
		next := c.unanswered[0]
		isLate := c.now > next.deadline+c.rules.Slack
		if !next.ended && !isLate {
			return
		}
		heap.Pop(&c.unanswered)
		if !next.ended {
			c.report(ruleOneAnswer, "the request accepted by event %d has no final answer by its deadline",
				next.acceptedBy)
			next.ended = true
		}
	}
}
