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

// EventKind is what an event tells of.
type EventKind string

const (
	RequestAccepted  EventKind = "taken"    // a node has a txn and owes it one final answer
	AttemptSent      EventKind = "posted"   // it was sent to an executor
	AttemptEnded     EventKind = "ended"    // what came of that sending
	RequestAnswered  EventKind = "answered" // the final answer
	ClientLeft       EventKind = "left"     // the client has gone; nothing is owed any more
	EndpointNotified EventKind = "told"     // a node was told that an executor is up, drains or is gone
	ServerStarted    EventKind = "begun"    // an executor started, cold; true of the world, told to nobody
	NodeKilled       EventKind = "killed"   // a node died; what it had is owed no more
	QuotaHeld        EventKind = "held"     // a process may use so many units of a budget until a time; true from then on, in place of before
)

// Event is one line of a log. Times are nanoseconds, in order.
type Event struct {
	At               int64     `json:"at"`
	Kind             EventKind `json:"kind"`
	Node             string    `json:"node,omitempty"`
	Request          string    `json:"txn,omitempty"`
	Class            string    `json:"scheme,omitempty"`   // taken
	Client           string    `json:"client,omitempty"`   // taken: what the try is one of
	Tenant           string    `json:"tenant,omitempty"`   // taken
	FirstRequestedAt int64     `json:"first,omitempty"`    // taken: when the client first asked
	LatencyObjective int64     `json:"aim,omitempty"`      // taken: until when an answer earns its full value
	Weight           float64   `json:"value,omitempty"`    // taken: billing value
	Deadline         int64     `json:"expiry,omitempty"`   // taken
	Server           string    `json:"executor,omitempty"` // posted, told, begun
	Attempt          int       `json:"posting"`            // posted, ended: from 0 on in each txn
	Work             float64   `json:"work,omitempty"`     // posted: slots times seconds that it takes
	StartedAt        int64     `json:"since,omitempty"`    // begun: the moment, if it was earlier
	Budget           string    `json:"budget,omitempty"`   // held
	Units            int64     `json:"units,omitempty"`    // held
	Until            int64     `json:"until,omitempty"`    // held; 0: for good, as a floor is
	Result           string    `json:"result,omitempty"`   // ended: settled, full, undialed, unsent, or another; answered: settled, declined, reversed; told: up, draining, gone
}

// Class is what the rules say of a kind of txn.
type Class struct {
	Idempotency string `json:"effect"` // repeatable, referenced, once-only
	DedupScope  string `json:"group"`  // of a referenced one: all, zone, cell
	DedupWindow int64  `json:"memory"` // how long a group drops its repeats
}

// ServerPlace is where an executor stands, and how many slots it has when warm.
type ServerPlace struct {
	Zone  string  `json:"zone"`
	Cell  string  `json:"cell"`
	Slots float64 `json:"slots"`
}

// Rules are the figures that a log is held against.
type Rules struct {
	Slack          int64                  `json:"slack"` // after the expiry in which an answer still counts
	DrainGrace     int64                  `json:"grace"` // in which sends to a draining executor have to stop
	OverloadWindow int64                  `json:"fall"`
	OverloadFactor float64                `json:"fall_multiple"`
	SlowStart      int64                  `json:"cold"`
	SlowStartShare float64                `json:"cold_share"`
	AllowHedging   bool                   `json:"doubles"` // two postings of one txn may be out at once
	Classes        map[string]Class       `json:"schemes"`
	Servers        map[string]ServerPlace `json:"executors"`
	Totals         map[string]int64       `json:"wholes,omitempty"` // of budgets that nodes hold together
}

// Rule 5 is of nodes that hold budgets together: shares in force never sum to more than the whole.
const sums = 5

// Violation is a broken rule and the event that proves it, by its number from 0 on.
type Violation struct {
	Rule, Event int
	Message     string
}

type posting struct {
	at       int64
	executor string
	open     bool
	unrun    bool // proved
}

type txn struct {
	node     string
	scheme   Class
	expiry   int64
	postings []*posting
	over     bool
	taken    int // event
}

type send struct {
	at   int64
	work float64
}

