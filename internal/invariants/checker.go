// SPDX-License-Identifier: Apache-2.0

// Package invariants holds a log of events against the four rules. It knows nothing of how decisions are made and shares no
// code with what makes them; what it is not told in an event it does not assume.
package invariants

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

type attempt struct {
	sentAt   int64
	server   string
	inFlight bool
	notRun   bool // proved
}

type request struct {
	node       string
	class      Class
	deadline   int64
	attempts   []*attempt
	ended      bool
	acceptedBy int // event
}

type send struct {
	at   int64
	work float64
}

// Checker reads events in order.
type Checker struct {
	rules        Rules
	events       int
	now          int64
	requests     map[string]*request
	unanswered   deadlineHeap                // without an answer, and some that have one
	stoppedSince map[string]map[string]int64 // node, executor: since when it is told to drain or gone
	startedAt    map[string]int64
	sends        map[string][]send // to cold executors, in the last window
	violations   []Violation
	quotas       map[string]map[string]quota // budget, process
	exceeded     map[string]bool             // budgets told of, until they are within the whole again
}

// quota is what a process may use until a time; 0: for good.
type quota struct{ units, until int64 }

func New(rules Rules) *Checker {
	return &Checker{rules: rules, requests: map[string]*request{}, stoppedSince: map[string]map[string]int64{}, startedAt: map[string]int64{},
		sends: map[string][]send{}, quotas: map[string]map[string]quota{}, exceeded: map[string]bool{}}
}

func (j *Checker) report(rule int, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, j.events, fmt.Sprintf(format, args...)})
}

// Add takes the next event. An error says that the log makes no sense; it is no breach by whoever is judged.
func (j *Checker) Add(e Event) error {
	if e.At < j.now {
		return fmt.Errorf("event %d: time goes back from %d to %d", j.events, j.now, e.At)
	}
	j.now = e.At
	j.expireRequests()
	if err := j.add(e); err != nil {
		return fmt.Errorf("event %d: %w", j.events, err)
	}
	j.events++
	return nil
}

