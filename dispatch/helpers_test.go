// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// world is a Door that holds every action against the four rules at the moment it is taken, and drives the module
// through random legal histories. It models no queues and no speeds: what executors do is chance.
type world struct {
	*testing.T
	*rand.Rand
	terms    *Settings
	d        *Dispatcher
	now      int64
	alarms   []*alarm
	open     []*Attempt
	txns     []*Request
	ended    map[*Request]int
	mayRun   map[*Attempt]bool // not proved unrun
	sentAt   map[*Attempt]int64
	withdraw int
	told     []float64
	probes   []*Server // without an answer
	fleet    []*Endpoint
	stopped  map[*Server]bool // told that it drains or is gone
	coldWork map[*Server][]timedAmount
}

type alarm struct {
	at   int64
	then func()
}

const testSlots = 4

var open = &keyState{concurrencyLimit: concurrencyLimit{limit: math.Inf(1)}} // what txns are about that never were taken

func basicTerms() *Settings {
	return &Settings{Nodes: 2, Tick: 4e6, StartNotices: true, ProgressInterval: 1e9, MaxAttempts: 4, AllowCancel: true,
		AllowHedging: true, MaxRetryAfter: 2e9, SlowStartShare: 0.2, SlowStart: 10e9, OverloadWindow: 2e9,
		OverloadFactor: 3, UnpolledEventAge: 8e9, MaxPollInterval: 6e9, Classes: []*Class{
			{LatencyObjective: 3e8, ObjectivePerWork: 2, Weight: 3, LateShare: 0.3, MachineType: -1},
			{Index: 1, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 8, MachineType: -1, Idempotency: IdempotentInGroup, DedupScope: DedupCell, DedupWindow: 3e9},
			{Index: 2, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 5, LateShare: 0.9, MachineType: -1, Idempotency: NonIdempotent},
			{Index: 3, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 1, MachineType: 1, Idempotency: IdempotentInGroup, DedupScope: DedupZone, DedupWindow: 1e9},
			{Index: 4, LatencyObjective: 2e8, Weight: 1, LateShare: 0.9, MachineType: -1, Idempotency: IdempotentInGroup, DedupWindow: 1e9}}}
}

func newWorld(t *testing.T, seed uint64, terms *Settings) *world {
	w := &world{T: t, Rand: rand.New(rand.NewPCG(seed, 1)), terms: terms, now: 1e12, ended: map[*Request]int{},
		mayRun: map[*Attempt]bool{}, sentAt: map[*Attempt]int64{}, stopped: map[*Server]bool{},
		coldWork: map[*Server][]timedAmount{}}
	w.d = New(terms, seed, w, w.now)
	return w
}

// join lists n executors, two a cell and four a zone; every third one has just started when cold is set.
func (w *world) join(n int, cold bool) {
	for i := range n {
		m := &Endpoint{Server: &Server{}, Zone: i / 4, Cell: i / 2, MachineType: i % 2}
		if cold && i%3 == 0 {
			m.StartedAt = w.now - w.Int64N(w.terms.SlowStart)
		}
		w.fleet = append(w.fleet, m)
	}
	w.list(true)
}

func (w *world) list(whole bool) {
	var members []Endpoint
	for _, m := range w.fleet {
		w.stopped[m.Server] = m.State != Up
		if !whole || m.State != Removed {
			members = append(members, *m)
		}
	}
	if whole && len(members) > 0 {
		members = append(members, members[0])
	}
	w.d.UpdateEndpoints(whole, members)
}

func (w *world) StartAttempt(p *Attempt) {
	w.Helper()
	t := p.Request
	switch {
	case w.ended[t] > 0:
		w.Fatal("rule 1: posting for a txn that has its final answer")
	case p.Number >= w.terms.MaxAttempts:
		w.Fatal("more postings than the terms allow")
	}
	if w.stopped[p.Server] {
		w.Fatal("rule 3: posting to an executor that drains or is gone")
	}
	var first *Attempt
	for _, q := range t.Attempts[:p.Number] {
		if first == nil && w.mayRun[q] {
			first = q
		}
		if q.InFlight && !w.terms.AllowHedging {
			w.Fatal("rule 2: two postings out where none may be doubled")
		}
	}
	if s := t.Class; first != nil && s.Idempotency != Idempotent {
		if s.Idempotency == NonIdempotent || w.now-w.sentAt[first] > s.DedupWindow ||
			s.DedupScope == DedupCell && p.Server.cell != first.Server.cell ||
			s.DedupScope == DedupZone && p.Server.zone != first.Server.zone {
			w.Fatalf("rule 2: scheme %d sent again where it may run twice", s.Index)
		}
	}
	w.mayRun[p], w.sentAt[p] = true, w.now
	w.open = append(w.open, p)
	w.cold(p)
}

// cold holds this node's sends alone to a cold executor's budget. What all nodes send together is FuzzColdFleet's.
func (w *world) cold(p *Attempt) {
	e := p.Server
	i := slices.IndexFunc(w.fleet, func(m *Endpoint) bool { return m.Server == e })
	if age := w.now - w.fleet[i].StartedAt; w.fleet[i].StartedAt > 0 && age < w.terms.SlowStart && w.terms.StartTimeError == 0 {
		w.coldWork[e] = append(w.coldWork[e], timedAmount{w.now, float64(p.Request.ExpectedWork) * p.Request.Slots})
		sum, share := 0.0, w.terms.SlowStartShare+(1-w.terms.SlowStartShare)*float64(age)/float64(w.terms.SlowStart)
		for _, c := range w.coldWork[e] {
			if w.now-c.at <= w.terms.OverloadWindow {
				sum += c.amount
			}
		}
		if sum > w.terms.OverloadFactor*share*testSlots*float64(w.terms.OverloadWindow) {
			w.Fatalf("rule 4: %.0f ms of work sent to a cold executor", sum/1e6)
		}
	}
}

