// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"strconv"

	"fernrail/dispatch"
)

// What a client hears in the end.
const (
	resultSucceeded   = "settled"
	resultShed        = "declined"
	resultCompensated = "reversed"
	resultReset       = "reset" // its node died
)

// operation is what a client wants, however often it asks.
type operation struct {
	id                                   string
	firstRequestedAt, latencyObjectiveAt int64
	weight                               float64
	deadline                             int64
	done                                 bool
}

// request is one try.
type request struct {
	id               string
	operation        *operation
	class            *Class
	tenant           int
	affinityKey      uint64
	work             float64 // slots times ns on the yardstick
	deadline         int64
	retryAfter       int64
	failsEverywhere  bool
	zone             int
	remainingRetries int // left
}

// scheduleArrivals has first tries arrive, each at its own time whatever becomes of those before.
func (w *world) scheduleArrivals() {
	end, number := startTime+int64(w.scenario.Length), 0
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		number++
		w.sendFirstRequest(number)
		rate := w.scenario.Clients.Rate
		for _, f := range w.bursts {
			if f.Tenant == "" {
				rate *= f.Strength
			} else {
				rate += w.scenario.Clients.Rate * w.scenario.Tenants[w.tenantIndex(f.Tenant)].Share * (f.Strength - 1)
			}
		}
		w.after(int64(w.clientRandom.ExpFloat64()/rate*1e9)+1, next)
	}
	w.after(1, next)
}

func (w *world) tenantIndex(name string) int {
	return slices.IndexFunc(w.scenario.Tenants, func(t Tenant) bool { return t.Name == name })
}

// drawByShare picks one of so many by their shares.
func (w *world) drawByShare(n int, share func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	at := w.clientRandom.Float64() * sum
	for i := range n {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// sendFirstRequest makes a client's sendFirstRequest try.
func (w *world) sendFirstRequest(number int) {
	s := &w.scenario.Classes[w.drawByShare(len(w.scenario.Classes), func(i int) float64 { return w.scenario.Classes[i].Share })]
	q := &request{class: s, remainingRetries: w.scenario.Clients.Retries}
	if n := len(w.scenario.Tenants); n > 0 {
		q.tenant = w.drawByShare(n, func(i int) float64 {
			share := w.scenario.Tenants[i].Share
			for _, f := range w.bursts {
				if f.Tenant == w.scenario.Tenants[i].Name {
					share *= f.Strength
				}
			}
			return share
		})
	}
	run := float64(s.MeanRuntime)
	if s.Distribution == "exponential" {
		run *= w.clientRandom.ExpFloat64()
	}
	run = max(run, 1e3)
	q.work = run * float64(s.Slots)
	if n := w.scenario.Clients.AffinityKeys; n > 0 {
		q.affinityKey = 1 + uint64(w.drawByShare(n, func(i int) float64 { return 1 / float64(i+1) }))
	}
	zones := len(w.scenario.Fleet.Zones)
	if q.zone = w.clientRandom.IntN(zones); w.clientRandom.Float64() < w.scenario.Clients.ZoneSkew {
		q.zone = 0
	}
	q.failsEverywhere = w.failingShare > 0 && w.clientRandom.Float64() < w.failingShare
	q.operation = &operation{id: "c" + strconv.Itoa(number), firstRequestedAt: w.now, latencyObjectiveAt: w.now + int64(s.LatencyObjective) + int64(s.ObjectivePerRuntime*run),
		weight: s.Weight, deadline: w.now + int64(s.Deadline)}
	if w.now-startTime < int64(w.scenario.WarmUp) || q.failsEverywhere {
		q.operation.weight = 0 // not counted
	}
	w.offeredWork += q.work
	w.sendRequest(q)
}

// sendRequest sends a try to a node of the client's zone, drawn by a front that knows of none which are down.
func (w *world) sendRequest(q *request) {
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == q.zone || len(w.nodes) < len(w.scenario.Fleet.Zones) {
			nodes = append(nodes, n)
		}
	}
	n := nodes[w.clientRandom.IntN(len(nodes))]
	w.after(int64(w.scenario.Network.SameZoneDelay), func() {
		if q.deadline = q.operation.deadline; w.now < q.deadline {
			n.accept(q)
		}
	})
}

// answerClient is what a client hears; it may come again.
func (w *world) answerClient(_ *node, q *request, result string) {
	w.after(int64(w.scenario.Network.SameZoneDelay), func() {
		if result == resultSucceeded {
			q.operation.done = true
			return
		}
		harmless := result == resultShed || result == resultReset && q.class.Idempotency != "once-only" || q.class.Idempotency == "repeatable"
		if q.remainingRetries == 0 || !harmless || w.now >= q.operation.deadline {
			return
		}
		wait := int64(float64(w.scenario.Clients.Backoff) * (0.5 + w.clientRandom.Float64()))
		if q.retryAfter > 0 && w.clientRandom.Float64() < w.scenario.Clients.RetryAfterShare {
			wait = q.retryAfter
		}
		again := *q
		again.remainingRetries, again.retryAfter = q.remainingRetries-1, 0
		w.after(wait, func() { w.sendRequest(&again) })
	})
}

func (w *world) classAt(n *node, s *Class) *dispatch.Class {
	return n.classes[slices.IndexFunc(w.scenario.Classes, func(c Class) bool { return c.Name == s.Name })]
}
