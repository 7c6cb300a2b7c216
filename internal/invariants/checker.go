// SPDX-License-Identifier: Apache-2.0

// Package invariants checks an event log against the rules of the service. It knows nothing of how decisions are made
// and shares no code with what makes them; it takes nothing for granted that no event tells.
package invariants

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// Checker checks events in the order of their times.
type Checker struct {
	rules      Rules
	events     int // how many there were
	now        int64
	requests   map[string]*request
	unanswered deadlineHeap                // and some that are answered since
	violations []Violation                 // found so far
	quotas     map[string]map[string]quota // by budget and process
	exceeded   map[string]bool             // budgets that were reported, until they are within their totals again

	stoppedSince map[string]map[string]int64 // by node and server: since when it is notified as draining or gone
	startedAt    map[string]int64            // of servers
	sends        map[string][]send           // to servers that warm up, in the latest window
}

type request struct {
	node       string
	class      Class
	deadline   int64
	attempts   []*attempt
	ended      bool // answered, or nothing is owed any more
	acceptedBy int  // the event
}

type attempt struct {
	sentAt   int64
	server   string
	inFlight bool
	notRun   bool // proved
}

type send struct {
	at   int64
	work float64 // slots times seconds
}

// quota is what a process may use until a time; 0: for good.
type quota struct{ units, until int64 }

// New returns a checker that has seen no event.
func New(rules Rules) *Checker {
	return &Checker{
		rules:        rules,
		requests:     map[string]*request{},
		stoppedSince: map[string]map[string]int64{},
		startedAt:    map[string]int64{},
		sends:        map[string][]send{},
		quotas:       map[string]map[string]quota{},
		exceeded:     map[string]bool{},
	}
}

// report adds a violation that the current event proves.
func (c *Checker) report(rule int, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Event: c.events, Text: fmt.Sprintf(format, args...)})
}

// Add checks the next event. An error says that the log makes no sense, which is no violation.
func (c *Checker) Add(e Event) error {
	if e.At < c.now {
		return fmt.Errorf("event %d: time goes back from %d to %d", c.events, c.now, e.At)
	}
	c.now = e.At
	c.expireRequests()
	if err := c.add(e); err != nil {
		return fmt.Errorf("event %d: %w", c.events, err)
	}
	c.events++
	return nil
}

// End closes the log at a time and returns all violations, in the order of the events that prove them.
func (c *Checker) End(at int64) []Violation {
	c.now = max(c.now, at)
	c.expireRequests()
	return c.violations
}

func (c *Checker) add(e Event) error {
	switch e.Kind {
	case RequestAccepted:
		return c.acceptRequest(e)
	case EndpointNotified:
		c.notifyEndpoint(e)
	case ServerStarted:
		c.startedAt[e.Server] = cmp.Or(e.Since, e.At)
		delete(c.sends, e.Server)
	case QuotaHeld:
		return c.holdQuota(e)
	case NodeKilled:
		c.removeNode(e.Node)
	case AttemptSent, AttemptEnded, RequestAnswered, ClientLeft:
		r := c.requests[e.Request]
		if r == nil {
			return fmt.Errorf("%s of an unknown request %q", e.Kind, e.Request)
		}
		return c.addToRequest(r, e)
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
	return nil
}

func (c *Checker) acceptRequest(e Event) error {
	class, known := c.rules.Classes[e.Class]
	isRepeated := c.requests[e.Request] != nil
	if isRepeated || !known || e.Request == "" || e.Node == "" {
		return fmt.Errorf("request %q of class %q accepted by %q: known before, or its class or node is not",
			e.Request, e.Class, e.Node)
	}
	r := &request{node: e.Node, class: class, deadline: e.Deadline, acceptedBy: c.events}
	c.requests[e.Request] = r
	heap.Push(&c.unanswered, r)
	return nil
}

func (c *Checker) notifyEndpoint(e Event) {
	if c.stoppedSince[e.Node] == nil {
		c.stoppedSince[e.Node] = map[string]int64{}
	}
	stopped := c.stoppedSince[e.Node]
	if e.Result == endpointUp {
		delete(stopped, e.Server)
		return
	}
	if _, known := stopped[e.Server]; !known {
		stopped[e.Server] = e.At
	}
}

func (c *Checker) removeNode(node string) {
	delete(c.stoppedSince, node)
	for _, quotas := range c.quotas {
		delete(quotas, node)
	}
	for _, r := range c.unanswered {
		if r.node == node {
			r.ended = true
		}
	}
}

func (c *Checker) addToRequest(r *request, e Event) error {
	switch e.Kind {
	case AttemptSent:
		return c.sendAttempt(r, e)
	case AttemptEnded:
		return r.endAttempt(e)
	case RequestAnswered:
		c.answerRequest(r, e)
	case ClientLeft:
		r.ended = true
	}
	return nil
}

func (c *Checker) sendAttempt(r *request, e Event) error {
	if e.Attempt != len(r.attempts) {
		return fmt.Errorf("attempt %d where %d is the next", e.Attempt, len(r.attempts))
	}
	if _, known := c.rules.Servers[e.Server]; !known {
		return fmt.Errorf("unknown server %q", e.Server)
	}
	c.checkAttempt(r, e)
	r.attempts = append(r.attempts, &attempt{sentAt: e.At, server: e.Server, inFlight: true})
	return nil
}

func (r *request) endAttempt(e Event) error {
	if e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return fmt.Errorf("end of attempt %d, which is not in flight", e.Attempt)
	}
	a := r.attempts[e.Attempt]
	a.inFlight = false
	a.notRun = e.Result == resultFull || e.Result == resultUndialed || e.Result == resultUnsent
	return nil
}

func (c *Checker) answerRequest(r *request, e Event) {
	first := r.firstRun()
	switch {
	case r.ended:
		c.report(ruleOneAnswer, "request %s: a second final answer, %s, or one that nobody waits for",
			e.Request, e.Result)
	case e.Result == resultShed && first != nil && r.class.isShedUnsafe():
		c.report(ruleIdempotency, "request %s: shed though its attempt at %s may have run", e.Request, first.server)
	}
	r.ended = true
}

// firstRun returns the first attempt that may have run, or may yet; nil if there is none.
func (r *request) firstRun() *attempt {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.notRun })
	if i < 0 {
		return nil
	}
	return r.attempts[i]
}

func (c *Checker) holdQuota(e Event) error {
	if _, known := c.rules.Totals[e.Budget]; !known || e.Node == "" || e.Units < 0 {
		return fmt.Errorf("%d units of budget %q held by %q", e.Units, e.Budget, e.Node)
	}
	if c.quotas[e.Budget] == nil {
		c.quotas[e.Budget] = map[string]quota{}
	}
	c.quotas[e.Budget][e.Node] = quota{units: e.Units, until: e.Until}
	c.checkTotal(e.Budget)
	return nil
}
