// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"slices"
	"time"
)

// checkAttempt checks one send against the rules of requests and servers.
func (c *Checker) checkAttempt(r *request, e Event) {
	if r.ended {
		c.report(ruleOneAnswer, "request %s: sent to %s after its end", e.Request, e.Server)
	}
	isInFlight := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
	if isInFlight && !c.rules.AllowHedging {
		c.report(ruleIdempotency, "request %s: two attempts in flight at once", e.Request)
	}
	if first := r.firstRun(); first != nil {
		c.checkRepeat(r, first, e)
	}
	since, isStopped := c.stoppedSince[r.node][e.Server]
	if late := e.At - since; isStopped && late > c.rules.DrainGrace {
		c.report(ruleDraining, "request %s: sent to %s %d ms after %s was notified to stop",
			e.Request, e.Server, late/int64(time.Millisecond), r.node)
	}
	c.checkSlowStart(e)
}

// checkRepeat checks an attempt of a request that may have run before.
func (c *Checker) checkRepeat(r *request, first *attempt, e Event) {
	if r.class.Idempotency == nonIdempotent {
		c.report(ruleIdempotency, "request %s: not idempotent, sent again to %s though it may have run at %s",
			e.Request, e.Server, first.server)
		return
	}
	if r.class.Idempotency != idempotentWithinGroup {
		return
	}
	before, now := c.rules.Servers[first.server], c.rules.Servers[e.Server]
	leavesZone := r.class.DedupScope == scopeZone && before.Zone != now.Zone
	leavesCell := r.class.DedupScope == scopeCell && before.Cell != now.Cell
	switch {
	case e.At-first.sentAt > r.class.DedupWindow:
		c.report(ruleIdempotency, "request %s: sent again after its group has forgotten it", e.Request)
	case leavesZone || leavesCell:
		c.report(ruleIdempotency, "request %s: sent again outside its %s", e.Request, r.class.DedupScope)
	}
}

// checkSlowStart adds up what all nodes sent to a server that warms up in one window, and compares it with what the
// server can do in it.
func (c *Checker) checkSlowStart(e Event) {
	start, known := c.startedAt[e.Server]
	age := e.At - start
	if !known || age >= c.rules.SlowStart {
		return
	}
	isOld := func(s send) bool { return e.At-s.at > c.rules.OverloadWindow }
	sends := append(slices.DeleteFunc(c.sends[e.Server], isOld), send{at: e.At, work: e.Work})
	c.sends[e.Server] = sends
	sum := 0.0
	for _, s := range sends {
		sum += s.work
	}
	share := c.rules.SlowStartShare + (1-c.rules.SlowStartShare)*float64(age)/float64(c.rules.SlowStart)
	able := c.rules.OverloadFactor * share * c.rules.Servers[e.Server].Slots * float64(c.rules.OverloadWindow) / 1e9
	if sum > able {
		c.report(ruleSlowStart, "%s, warming up: %.2f s of work in a window that bears %.2f", e.Server, sum, able)
	}
}

// checkTotal adds up the quotas of a budget that are in force. It is enough to do so when one is told: one that ends
// only makes the sum smaller.
func (c *Checker) checkTotal(budget string) {
	sum := int64(0)
	for node, q := range c.quotas[budget] {
		isOver := q.until != 0 && q.until <= c.now
		if isOver || q.units == 0 {
			delete(c.quotas[budget], node)
			continue
		}
		sum += q.units
	}
	total := c.rules.Totals[budget]
	if sum > total && !c.exceeded[budget] {
		c.report(ruleTotals, "%s: %d units are in force, the total is %d", budget, sum, total)
	}
	c.exceeded[budget] = sum > total
}
