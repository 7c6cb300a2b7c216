// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"strconv"

	"fernrail/dispatch"
)

// The final results that a client receives.
const (
	resultSucceeded   = "settled"
	resultShed        = "declined"
	resultCompensated = "reversed"
	resultReset       = "reset" // its node was killed
)

// operation is a client's unit of work. All of its retries share one operation.
type operation struct {
	id                                   string
	firstRequestedAt, latencyObjectiveAt int64
	weight                               float64
	deadline                             int64
	done                                 bool
}

// request is one try of an operation.
type request struct {
	id               string
	operation        *operation
	class            *Class
	tenant           int
	affinityKey      uint64
	work             float64 // slots times ns on a core of speed 1
	deadline         int64
	retryAfter       int64
	failsEverywhere  bool
	zone             int
	remainingRetries int
}

// scheduleArrivals schedules the first requests of all operations as an open loop: arrivals do not wait for
// answers.
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

// drawByShare draws an index below n with a probability in proportion to its share.
func (w *world) drawByShare(n int, share func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	remaining := w.clientRandom.Float64() * sum
	for i := range n {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// sendFirstRequest creates an operation and sends its first request.
func (w *world) sendFirstRequest(number int) {
	class := &w.scenario.Classes[w.drawByShare(len(w.scenario.Classes),
		func(i int) float64 { return w.scenario.Classes[i].Share })]
	q := &request{class: class, remainingRetries: w.scenario.Clients.Retries}
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
	runtime := float64(class.MeanRuntime)
	if class.Distribution == "exponential" {
		runtime *= w.clientRandom.ExpFloat64()
	}
	runtime = max(runtime, 1e3)
	q.work = runtime * float64(class.Slots)
	if n := w.scenario.Clients.AffinityKeys; n > 0 {
		q.affinityKey = 1 + uint64(w.drawByShare(n, func(i int) float64 { return 1 / float64(i+1) }))
	}
	zones := len(w.scenario.Fleet.Zones)
	if q.zone = w.clientRandom.IntN(zones); w.clientRandom.Float64() < w.scenario.Clients.ZoneSkew {
		q.zone = 0
	}
	q.failsEverywhere = w.failingShare > 0 && w.clientRandom.Float64() < w.failingShare
	q.operation = &operation{id: "c" + strconv.Itoa(number), firstRequestedAt: w.now,
		latencyObjectiveAt: w.now + int64(class.LatencyObjective) + int64(class.ObjectivePerRuntime*runtime),
		weight:             class.Weight, deadline: w.now + int64(class.Deadline)}
	if w.now-startTime < int64(w.scenario.WarmUp) || q.failsEverywhere {
		q.operation.weight = 0 // excluded from the summary
	}
	w.offeredWork += q.work
	w.sendRequest(q)
}

// sendRequest sends a request to a random node of the client's zone. The front end that selects the node has
// no health information, so that a node that is down may be selected.
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

// answerClient delivers a final answer to the client, which may retry after one that is not a success.
func (w *world) answerClient(_ *node, q *request, result string) {
	w.after(int64(w.scenario.Network.SameZoneDelay), func() {
		if result == resultSucceeded {
			q.operation.done = true
			return
		}
		harmless := result == resultShed || result == resultReset && q.class.Idempotency != "once-only" ||
			q.class.Idempotency == "repeatable"
		if q.remainingRetries == 0 || !harmless || w.now >= q.operation.deadline {
			return
		}
		wait := int64(float64(w.scenario.Clients.Backoff) * (0.5 + w.clientRandom.Float64()))
		if q.retryAfter > 0 && w.clientRandom.Float64() < w.scenario.Clients.RetryAfterShare {
			wait = q.retryAfter
		}
		retry := *q
		retry.remainingRetries, retry.retryAfter = q.remainingRetries-1, 0
		w.after(wait, func() { w.sendRequest(&retry) })
	})
}

// classAt returns a node's dispatch class for a class of the scenario.
func (w *world) classAt(n *node, class *Class) *dispatch.Class {
	return n.classes[slices.IndexFunc(w.scenario.Classes, func(c Class) bool { return c.Name == class.Name })]
}
