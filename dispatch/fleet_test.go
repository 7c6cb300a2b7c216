// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"fernrail/internal/invariants"
)

// herd is many nodes that share nothing but the clock and the executors.
type herd struct {
	*rand.Rand
	terms   *Settings
	now     int64
	nodes   []*herdNode
	since   []int64 // of each executor
	off     []int64 // by which it is stamped
	sent    [][]timedAmount
	slots   float64
	hasty   bool // every posting is turned away at once, so that all that the nodes hold goes out again
	settle  int64
	speed   []float64           // of each executor; nil: jobs run for settle everywhere
	work    func() int64        // of a txn that tells nothing of it
	works   map[*Request]int64  // of these
	patient int64               // how long clients wait; 0: a second
	judge   *invariants.Checker // hears of all that happens, and shares nothing with the module
	fault   error               // what the judge could not make sense of
	taken   int
}

func (h *herd) tell(e invariants.Event) {
	if e.At = h.now; h.fault == nil {
		h.fault = h.judge.Add(e)
	}
}

// verdict fails the test for what the judge has seen.
func (h *herd) verdict(t *testing.T) {
	t.Helper()
	if breaches := h.judge.End(h.now); h.fault != nil || len(breaches) > 0 {
		t.Fatalf("%v, of %d breaches: %+v", h.fault, len(breaches), breaches[:min(len(breaches), 3)])
	}
}

// herdNode is the Door of one of them.
type herdNode struct {
	*herd
	d      *Dispatcher
	fleet  []*Server
	alarms []*alarm
	open   []*Attempt
	at     map[*Attempt]int64
}

func (n *herdNode) StartAttempt(attempt *Attempt) {
	i := slices.Index(n.fleet, attempt.Server)
	work := attempt.Request.size
	if n.work != nil {
		work = float64(n.works[attempt.Request])
	}
	n.sent[i] = append(n.sent[i], timedAmount{n.now, work})
	n.open, n.at[attempt] = append(n.open, attempt), n.now
	n.tell(invariants.Event{Kind: invariants.AttemptSent, Request: attempt.Request.Tag, Attempt: attempt.Number, Server: strconv.Itoa(i), Work: work / 1e9})
}

// runs is how long a posting runs, without a queue.
func (n *herdNode) runs(attempt *Attempt) int64 {
	if n.work == nil {
		return n.settle
	}
	i := slices.Index(n.fleet, attempt.Server)
	return int64(float64(n.works[attempt.Request]) / n.speed[i] / n.able(i, n.at[attempt]))
}

// able is the part of its capacity that an executor has at least.
func (h *herd) able(i int, at int64) float64 {
	if age := at - h.since[i]; h.since[i] > 0 && age < h.terms.SlowStart {
		return h.terms.SlowStartShare + (1-h.terms.SlowStartShare)*float64(max(age, 0))/float64(h.terms.SlowStart)
	}
	return 1
}
func (n *herdNode) CancelAttempt(*Attempt) {}
func (n *herdNode) Shed(request *Request, _ int64) {
	n.tell(invariants.Event{Kind: invariants.RequestAnswered, Request: request.Tag, Result: "declined"})
}
func (n *herdNode) Compensate(request *Request) {
	n.tell(invariants.Event{Kind: invariants.RequestAnswered, Request: request.Tag, Result: "reversed"})
}
func (n *herdNode) PollEndpoints(bool)           {}
func (n *herdNode) NotifyPeers(*Server, float64) {}
func (n *herdNode) ProbeCapacity(*Server)        {}
func (n *herdNode) Schedule(after int64, then func()) (forget func()) {
	a := &alarm{n.now + max(after, 1), then}
	n.alarms = append(n.alarms, a)
	return func() { n.alarms = slices.DeleteFunc(n.alarms, func(b *alarm) bool { return a == b }) }
}

