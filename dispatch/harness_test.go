// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// harness implements Actions, checks every action against the four rules when it is performed, and drives
// the dispatcher through random valid histories. It has no model of queues or speeds; outcomes are random.
// The rules: each request gets exactly one final answer by its deadline (1), no request runs twice if that
// could have a second effect, or is hedged if that is not allowed (2), nothing is sent to draining or
// removed servers (3), and servers in slow start are not sent more than their budget (4).
type harness struct {
	*testing.T
	*rand.Rand
	settings      *Settings
	d             *Dispatcher
	now           int64
	timers        []*timer
	inFlight      []*Attempt
	requests      []*Request
	finalAnswers  map[*Request]int
	mayRun        map[*Attempt]bool // no outcome proves that it did not run
	sentAt        map[*Attempt]int64
	sentTo        map[*Attempt]dedupGroup // as listed at that time
	canceled      int
	notified      []float64
	probes        []*Server // without an answer yet
	endpoints     []*Endpoint
	unavailable   map[*Server]bool // draining or removed in the latest update
	slowStartWork map[*Server][]timedAmount
}

type timer struct {
	at   int64
	call func()
}

const testSlots = 4

// unlimitedKey is the key state of requests that did not arrive through Arrive.
var unlimitedKey = &keyState{concurrencyLimit: concurrencyLimit{limit: math.Inf(1)}}

func testSettings() *Settings {
	return &Settings{Nodes: 2, Tick: 4e6, StartNotices: true, ProgressInterval: 1e9, MaxAttempts: 4,
		AllowCancel: true, AllowHedging: true, MaxRetryAfter: 2e9, SlowStartShare: 0.2, SlowStart: 10e9,
		OverloadWindow: 2e9,
		OverloadFactor: 3, UnpolledEventAge: 8e9, MaxPollInterval: 6e9, Classes: []*Class{
			{LatencyObjective: 3e8, ObjectivePerWork: 2, Weight: 3, LateShare: 0.3, MachineType: -1},
			{Index: 1, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 8, MachineType: -1,
				Idempotency: IdempotentInGroup, DedupScope: DedupCell, DedupWindow: 3e9},
			{Index: 2, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 5, LateShare: 0.9, MachineType: -1,
				Idempotency: NonIdempotent},
			{Index: 3, LatencyObjective: 2e8, ObjectivePerWork: 2, Weight: 1, MachineType: 1,
				Idempotency: IdempotentInGroup, DedupScope: DedupZone, DedupWindow: 1e9},
			{Index: 4, LatencyObjective: 2e8, Weight: 1, LateShare: 0.9, MachineType: -1,
				Idempotency: IdempotentInGroup, DedupWindow: 1e9}}}
}

func newHarness(t *testing.T, seed uint64, settings *Settings) *harness {
	w := &harness{T: t, Rand: rand.New(rand.NewPCG(seed, 1)), settings: settings, now: 1e12,
		finalAnswers: map[*Request]int{},
		mayRun:       map[*Attempt]bool{}, sentAt: map[*Attempt]int64{}, sentTo: map[*Attempt]dedupGroup{},
		unavailable:   map[*Server]bool{},
		slowStartWork: map[*Server][]timedAmount{}}
	w.d = New(settings, seed, w, w.now)
	return w
}

// addServers lists n servers, two per cell and four per zone. If slowStart is true, every third one has just
// started.
func (w *harness) addServers(n int, slowStart bool) {
	for i := range n {
		m := &Endpoint{Server: &Server{}, Zone: i / 4, Cell: i / 2, MachineType: i % 2}
		if slowStart && i%3 == 0 {
			m.StartedAt = w.now - w.Int64N(w.settings.SlowStart)
		}
		w.endpoints = append(w.endpoints, m)
	}
	w.updateEndpoints(true)
}

func (w *harness) updateEndpoints(complete bool) {
	var entries []Endpoint
	for _, m := range w.endpoints {
		w.unavailable[m.Server] = m.State != Up
		if !complete || m.State != Removed {
			entries = append(entries, *m)
		}
	}
	if complete && len(entries) > 0 {
		entries = append(entries, entries[0])
	}
	w.d.UpdateEndpoints(complete, entries)
}

func (w *harness) StartAttempt(attempt *Attempt) {
	w.Helper()
	request := attempt.Request
	switch {
	case w.finalAnswers[request] > 0:
		w.Fatal("rule 1: attempt started for a request that has its final answer")
	case attempt.Number >= w.settings.MaxAttempts:
		w.Fatalf("started attempt number %d (from 0), want less than %d",
			attempt.Number, w.settings.MaxAttempts)
	}
	if w.unavailable[attempt.Server] {
		w.Fatal("rule 3: attempt started at a draining or removed server")
	}
	var first *Attempt
	for _, q := range request.Attempts[:attempt.Number] {
		if first == nil && w.mayRun[q] {
			first = q
		}
		if q.InFlight && !w.settings.AllowHedging {
			w.Fatal("rule 2: two attempts in flight although hedging is not allowed")
		}
	}
	if class := request.Class; first != nil && class.Idempotency != Idempotent {
		if class.Idempotency == NonIdempotent || w.now-w.sentAt[first] > class.DedupWindow ||
			class.DedupScope == DedupCell && attempt.Server.cell != w.sentTo[first].cell ||
			class.DedupScope == DedupZone && attempt.Server.zone != w.sentTo[first].zone {
			w.Fatalf("rule 2: request of class %d sent again although it may run twice", class.Index)
		}
	}
	w.mayRun[attempt], w.sentAt[attempt], w.sentTo[attempt] = true, w.now, attempt.Server.dedupGroup()
	w.inFlight = append(w.inFlight, attempt)
	w.checkSlowStart(attempt)
}