func (w *world) CancelAttempt(p *Attempt) {
	if w.withdraw++; !w.terms.AllowCancel {
		w.Fatal("withdrawn where it is not permitted")
	}
}

func (w *world) final(t *Request) {
	w.Helper()
	if w.ended[t]++; w.ended[t] > 1 {
		w.Fatal("rule 1: two final answers")
	}
	if w.now > t.Deadline {
		w.Fatal("rule 1: final answer after expiry")
	}
}

func (w *world) Shed(t *Request, returnIn int64) {
	w.Helper()
	w.final(t)
	for _, p := range t.Attempts {
		if s := t.Class; w.mayRun[p] && (s.Idempotency == NonIdempotent || s.Idempotency == IdempotentInGroup && s.DedupScope != DedupAll) {
			w.Fatalf("rule 2: scheme %d declined though it may have run", s.Index)
		}
	}
}

func (w *world) Compensate(t *Request)                { w.final(t) }
func (w *world) PollEndpoints(bool)                   {}
func (w *world) NotifyPeers(_ *Server, slots float64) { w.told = append(w.told, slots) }
func (w *world) ProbeCapacity(e *Server)              { w.probes = append(w.probes, e) }
func (w *world) Schedule(after int64, then func()) (forget func()) {
	a := &alarm{w.now + max(after, 1), then}
	w.alarms = append(w.alarms, a)
	return func() { w.alarms = slices.DeleteFunc(w.alarms, func(b *alarm) bool { return a == b }) }
}

// pass lets time go by, alarm by alarm, in whole ticks.
func (w *world) pass(span int64) {
	for end := w.now + span; w.now < end; {
		w.now = min(w.now+w.terms.Tick, end)
		w.d.Advance(w.now)
		due := slices.Clone(w.alarms)
		w.alarms = slices.DeleteFunc(w.alarms, func(a *alarm) bool { return a.at <= w.now })
		for _, a := range due {
			if a.at <= w.now {
				a.then()
			}
		}
		w.d.ProcessQueue()
	}
}

func (w *world) arrive(scheme int, slots float64, hint, left int64) *Request {
	t := &Request{Class: w.terms.Classes[scheme], Slots: slots, ExpectedWork: hint, Deadline: w.now + left}
	w.txns = append(w.txns, t)
	w.d.Arrive(t)
	w.d.ProcessQueue()
	return t
}

// end gives a posting an outcome, as the bench would.
func (w *world) end(p *Attempt, o Outcome) {
	w.open = slices.DeleteFunc(w.open, func(q *Attempt) bool { return q == p })
	if o == Rejected || o == ConnectFailed || o == NotSent {
		w.mayRun[p] = false
	}
	if o == Succeeded && w.ended[p.Request] == 0 {
		w.final(p.Request)
	}
	w.d.AttemptEnded(p, o, w.now-w.sentAt[p], w.ended[p.Request] > 0)
	w.d.ProcessQueue()
}

// settle lets all jobs that are out start and end well at once, and what they make room for.
func (w *world) settle() {
	for len(w.open) > 0 {
		w.d.AttemptStarted(w.open[0])
		w.end(w.open[0], Succeeded)
	}
}

// step does one random legal thing.
func (w *world) step() {
	switch n := w.IntN(20); {
	case n < 6:
		w.arrive(w.IntN(len(w.terms.Classes)), float64(int(1)<<w.IntN(3)), 1e7+w.Int64N(6e8), w.Int64N(5e9)+2e7)
	case n < 10 && len(w.open) > 0:
		w.end(w.open[w.IntN(len(w.open))], Outcome(w.IntN(int(StaleConnection)+1)))
	case n < 14 && len(w.open) > 0:
		p := w.open[w.IntN(len(w.open))]
		if busy := p.Server.startedSlots; busy+p.Request.Slots <= testSlots {
			w.d.AttemptStarted(p)
		}
		w.d.AttemptProgressed(p)
	case n == 14 && len(w.fleet) > 0:
		m := w.fleet[w.IntN(len(w.fleet))]
		if m.State = EndpointState(w.IntN(3)); m.State == Up && w.IntN(2) == 0 {
			m.StartedAt = w.now
		}
		w.list(w.IntN(3) == 0)
	case n == 15 && len(w.txns) > 0:
		if t := w.txns[w.IntN(len(w.txns))]; w.ended[t] == 0 && w.IntN(4) == 0 {
			w.ended[t] = 1
			w.d.Finish(t)
		}
	case n == 17 && len(w.probes) > 0:
		i := w.IntN(len(w.probes))
		e := w.probes[i]
		w.probes = slices.Delete(w.probes, i, i+1)
		w.d.CapacityReported(e, w.IntN(3) > 0, float64(w.IntN(3)), float64(w.IntN(3)))
	case n == 18 && len(w.fleet) > 0:
		w.d.SlotsReserved(w.fleet[w.IntN(len(w.fleet))].Server, float64(w.IntN(300)))
	case n == 16:
		w.d.PollFailed(0, 0)
	default:
		w.pass(w.Int64N(3e8))
	}
}

// finish lets all expire and counts what was never answered.
func (w *world) finish() {
	w.pass(6e9)
	for _, t := range w.txns {
		if w.ended[t] != 1 {
			w.Fatalf("rule 1: txn of scheme %d has %d final answers", t.Class.Index, w.ended[t])
		}
	}
}