func newHerd(seed uint64, nodes, executors int) *herd {
	h := &herd{Rand: rand.New(rand.NewPCG(seed, 2)), now: 1e12, slots: testSlots, settle: 1e8}
	h.terms = basicTerms()
	h.terms.Nodes, h.terms.Classes, h.terms.Tick = nodes, h.terms.Classes[:1], 2e7
	h.since, h.off, h.sent = make([]int64, executors), make([]int64, executors), make([][]timedAmount, executors)
	places := map[string]invariants.ServerPlace{}
	for i := range executors {
		places[strconv.Itoa(i)] = invariants.ServerPlace{Slots: h.slots}
	}
	h.judge = invariants.New(invariants.Rules{OverloadWindow: h.terms.OverloadWindow, OverloadFactor: h.terms.OverloadFactor, SlowStart: h.terms.SlowStart,
		SlowStartShare: h.terms.SlowStartShare, AllowHedging: h.terms.AllowHedging, Servers: places,
		Classes: map[string]invariants.Class{"s": {Idempotency: "repeatable"}}})
	for i := range nodes {
		terms := *h.terms
		terms.NodeIndex = i
		h.start(&terms)
	}
	return h
}

func (h *herd) start(terms *Settings) {
	n := &herdNode{herd: h, at: map[*Attempt]int64{}}
	n.d = New(terms, h.Uint64(), n, h.now)
	for range h.since {
		n.fleet = append(n.fleet, &Server{})
	}
	if len(h.nodes) <= terms.NodeIndex {
		h.nodes = append(h.nodes, n)
	} else {
		h.tell(invariants.Event{Kind: invariants.NodeKilled, Node: strconv.Itoa(terms.NodeIndex)})
		h.nodes[terms.NodeIndex] = n // started again: it knows nothing of what it sent before
	}
	n.list()
}

func (n *herdNode) list() {
	var members []Endpoint
	for i, server := range n.fleet {
		members = append(members, Endpoint{Server: server, StartedAt: n.since[i] + n.off[i]})
	}
	n.d.UpdateEndpoints(true, members)
}

// renew starts all executors again; starts tell how many have been seen at work in one.
func (h *herd) renew(apart int64, unlike int) {
	for i := range h.since {
		h.since[i] = h.now - h.Int64N(apart+1)
		h.off[i] = h.Int64N(2*h.terms.StartTimeError+1) - h.terms.StartTimeError
	}
	for _, i := range h.Perm(len(h.since)) {
		h.tell(invariants.Event{Kind: invariants.ServerStarted, Server: strconv.Itoa(i), Since: h.since[i]})
	}
	for _, n := range h.nodes {
		n.list()
		n.d.machineTypes[0].maxSlots = h.slots - float64(h.IntN(unlike)) // nodes have seen more or less of it
	}
}

// pass lets time go by; every node has work waiting that is as large as given, give or take half.
func (h *herd) pass(span, size int64, share float64) {
	for end := h.now + span; h.now < end; {
		h.now += h.terms.Tick
		for _, n := range h.nodes {
			n.d.Advance(h.now)
			due := slices.Clone(n.alarms)
			n.alarms = slices.DeleteFunc(n.alarms, func(a *alarm) bool { return a.at <= h.now })
			for _, a := range due {
				if a.at <= h.now {
					a.then()
				}
			}
			for due := share; due > 0 && h.Float64() < due; due-- {
				h.taken++
				request := &Request{Tag: strconv.Itoa(h.taken), Class: h.terms.Classes[0], Slots: 1, ExpectedWork: size/2 + h.Int64N(size), Deadline: h.now + 1e9}
				if h.work != nil {
					request.ExpectedWork, request.Deadline, h.works[request] = 0, h.now+h.patient, h.work()
				}
				h.tell(invariants.Event{Kind: invariants.RequestAccepted, Node: strconv.Itoa(n.d.settings.NodeIndex), Request: request.Tag, Class: "s", Deadline: request.Deadline})
				n.d.Arrive(request)
			}
			n.d.ProcessQueue()
			for _, attempt := range slices.Clone(n.open) {
				if o := Succeeded; h.hasty || h.now-n.at[attempt] >= n.runs(attempt) {
					if h.hasty {
						o = Rejected
					}
					n.open = slices.DeleteFunc(n.open, func(q *Attempt) bool { return attempt == q })
					n.tell(invariants.Event{Kind: invariants.AttemptEnded, Request: attempt.Request.Tag, Attempt: attempt.Number, Result: o.String()})
					if o == Succeeded && !attempt.Request.Done {
						n.tell(invariants.Event{Kind: invariants.RequestAnswered, Request: attempt.Request.Tag, Result: "settled"})
					}
					n.d.AttemptEnded(attempt, o, h.now-n.at[attempt], attempt.Request.Done || o == Succeeded)
				}
			}
			n.d.ProcessQueue()
		}
	}
}