// Checker reads events in order.
type Checker struct {
	rules    Rules
	seen     int
	now      int64
	txns     map[string]*txn
	owed     owed                        // without an answer, and some that have one
	stops    map[string]map[string]int64 // node, executor: since when it is told to drain or gone
	begun    map[string]int64
	sends    map[string][]send // to cold executors, in the last window
	breaches []Violation
	shares   map[string]map[string]stake // budget, process
	over     map[string]bool             // budgets told of, until they are within the whole again
}

// stake is what a process may use until a time; 0: for good.
type stake struct{ units, until int64 }

func New(rules Rules) *Checker {
	return &Checker{rules: rules, txns: map[string]*txn{}, stops: map[string]map[string]int64{}, begun: map[string]int64{},
		sends: map[string][]send{}, shares: map[string]map[string]stake{}, over: map[string]bool{}}
}

func (j *Checker) breach(rule int, format string, args ...any) {
	j.breaches = append(j.breaches, Violation{rule, j.seen, fmt.Sprintf(format, args...)})
}

// Add takes the next event. An error says that the log makes no sense; it is no breach by whoever is judged.
func (j *Checker) Add(e Event) error {
	if e.At < j.now {
		return fmt.Errorf("event %d: time goes back from %d to %d", j.seen, j.now, e.At)
	}
	j.now = e.At
	j.overdue()
	if err := j.add(e); err != nil {
		return fmt.Errorf("event %d: %w", j.seen, err)
	}
	j.seen++
	return nil
}

func (j *Checker) add(e Event) error {
	t := j.txns[e.Request]
	switch e.Kind {
	case RequestAccepted:
		scheme, known := j.rules.Classes[e.Class]
		if t != nil || !known || e.Request == "" || e.Node == "" {
			return fmt.Errorf("txn %q of scheme %q taken by %q: known before, or its scheme or node is not", e.Request, e.Class, e.Node)
		}
		t = &txn{node: e.Node, scheme: scheme, expiry: e.Deadline, taken: j.seen}
		j.txns[e.Request] = t
		heap.Push(&j.owed, t)
	case EndpointNotified:
		if j.stops[e.Node] == nil {
			j.stops[e.Node] = map[string]int64{}
		}
		if _, stopped := j.stops[e.Node][e.Server]; e.Result == "up" {
			delete(j.stops[e.Node], e.Server)
		} else if !stopped {
			j.stops[e.Node][e.Server] = e.At
		}
	case ServerStarted:
		j.begun[e.Server] = cmp.Or(e.StartedAt, e.At)
		delete(j.sends, e.Server)
	case QuotaHeld:
		if _, known := j.rules.Totals[e.Budget]; !known || e.Node == "" || e.Units < 0 {
			return fmt.Errorf("%d units of budget %q held by %q", e.Units, e.Budget, e.Node)
		}
		j.held(e)
	case NodeKilled:
		delete(j.stops, e.Node)
		for _, shares := range j.shares {
			delete(shares, e.Node)
		}
		for _, o := range j.owed {
			if o.node == e.Node {
				o.over = true
			}
		}
	case AttemptSent, AttemptEnded, RequestAnswered, ClientLeft:
		if t == nil {
			return fmt.Errorf("%s of an unknown txn %q", e.Kind, e.Request)
		}
		return j.step(t, e)
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
	return nil
}

func (j *Checker) step(t *txn, e Event) error {
	switch e.Kind {
	case AttemptSent:
		if e.Attempt != len(t.postings) {
			return fmt.Errorf("posting %d where %d is the next", e.Attempt, len(t.postings))
		}
		if _, known := j.rules.Servers[e.Server]; !known {
			return fmt.Errorf("unknown executor %q", e.Server)
		}
		j.posted(t, e)
		t.postings = append(t.postings, &posting{at: e.At, executor: e.Server, open: true})
	case AttemptEnded:
		if e.Attempt < 0 || e.Attempt >= len(t.postings) || !t.postings[e.Attempt].open {
			return fmt.Errorf("end of posting %d, which is not out", e.Attempt)
		}
		p := t.postings[e.Attempt]
		p.open, p.unrun = false, e.Result == "full" || e.Result == "undialed" || e.Result == "unsent"
	case RequestAnswered:
		if t.over {
			j.breach(1, "txn %s: a second final answer, %s, or one that nobody waits for", e.Request, e.Result)
		} else if first := t.first(); e.Result == "declined" && first != nil &&
			(t.scheme.Idempotency == "once-only" || t.scheme.Idempotency == "referenced" && t.scheme.DedupScope != "all") {
			j.breach(2, "txn %s: declined though its posting to %s may have run", e.Request, first.executor)
		}
		t.over = true
	case ClientLeft:
		t.over = true
	}
	return nil
}

// first is the first posting that may have run, or may yet.
func (t *txn) first() *posting {
	if i := slices.IndexFunc(t.postings, func(p *posting) bool { return !p.unrun }); i >= 0 {
		return t.postings[i]
	}
	return nil
}

// posted holds one sending against all four rules.
func (j *Checker) posted(t *txn, e Event) {
	if t.over {
		j.breach(1, "txn %s: sent to %s after its end", e.Request, e.Server)
	}
	if !j.rules.AllowHedging && slices.ContainsFunc(t.postings, func(p *posting) bool { return p.open }) {
		j.breach(2, "txn %s: a second posting out at once", e.Request)
	}
	if first := t.first(); first != nil {
		was, is := j.rules.Servers[first.executor], j.rules.Servers[e.Server]
		switch {
		case t.scheme.Idempotency == "once-only":
			j.breach(2, "txn %s: once-only, sent again to %s though it may have run at %s", e.Request, e.Server, first.executor)
		case t.scheme.Idempotency == "referenced" && e.At-first.at > t.scheme.DedupWindow:
			j.breach(2, "txn %s: sent again after its group has forgotten it", e.Request)
		case t.scheme.Idempotency == "referenced" && (t.scheme.DedupScope == "zone" && was.Zone != is.Zone || t.scheme.DedupScope == "cell" && was.Cell != is.Cell):
			j.breach(2, "txn %s: sent again outside its %s", e.Request, t.scheme.DedupScope)
		}
	}
	if since, stopped := j.stops[t.node][e.Server]; stopped && e.At-since > j.rules.DrainGrace {
		j.breach(3, "txn %s: sent to %s %d ms after %s was told to stop", e.Request, e.Server, (e.At-since)/1e6, t.node)
	}
	j.cold(e)
}

// cold counts what all nodes sent to a cold executor in one window against what it can do in it.
func (j *Checker) cold(e Event) {
	start, cold := j.begun[e.Server]
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
		j.breach(4, "%s, cold: %.2f s of work in a window that bears %.2f", e.Server, sum, able)
	}
}

