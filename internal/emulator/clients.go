// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"strconv"

	"fernrail/dispatch"
)

// What a client hears in the end.
const (
	settled  = "settled"
	declined = "declined"
	reversed = "reversed"
	reset    = "reset" // its node died
)

// origin is what a client wants, however often it asks.
type origin struct {
	id         string
	first, aim int64
	value      float64
	expiry     int64
	done       bool
}

// request is one try.
type request struct {
	id      string
	origin  *origin
	scheme  *Scheme
	tenant  int
	key     uint64
	work    float64 // slots times ns on the yardstick
	expiry  int64
	advice  int64
	spoilt  bool
	zone    int
	retries int // left
}

// clients has first tries arrive, each at its own time whatever becomes of those before.
func (w *world) clients() {
	end, number := epoch+int64(w.s.Length), 0
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		number++
		w.first(number)
		rate := w.s.Crowd.Rate
		for _, f := range w.bursts {
			if f.Tenant == "" {
				rate *= f.Strength
			} else {
				rate += w.s.Crowd.Rate * w.s.Tenant[w.tenant(f.Tenant)].Share * (f.Strength - 1)
			}
		}
		w.after(int64(w.arrivals.ExpFloat64()/rate*1e9)+1, next)
	}
	w.after(1, next)
}

func (w *world) tenant(name string) int {
	return slices.IndexFunc(w.s.Tenant, func(t Tenant) bool { return t.Name == name })
}

// draw picks one of so many by their shares.
func (w *world) draw(n int, share func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	at := w.arrivals.Float64() * sum
	for i := range n {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// first makes a client's first try.
func (w *world) first(number int) {
	s := &w.s.Scheme[w.draw(len(w.s.Scheme), func(i int) float64 { return w.s.Scheme[i].Share })]
	q := &request{scheme: s, retries: w.s.Crowd.Retries}
	if n := len(w.s.Tenant); n > 0 {
		q.tenant = w.draw(n, func(i int) float64 {
			share := w.s.Tenant[i].Share
			for _, f := range w.bursts {
				if f.Tenant == w.s.Tenant[i].Name {
					share *= f.Strength
				}
			}
			return share
		})
	}
	run := float64(s.Run)
	if s.Shape == "exponential" {
		run *= w.arrivals.ExpFloat64()
	}
	run = max(run, 1e3)
	q.work = run * float64(s.Slots)
	if n := w.s.Crowd.Keys; n > 0 {
		q.key = 1 + uint64(w.draw(n, func(i int) float64 { return 1 / float64(i+1) }))
	}
	zones := len(w.s.Fleet.Zones)
	if q.zone = w.arrivals.IntN(zones); w.arrivals.Float64() < w.s.Crowd.Skew {
		q.zone = 0
	}
	q.spoilt = w.spoilt > 0 && w.arrivals.Float64() < w.spoilt
	q.origin = &origin{id: "c" + strconv.Itoa(number), first: w.now, aim: w.now + int64(s.Sla) + int64(s.Stretch*run),
		value: s.Value, expiry: w.now + int64(s.Expiry)}
	if w.now-epoch < int64(w.s.Warm) || q.spoilt {
		q.origin.value = 0 // not counted
	}
	w.offered += q.work
	w.ask(q)
}

// ask sends a try to a node of the client's zone, drawn by a front that knows of none which are down.
func (w *world) ask(q *request) {
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == q.zone || len(w.nodes) < len(w.s.Fleet.Zones) {
			nodes = append(nodes, n)
		}
	}
	n := nodes[w.arrivals.IntN(len(nodes))]
	w.after(int64(w.s.Net.Same), func() {
		if q.expiry = q.origin.expiry; w.now < q.expiry {
			n.take(q)
		}
	})
}

// reply is what a client hears; it may come again.
func (w *world) reply(_ *node, q *request, result string) {
	w.after(int64(w.s.Net.Same), func() {
		if result == settled {
			q.origin.done = true
			return
		}
		harmless := result == declined || result == reset && q.scheme.Effect != "once-only" || q.scheme.Effect == "repeatable"
		if q.retries == 0 || !harmless || w.now >= q.origin.expiry {
			return
		}
		wait := int64(float64(w.s.Crowd.Backoff) * (0.5 + w.arrivals.Float64()))
		if q.advice > 0 && w.arrivals.Float64() < w.s.Crowd.Follow {
			wait = q.advice
		}
		again := *q
		again.retries, again.advice = q.retries-1, 0
		w.after(wait, func() { w.ask(&again) })
	})
}

func (w *world) schemeOf(n *node, s *Scheme) *dispatch.Class {
	return n.schemes[slices.IndexFunc(w.s.Scheme, func(c Scheme) bool { return c.Name == s.Name })]
}