// worst is the most of any cold executor's budget that was sent to it in one window, by what it can do meanwhile.
func (h *herd) worst() (part float64) {
	for i, sends := range h.sent {
		for from, first := range sends {
			sum, last := 0.0, first
			for _, c := range sends[from:] {
				if c.at-first.at <= h.terms.OverloadWindow {
					sum, last = sum+c.amount, c
				}
			}
			age := max(first.at-h.since[i], 0) // capacity at the window's start: the least in it
			able := h.terms.SlowStartShare + (1-h.terms.SlowStartShare)*float64(age)/float64(h.terms.SlowStart)
			if first.at >= h.since[i] && last.at < h.since[i]+h.terms.SlowStart {
				part = max(part, sum/(h.terms.OverloadFactor*able*h.slots*float64(h.terms.OverloadWindow)))
			}
		}
	}
	return part
}

// FuzzColdFleet has all nodes at their worst: much more work than the executors can take, all of which are cold, some
// nodes started again meanwhile, no two of one mind about how large txns and executors are, and stamps off. What all send
// together stays within the budget, in any window, refused or not.
func FuzzColdFleet(f *testing.F) {
	for seed := range uint64(10) {
		f.Add(seed, uint16(1+seed*seed*3/2), seed%2 == 0)
	}
	f.Fuzz(func(t *testing.T, seed uint64, nodes uint16, hasty bool) {
		h := newHerd(seed, 1+int(nodes)%500, 1+int(seed%3))
		h.hasty = hasty
		h.terms.StartTimeError = []int64{0, h.terms.OverloadWindow, h.terms.SlowStart}[seed%3]
		for _, n := range h.nodes {
			n.d.settings.StartTimeError = h.terms.StartTimeError
		}
		size := int64(2e7) << (seed % 5)
		h.pass(h.terms.OverloadWindow, size, 0)
		h.renew(int64(seed%2)*h.terms.SlowStart/3, 1+int(seed/2)%4)
		for range 5 {
			h.pass(h.terms.OverloadWindow/2, size, min(800/float64(len(h.nodes)), 1)/4)
			again := *h.terms
			again.NodeIndex = h.IntN(len(h.nodes))
			h.start(&again)
		}
		h.verdict(t)
		if worst := h.worst(); worst > 1 {
			t.Fatalf("%.2f of a cold executor's budget was sent by %d nodes", worst, len(h.nodes))
		} else {
			t.Logf("%.2f by %d nodes, size %d ms", worst, len(h.nodes), size/1e6)
		}
	})
}

// TestManyNodesUseTheCold: of eighty nodes none has a part as large as a txn, yet a fleet that was swapped for new
// executors is used, and no node has it for itself.
func TestManyNodesUseTheCold(t *testing.T) {
	h := newHerd(5, 80, 3)
	h.pass(h.terms.OverloadWindow, 1e8, 0)
	h.renew(h.terms.SlowStart/10, 4)
	h.pass(h.terms.SlowStart/2, 3e8, 0.05)
	h.verdict(t)
	work := 0.0
	for _, sends := range h.sent {
		for _, c := range sends {
			work += c.amount
		}
	}
	// what they can do meanwhile, if they warm as late as the terms allow
	able := 3 * h.slots * (h.terms.SlowStartShare + (1-h.terms.SlowStartShare)/4) * float64(h.terms.SlowStart/2)
	if used := work / able; used < 0.3 || h.worst() > 1 {
		t.Errorf("%.2f of cold executors is used, at most %.2f of a budget", used, h.worst())
	} else {
		t.Logf("%.2f used, %.2f of a budget", used, h.worst())
	}
}