// checkSlowStart checks this node's sends alone against the budget of a server in slow start.
// FuzzSlowStartBudget checks the sends of all nodes together.
func (w *harness) checkSlowStart(attempt *Attempt) {
	server := attempt.Server
	i := slices.IndexFunc(w.endpoints, func(m *Endpoint) bool { return m.Server == server })
	startedAt := w.endpoints[i].StartedAt
	age := w.now - startedAt
	if startedAt <= 0 || age >= w.settings.SlowStart || w.settings.StartTimeError != 0 {
		return
	}
	work := float64(attempt.Request.ExpectedWork) * attempt.Request.Slots
	w.slowStartWork[server] = append(w.slowStartWork[server], timedAmount{w.now, work})
	sum := 0.0
	for _, sent := range w.slowStartWork[server] {
		if w.now-sent.at <= w.settings.OverloadWindow {
			sum += sent.amount
		}
	}
	capacity := capacityShare(w.settings, age) * testSlots * float64(w.settings.OverloadWindow)
	if sum > w.settings.OverloadFactor*capacity {
		w.Fatalf(
			"rule 4: %.0f ms of work sent in one window to a server in slow start, which is over its budget",
			sum/1e6)
	}
}

// capacityShare is the minimum share of its capacity that a server in slow start has at an age (ns).
func capacityShare(settings *Settings, age int64) float64 {
	return settings.SlowStartShare + (1-settings.SlowStartShare)*float64(age)/float64(settings.SlowStart)
}

func (w *harness) CancelAttempt(attempt *Attempt) {
	if w.canceled++; !w.settings.AllowCancel {
		w.Fatal("attempt canceled although canceling is not allowed")
	}
}

func (w *harness) recordFinal(request *Request) {
	w.Helper()
	if w.finalAnswers[request]++; w.finalAnswers[request] > 1 {
		w.Fatalf("rule 1: request has %d final answers, want 1", w.finalAnswers[request])
	}
	if w.now > request.Deadline {
		w.Fatalf("rule 1: final answer %d ms after the deadline", (w.now-request.Deadline)/1e6)
	}
}

func (w *harness) Shed(request *Request, _ int64) {
	w.Helper()
	w.recordFinal(request)
	class := request.Class
	mayRunTwice := class.Idempotency == NonIdempotent ||
		class.Idempotency == IdempotentInGroup && class.DedupScope != DedupAll
	for _, attempt := range request.Attempts {
		if w.mayRun[attempt] && mayRunTwice {
			w.Fatalf("rule 2: request of class %d shed although it may have run", class.Index)
		}
	}
}

func (w *harness) Compensate(request *Request) { w.recordFinal(request) }

func (w *harness) PollEndpoints(bool) {}

func (w *harness) NotifyPeers(_ *Server, slots float64) { w.notified = append(w.notified, slots) }

func (w *harness) ProbeCapacity(server *Server) { w.probes = append(w.probes, server) }

func (w *harness) Schedule(after int64, call func()) (cancel func()) {
	a := &timer{w.now + max(after, 1), call}
	w.timers = append(w.timers, a)
	return func() { w.timers = slices.DeleteFunc(w.timers, func(b *timer) bool { return a == b }) }
}

// advance advances the clock tick by tick and calls the timers that are due.
func (w *harness) advance(span int64) {
	for end := w.now + span; w.now < end; {
		w.now = min(w.now+w.settings.Tick, end)
		w.d.Advance(w.now)
		due := slices.Clone(w.timers)
		w.timers = slices.DeleteFunc(w.timers, func(a *timer) bool { return a.at <= w.now })
		for _, a := range due {
			if a.at <= w.now {
				a.call()
			}
		}
		w.d.ProcessQueue()
	}
}

// arrive admits a request of a class with the given slots, expected work (ns) and remaining time (ns).
func (w *harness) arrive(class int, slots float64, work, remaining int64) *Request {
	request := &Request{
		Class: w.settings.Classes[class], Slots: slots, ExpectedWork: work, Deadline: w.now + remaining}
	w.admit(request)
	return request
}

// admit reports the arrival of a request and processes the queue.
func (w *harness) admit(request *Request) {
	w.requests = append(w.requests, request)
	w.d.Arrive(request)
	w.d.ProcessQueue()
}

// keyedRequest returns a request of the first class with an affinity key.
func (w *harness) keyedRequest(key uint64, work, remaining int64) *Request {
	class := w.settings.Classes[0]
	return &Request{Class: class, Slots: 1, ExpectedWork: work, Deadline: w.now + remaining, AffinityKey: key}
}

// unqueuedRequest returns a request of the first class that did not arrive, for direct calls of draw.
func unqueuedRequest(settings *Settings) *Request {
	return &Request{Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e8, keyState: unlimitedKey}
}

// endAttempt reports the outcome of an attempt.
func (w *harness) endAttempt(attempt *Attempt, o Outcome) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(q *Attempt) bool { return q == attempt })
	if o == Rejected || o == ConnectFailed || o == NotSent {
		w.mayRun[attempt] = false
	}
	if o == Succeeded && w.finalAnswers[attempt.Request] == 0 {
		w.recordFinal(attempt.Request)
	}
	w.d.AttemptEnded(attempt, o, w.now-w.sentAt[attempt], w.finalAnswers[attempt.Request] > 0)
	w.d.ProcessQueue()
}

// completeAll starts all attempts in flight and ends them with success, including those that start
// meanwhile.
func (w *harness) completeAll() {
	for len(w.inFlight) > 0 {
		w.d.AttemptStarted(w.inFlight[0])
		w.endAttempt(w.inFlight[0], Succeeded)
	}
}
