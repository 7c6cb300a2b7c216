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

func (w *world) StartAttempt(attempt *Attempt) {
	w.Helper()
	request := attempt.Request
	switch {
	case w.ended[request] > 0:
		w.Fatal("rule 1: posting for a txn that has its final answer")
	case attempt.Number >= w.terms.MaxAttempts:
		w.Fatal("more postings than the terms allow")
	}
	if w.stopped[attempt.Server] {
		w.Fatal("rule 3: posting to an executor that drains or is gone")
	}
	var first *Attempt
	for _, q := range request.Attempts[:attempt.Number] {
		if first == nil && w.mayRun[q] {
			first = q
		}
		if q.InFlight && !w.terms.AllowHedging {
			w.Fatal("rule 2: two postings out where none may be doubled")
		}
	}
	if class := request.Class; first != nil && class.Idempotency != Idempotent {
		if class.Idempotency == NonIdempotent || w.now-w.sentAt[first] > class.DedupWindow ||
			class.DedupScope == DedupCell && attempt.Server.cell != first.Server.cell ||
			class.DedupScope == DedupZone && attempt.Server.zone != first.Server.zone {
			w.Fatalf("rule 2: scheme %d sent again where it may run twice", class.Index)
		}
	}
	w.mayRun[attempt], w.sentAt[attempt] = true, w.now
	w.open = append(w.open, attempt)
	w.cold(attempt)
}

// cold holds this node's sends alone to a cold executor's budget. What all nodes send together is FuzzColdFleet's.
func (w *world) cold(attempt *Attempt) {
	server := attempt.Server
	i := slices.IndexFunc(w.fleet, func(m *Endpoint) bool { return m.Server == server })
	if age := w.now - w.fleet[i].StartedAt; w.fleet[i].StartedAt > 0 && age < w.terms.SlowStart && w.terms.StartTimeError == 0 {
		w.coldWork[server] = append(w.coldWork[server], timedAmount{w.now, float64(attempt.Request.ExpectedWork) * attempt.Request.Slots})
		sum, share := 0.0, w.terms.SlowStartShare+(1-w.terms.SlowStartShare)*float64(age)/float64(w.terms.SlowStart)
		for _, c := range w.coldWork[server] {
			if w.now-c.at <= w.terms.OverloadWindow {
				sum += c.amount
			}
		}
		if sum > w.terms.OverloadFactor*share*testSlots*float64(w.terms.OverloadWindow) {
			w.Fatalf("rule 4: %.0f ms of work sent to a cold executor", sum/1e6)
		}
	}
}

func (w *world) CancelAttempt(attempt *Attempt) {
	if w.withdraw++; !w.terms.AllowCancel {
		w.Fatal("withdrawn where it is not permitted")
	}
}

func (w *world) final(request *Request) {
	w.Helper()
	if w.ended[request]++; w.ended[request] > 1 {
		w.Fatal("rule 1: two final answers")
	}
	if w.now > request.Deadline {
		w.Fatal("rule 1: final answer after expiry")
	}
}

func (w *world) Shed(request *Request, returnIn int64) {
	w.Helper()
	w.final(request)
	for _, attempt := range request.Attempts {
		if class := request.Class; w.mayRun[attempt] && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentInGroup && class.DedupScope != DedupAll) {
			w.Fatalf("rule 2: scheme %d declined though it may have run", class.Index)
		}
	}
}

func (w *world) Compensate(request *Request)          { w.final(request) }
func (w *world) PollEndpoints(bool)                   {}
func (w *world) NotifyPeers(_ *Server, slots float64) { w.told = append(w.told, slots) }
func (w *world) ProbeCapacity(server *Server)         { w.probes = append(w.probes, server) }
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
	request := &Request{Class: w.terms.Classes[scheme], Slots: slots, ExpectedWork: hint, Deadline: w.now + left}
	w.txns = append(w.txns, request)
	w.d.Arrive(request)
	w.d.ProcessQueue()
	return request
}

// end gives a posting an outcome, as the bench would.
func (w *world) end(attempt *Attempt, o Outcome) {
	w.open = slices.DeleteFunc(w.open, func(q *Attempt) bool { return q == attempt })
	if o == Rejected || o == ConnectFailed || o == NotSent {
		w.mayRun[attempt] = false
	}
	if o == Succeeded && w.ended[attempt.Request] == 0 {
		w.final(attempt.Request)
	}
	w.d.AttemptEnded(attempt, o, w.now-w.sentAt[attempt], w.ended[attempt.Request] > 0)
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
		attempt := w.open[w.IntN(len(w.open))]
		if busy := attempt.Server.startedSlots; busy+attempt.Request.Slots <= testSlots {
			w.d.AttemptStarted(attempt)
		}
		w.d.AttemptProgressed(attempt)
	case n == 14 && len(w.fleet) > 0:
		m := w.fleet[w.IntN(len(w.fleet))]
		if m.State = EndpointState(w.IntN(3)); m.State == Up && w.IntN(2) == 0 {
			m.StartedAt = w.now
		}
		w.list(w.IntN(3) == 0)
	case n == 15 && len(w.txns) > 0:
		if request := w.txns[w.IntN(len(w.txns))]; w.ended[request] == 0 && w.IntN(4) == 0 {
			w.ended[request] = 1
			w.d.Finish(request)
		}
	case n == 17 && len(w.probes) > 0:
		i := w.IntN(len(w.probes))
		server := w.probes[i]
		w.probes = slices.Delete(w.probes, i, i+1)
		w.d.CapacityReported(server, w.IntN(3) > 0, float64(w.IntN(3)), float64(w.IntN(3)))
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
	for _, request := range w.txns {
		if w.ended[request] != 1 {
			w.Fatalf("rule 1: txn of scheme %d has %d final answers", request.Class.Index, w.ended[request])
		}
	}
}
