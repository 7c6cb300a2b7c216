// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// attempt is one attempt of a request.
type attempt struct {
	sentAt    int64
	server    string
	inFlight  bool
	provedOff bool // its outcome proves that it never ran
}

// requestState is the state of an accepted request.
type requestState struct {
	node       string
	class      Class
	deadline   int64
	attempts   []*attempt
	done       bool // answered, or no answer is required any more
	acceptedBy int  // number of the event
}

// firstThatMayHaveRun returns the first attempt that may have run, or may still run; nil: none.
func (r *requestState) firstThatMayHaveRun() *attempt {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.provedOff })
	if i < 0 {
		return nil
	}
	return r.attempts[i]
}

func (r *requestState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

func (c *Checker) applyToRequest(request *requestState, e Event) error {
	switch e.Kind {
	case AttemptSent:
		return c.sendAttempt(request, e)
	case AttemptEnded:
		return endAttempt(request, e)
	case RequestAnswered:
		c.checkAnswer(request, e)
		request.done = true
	case ClientLeft:
		request.done = true
	}
	return nil
}

func (c *Checker) sendAttempt(request *requestState, e Event) error {
	if e.Attempt != len(request.attempts) {
		return fmt.Errorf("attempt %d out of order, want attempt %d", e.Attempt, len(request.attempts))
	}
	if _, known := c.rules.Servers[e.Server]; !known {
		return fmt.Errorf("unknown server %q", e.Server)
	}
	c.checkSend(request, e)
	request.attempts = append(request.attempts, &attempt{sentAt: e.At, server: e.Server, inFlight: true})
	return nil
}

func endAttempt(request *requestState, e Event) error {
	if e.Attempt < 0 || e.Attempt >= len(request.attempts) || !request.attempts[e.Attempt].inFlight {
		return fmt.Errorf("attempt %d ended, but is not in flight", e.Attempt)
	}
	ended := request.attempts[e.Attempt]
	ended.inFlight = false
	ended.provedOff = e.Result == resultRejected || e.Result == resultConnectFailed || e.Result == resultNotSent
	return nil
}

// checkAnswer checks a final answer against rules 1 and 2.
func (c *Checker) checkAnswer(request *requestState, e Event) {
	if request.done {
		c.report(ruleNoneLost, "request %s: final answer %s after an earlier one or after the client left",
			e.Request, e.Result)
		return
	}
	first := request.firstThatMayHaveRun()
	if e.Result == resultShed && first != nil && !request.class.mayRepeatAnywhere() {
		c.report(ruleNoEffectTwice, "request %s: shed though its attempt at %s may have run", e.Request,
			first.server)
	}
}

// checkSend checks one attempt against rules 1 to 4.
func (c *Checker) checkSend(request *requestState, e Event) {
	if request.done {
		c.report(ruleNoneLost, "request %s: sent to %s after its final answer or after the client left",
			e.Request, e.Server)
	}
	if !c.rules.AllowHedging && request.hasAttemptInFlight() {
		c.report(ruleNoEffectTwice, "request %s: second attempt in flight, but hedging is not allowed",
			e.Request)
	}
	if first := request.firstThatMayHaveRun(); first != nil {
		c.checkRepeat(request, first, e)
	}
	since, stopped := c.stoppedAt[request.node][e.Server]
	if stopped && e.At-since > c.rules.DrainGrace {
		c.report(ruleDrainsKept, "request %s: sent to %s %d ms after %s was notified that it drains or is gone",
			e.Request, e.Server, (e.At-since)/nanosPerMilli, request.node)
	}
	c.checkSlowStart(e)
}

// checkRepeat checks an attempt that follows one that may have run against rule 2.
func (c *Checker) checkRepeat(request *requestState, first *attempt, e Event) {
	class := request.class
	switch {
	case class.Idempotency == nonIdempotent:
		c.report(ruleNoEffectTwice, "request %s: non-idempotent, sent again to %s though it may have run at %s",
			e.Request, e.Server, first.server)
	case class.Idempotency != idempotentInGroup:
	case e.At-first.sentAt > class.DedupWindow:
		c.report(ruleNoEffectTwice, "request %s: sent again after the dedup window of its group", e.Request)
	case !class.sameGroup(c.rules.Servers[first.server], c.rules.Servers[e.Server]):
		c.report(ruleNoEffectTwice, "request %s: sent again outside its %s", e.Request, class.DedupScope)
	}
}

// reportOverdue reports requests that have no answer at their deadline plus the slack.
func (c *Checker) reportOverdue() {
	for len(c.unanswered) > 0 {
		next := c.unanswered[0]
		if !next.done && c.now <= next.deadline+c.rules.Slack {
			return
		}
		heap.Pop(&c.unanswered)
		if !next.done {
			c.report(ruleNoneLost, "the request accepted by event %d has no final answer by its deadline",
				next.acceptedBy)
			next.done = true
		}
	}
}

// deadlineQueue is a heap of requests by deadline, then by order of acceptance. It is a heap because a scan
// of all requests at each event takes most of the time of a run with hundreds of nodes.
type deadlineQueue []*requestState

// Len implements heap.Interface.
func (q deadlineQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q deadlineQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].deadline, q[j].deadline),
		cmp.Compare(q[i].acceptedBy, q[j].acceptedBy)) < 0
}

// Swap implements heap.Interface.
func (q deadlineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *deadlineQueue) Push(request any) { *q = append(*q, request.(*requestState)) }

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