// TestReportsTellSizes: a node that never has more than one txn at an executor learns from load reports how large it is,
// and with that how much a cold one can take.
func TestReportsTellSizes(t *testing.T) {
	part := func(free float64) float64 {
		w := newWorld(t, 1, basicTerms())
		w.join(1, false)
		w.pass(w.terms.OverloadWindow)
		w.arrive(0, 1, 1e8, 9e9)
		w.open[0].FreeSlots = free
		w.settle()
		w.fleet[0].StartedAt = w.now
		w.list(true)
		part := w.d.currentTurn(w.fleet[0].Server).quotaShare
		return part
	}
	if untold, told := part(0), part(4); told <= untold {
		t.Errorf("%v untold, %v told", untold, told)
	}
}

// TestFirstCallsAreSpread: nodes that start together, each with a list to go by, do not ask for news together, and leave half
// of the drain's grace for the answer where news counts as told at once; one that has no list asks at once.
func TestFirstCallsAreSpread(t *testing.T) {
	for _, within := range []int64{0, 8e9} {
		h := newHerd(4, 80, 1)
		h.terms.UnpolledEventAge, h.terms.DrainGrace = within, 2e9
		bound := within + 1e9
		var per [8]int
		for _, node := range h.nodes {
			node.alarms, node.d.settings = nil, h.terms
			node.d.StartPolling()
			if after := node.alarms[0].at - h.now; after >= bound {
				t.Fatalf("a call after %d ms, %d at most", after/1e6, bound/1e6)
			}
			per[(node.alarms[0].at-h.now)*8/bound]++
		}
		if slices.Max(per[:]) > 20 || slices.Min(per[:]) == 0 {
			t.Errorf("calls in each eighth of the time: %v", per)
		}
	}
	w := newWorld(t, 1, basicTerms())
	if w.d.StartPolling(); w.alarms[0].at > w.now+1 {
		t.Error("a node without a list waits before it asks")
	}
}

// TestFailedCallsAreSpread: nodes whose calls for the list failed together do not ask again together, and the longer that
// goes on the seldomer; a list that comes starts it over. Danger: what discovery worked on in vain is asked for again within
// the drain's grace, and sixty nodes at a service of 16 calls a second are served none of them for as long as it lasts. And
// what a silent agent has when it comes back counts at once: a pause beyond the grace sends work to what drains.
func TestFailedCallsAreSpread(t *testing.T) {
	for _, c := range []struct{ within, spent, bound int64 }{{0, 0, 1e9}, {0, 1e8, 1e9}, {0, 2e9, 4e9}, {0, 4e9, 2e9}, {8e9, 0, 8e9}} {
		h := newHerd(3, 80, 1)
		h.terms.UnpolledEventAge, h.terms.DrainGrace = c.within, 2e9
		most := func(rounds int) (n int, last int64) {
			var per [16]int
			for _, node := range h.nodes {
				node.alarms, node.d.settings = nil, h.terms
				for range rounds {
					node.d.PollFailed(c.spent, c.spent)
				}
				last = max(last, node.alarms[rounds-1].at-h.now)
				per[min((node.alarms[rounds-1].at-h.now)*16/c.bound, 15)]++
			}
			return slices.Max(per[:]), last
		}
		if _, last := most(1); last > c.bound/2 || c.within == 0 && last > 5e8 {
			t.Errorf("%+v: the last after %d ms", c, last/1e6)
		}
		if later, last := most(6); later > 25 || last > c.bound || last < c.bound/2 {
			t.Errorf("%+v: then %d, the last after %d ms", c, later, last/1e6)
		}
		for _, node := range h.nodes {
			node.list()
		}
		if first, last := most(1); last > c.bound/2 || c.within == 0 && last > 5e8 || c.spent == 0 && first > 35 {
			t.Errorf("%+v, after a list: the last after %d ms, %d of 80 in a sixteenth of the time", c, last/1e6, first)
		}
	}
}