// held adds up what all may use at this moment. A share that ends leaves the sum by itself; one that grows is told.
func (j *Checker) held(e Event) {
	shares := j.shares[e.Budget]
	if shares == nil {
		shares = map[string]stake{}
		j.shares[e.Budget] = shares
	}
	shares[e.Node] = stake{e.Units, e.Until}
	sum := int64(0)
	for node, s := range shares {
		if s.until != 0 && s.until <= j.now || s.units == 0 {
			delete(shares, node)
			continue
		}
		sum += s.units
	}
	if whole := j.rules.Totals[e.Budget]; sum > whole && !j.over[e.Budget] {
		j.breach(sums, "%s: %d units are in force, the whole is %d", e.Budget, sum, whole)
		j.over[e.Budget] = true
	} else if sum <= whole {
		j.over[e.Budget] = false
	}
}

// owed is a heap of txns by when their answers are due; of several at one time the one that was taken first.
// Danger: all that are owed, looked at for each event; at 300 nodes that took two thirds of a run.
type owed []*txn

func (o owed) Len() int { return len(o) }
func (o owed) Less(x, y int) bool {
	return cmp.Or(cmp.Compare(o[x].expiry, o[y].expiry), cmp.Compare(o[x].taken, o[y].taken)) < 0
}
func (o owed) Swap(x, y int) { o[x], o[y] = o[y], o[x] }
func (o *owed) Push(t any)   { *o = append(*o, t.(*txn)) }
func (o *owed) Pop() any {
	t := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return t
}

// overdue tells of txns whose answer is late.
func (j *Checker) overdue() {
	for len(j.owed) > 0 && (j.owed[0].over || j.now > j.owed[0].expiry+j.rules.Slack) {
		if t := heap.Pop(&j.owed).(*txn); !t.over {
			j.breach(1, "the txn taken by event %d has no final answer by its expiry", t.taken)
			t.over = true
		}
	}
}

// Violations closes the log at a time and gives all breaches, in the order of the events that prove them.
func (j *Checker) Violations(at int64) []Violation {
	j.now = max(j.now, at)
	j.overdue()
	return j.breaches
}
