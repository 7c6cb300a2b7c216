// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"container/heap"
	"fmt"
)

// Violation is a violated rule with the number of the event that proves it, from 0.
type Violation struct {
	Rule, Event int
	Message     string
}

// Checker reads events in order and collects violations of the rules.
type Checker struct {
	rules      Rules
	eventCount int
	now        int64
	requests   map[string]*requestState
	unanswered deadlineQueue               // may contain answered requests
	stoppedAt  map[string]map[string]int64 // by node and server: when the node learned that it drains or is gone
	startedAt  map[string]int64            // by server
	sends      map[string][]send           // by server in slow start: attempts sent within the last window
	quotas     map[string]map[string]quota // by budget and process
	overTotal  map[string]bool             // budgets that were above their total at the last event
	violations []Violation
}

// New returns a checker without events.
func New(rules Rules) *Checker {
	return &Checker{
		rules:     rules,
		requests:  map[string]*requestState{},
		stoppedAt: map[string]map[string]int64{},
		startedAt: map[string]int64{},
		sends:     map[string][]send{},
		quotas:    map[string]map[string]quota{},
		overTotal: map[string]bool{},
	}
}

// Add checks the next event. An error means that the log is invalid, which is not a violation of a rule.
func (c *Checker) Add(e Event) error {
	if e.At < c.now {
		return fmt.Errorf("event %d: time goes back from %d ns to %d ns", c.eventCount, c.now, e.At)
	}
	c.now = e.At
	c.reportOverdue()
	if err := c.apply(e); err != nil {
		return fmt.Errorf("event %d: %w", c.eventCount, err)
	}
	c.eventCount++
	return nil
}

// Violations ends the log at a time and returns all violations, in the order of the events that prove them.
func (c *Checker) Violations(at int64) []Violation {
	c.now = max(c.now, at)
	c.reportOverdue()
	return c.violations
}

func (c *Checker) report(rule int, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, c.eventCount, fmt.Sprintf(format, args...)})
}

func (c *Checker) apply(e Event) error {
	switch e.Kind {
	case RequestAccepted:
		return c.acceptRequest(e)
	case AttemptSent, AttemptEnded, RequestAnswered, ClientLeft:
		request := c.requests[e.Request]
		if request == nil {
			return fmt.Errorf("%s event of an unknown request %q", e.Kind, e.Request)
		}
		return c.applyToRequest(request, e)
	case EndpointNotified:
		c.notifyEndpoint(e)
	case ServerStarted:
		c.startedAt[e.Server] = cmp.Or(e.StartedAt, e.At)
		delete(c.sends, e.Server)
	case NodeKilled:
		c.removeNode(e.Node)
	case QuotaHeld:
		return c.holdQuota(e)
	default:
		return fmt.Errorf("unknown event kind %q", e.Kind)
	}
	return nil
}

func (c *Checker) acceptRequest(e Event) error {
	class, known := c.rules.Classes[e.Class]
	if c.requests[e.Request] != nil || !known || e.Request == "" || e.Node == "" {
		return fmt.Errorf("request %q of class %q accepted by node %q: duplicate or empty id, unknown class, or empty node",
			e.Request, e.Class, e.Node)
	}
	request := &requestState{node: e.Node, class: class, deadline: e.Deadline, acceptedBy: c.eventCount}
	c.requests[e.Request] = request
	heap.Push(&c.unanswered, request)
	return nil
}

// notifyEndpoint records when a node was first notified that a server accepts no more requests.
func (c *Checker) notifyEndpoint(e Event) {
	stopped := c.stoppedAt[e.Node]
	if stopped == nil {
		stopped = map[string]int64{}
		c.stoppedAt[e.Node] = stopped
	}
	if e.Result == resultUp {
		delete(stopped, e.Server)
		return
	}
	if _, known := stopped[e.Server]; !known {
		stopped[e.Server] = e.At
	}
}

// removeNode removes a killed node; its requests require no answer.
func (c *Checker) removeNode(node string) {
	delete(c.stoppedAt, node)
	for _, byProcess := range c.quotas {
		delete(byProcess, node)
	}
	for _, request := range c.unanswered {
		if request.node == node {
			request.done = true
		}
	}
}