func (j *Checker) add(e Event) error {
	t := j.requests[e.Request]
	switch e.Kind {
	case RequestAccepted:
		scheme, known := j.rules.Classes[e.Class]
		if t != nil || !known || e.Request == "" || e.Node == "" {
			return fmt.Errorf("txn %q of scheme %q taken by %q: known before, or its scheme or node is not", e.Request, e.Class, e.Node)
		}
		t = &request{node: e.Node, class: scheme, deadline: e.Deadline, acceptedBy: j.events}
		j.requests[e.Request] = t
		heap.Push(&j.unanswered, t)
	case EndpointNotified:
		if j.stoppedSince[e.Node] == nil {
			j.stoppedSince[e.Node] = map[string]int64{}
		}
		if _, stopped := j.stoppedSince[e.Node][e.Server]; e.Result == "up" {
			delete(j.stoppedSince[e.Node], e.Server)
		} else if !stopped {
			j.stoppedSince[e.Node][e.Server] = e.At
		}
	case ServerStarted:
		j.startedAt[e.Server] = cmp.Or(e.Since, e.At)
		delete(j.sends, e.Server)
	case QuotaHeld:
		if _, known := j.rules.Totals[e.Budget]; !known || e.Node == "" || e.Units < 0 {
			return fmt.Errorf("%d units of budget %q held by %q", e.Units, e.Budget, e.Node)
		}
		j.checkTotal(e)
	case NodeKilled:
		delete(j.stoppedSince, e.Node)
		for _, shares := range j.quotas {
			delete(shares, e.Node)
		}
		for _, o := range j.unanswered {
			if o.node == e.Node {
				o.ended = true
			}
		}
	case AttemptSent, AttemptEnded, RequestAnswered, ClientLeft:
		if t == nil {
			return fmt.Errorf("%s of an unknown txn %q", e.Kind, e.Request)
		}
		return j.addToRequest(t, e)
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
	return nil
}

func (j *Checker) addToRequest(t *request, e Event) error {
	switch e.Kind {
	case AttemptSent:
		if e.Attempt != len(t.attempts) {
			return fmt.Errorf("posting %d where %d is the next", e.Attempt, len(t.attempts))
		}
		if _, known := j.rules.Servers[e.Server]; !known {
			return fmt.Errorf("unknown executor %q", e.Server)
		}
		j.checkAttempt(t, e)
		t.attempts = append(t.attempts, &attempt{sentAt: e.At, server: e.Server, inFlight: true})
	case AttemptEnded:
		if e.Attempt < 0 || e.Attempt >= len(t.attempts) || !t.attempts[e.Attempt].inFlight {
			return fmt.Errorf("end of posting %d, which is not out", e.Attempt)
		}
		p := t.attempts[e.Attempt]
		p.inFlight, p.notRun = false, e.Result == "full" || e.Result == "undialed" || e.Result == "unsent"
	case RequestAnswered:
		if t.ended {
			j.report(1, "txn %s: a second final answer, %s, or one that nobody waits for", e.Request, e.Result)
		} else if first := t.firstRun(); e.Result == "declined" && first != nil &&
			(t.class.Idempotency == "once-only" || t.class.Idempotency == "referenced" && t.class.DedupScope != "all") {
			j.report(2, "txn %s: declined though its posting to %s may have run", e.Request, first.server)
		}
		t.ended = true
	case ClientLeft:
		t.ended = true
	}
	return nil
}

// firstRun is the first posting that may have run, or may yet.
func (t *request) firstRun() *attempt {
	if i := slices.IndexFunc(t.attempts, func(p *attempt) bool { return !p.notRun }); i >= 0 {
		return t.attempts[i]
	}
	return nil
}

// checkAttempt holds one sending against all four rules.
func (j *Checker) checkAttempt(t *request, e Event) {
	if t.ended {
		j.report(1, "txn %s: sent to %s after its end", e.Request, e.Server)
	}
	if !j.rules.AllowHedging && slices.ContainsFunc(t.attempts, func(p *attempt) bool { return p.inFlight }) {
		j.report(2, "txn %s: a second posting out at once", e.Request)
	}
	if first := t.firstRun(); first != nil {
		was, is := j.rules.Servers[first.server], j.rules.Servers[e.Server]
		switch {
		case t.class.Idempotency == "once-only":
			j.report(2, "txn %s: once-only, sent again to %s though it may have run at %s", e.Request, e.Server, first.server)
		case t.class.Idempotency == "referenced" && e.At-first.sentAt > t.class.DedupWindow:
			j.report(2, "txn %s: sent again after its group has forgotten it", e.Request)
		case t.class.Idempotency == "referenced" && (t.class.DedupScope == "zone" && was.Zone != is.Zone || t.class.DedupScope == "cell" && was.Cell != is.Cell):
			j.report(2, "txn %s: sent again outside its %s", e.Request, t.class.DedupScope)
		}
	}
	if since, stopped := j.stoppedSince[t.node][e.Server]; stopped && e.At-since > j.rules.DrainGrace {
		j.report(3, "txn %s: sent to %s %d ms after %s was told to stop", e.Request, e.Server, (e.At-since)/1e6, t.node)
	}
	j.checkSlowStart(e)
}

// checkSlowStart counts what all nodes sent to a cold executor in one window against what it can do in it.
func (j *Checker) checkSlowStart(e Event) {
	start, cold := j.startedAt[e.Server]
	if age := e.At - start; !cold || age >= j.rules.SlowStart {
		return
	}
	old := func(s send) bool { return e.At-s.at > j.rules.OverloadWindow }
	sends := append(slices.DeleteFunc(j.sends[e.Server], old), send{e.At, e.Work})
	j.sends[e.Server] = sends
	sum := 0.0
	for _, s := range sends {
		sum += s.work
	}
	share := j.rules.SlowStartShare + (1-j.rules.SlowStartShare)*float64(e.At-start)/float64(j.rules.SlowStart)
	if able := j.rules.OverloadFactor * share * j.rules.Servers[e.Server].Slots * float64(j.rules.OverloadWindow) / 1e9; sum > able {
		j.report(4, "%s, cold: %.2f s of work in a window that bears %.2f", e.Server, sum, able)
	}
}

// checkTotal adds up what all may use at this moment. A share that ends leaves the sum by itself; one that grows is told.
func (j *Checker) checkTotal(e Event) {
	shares := j.quotas[e.Budget]
	if shares == nil {
		shares = map[string]quota{}
		j.quotas[e.Budget] = shares
	}
	shares[e.Node] = quota{e.Units, e.Until}
	sum := int64(0)
	for node, s := range shares {
		if s.until != 0 && s.until <= j.now || s.units == 0 {
			delete(shares, node)
			continue
		}
		sum += s.units
	}
	if whole := j.rules.Totals[e.Budget]; sum > whole && !j.exceeded[e.Budget] {
		j.report(ruleTotals, "%s: %d units are in force, the whole is %d", e.Budget, sum, whole)
		j.exceeded[e.Budget] = true
	} else if sum <= whole {
		j.exceeded[e.Budget] = false
	}
}

// End closes the log at a time and gives all breaches, in the order of the events that prove them.
func (j *Checker) End(at int64) []Violation {
	j.now = max(j.now, at)
	j.expireRequests()
	return j.violations
}
