// SPDX-License-Identifier: Apache-2.0

package invariants

import "slices"

// send is work that was sent to a server in slow start, in slots times seconds.
type send struct {
	at   int64
	work float64
}

// checkSlowStart compares what all nodes sent to a server in slow start in one window with what it can do (rule 4).
func (c *Checker) checkSlowStart(e Event) {
	startedAt, known := c.startedAt[e.Server]
	age := e.At - startedAt
	if !known || age >= c.rules.SlowStart {
		return
	}
	isOld := func(s send) bool { return e.At-s.at > c.rules.OverloadWindow }
	sends := append(slices.DeleteFunc(c.sends[e.Server], isOld), send{e.At, e.Work})
	c.sends[e.Server] = sends
	sent := 0.0
	for _, s := range sends {
		sent += s.work
	}
	if limit := c.overloadLimit(e.Server, age); sent > limit {
		c.report(ruleSlowStart, "%s, in slow start: %.2f s of work in a window that allows %.2f", e.Server, sent, limit)
	}
}

// overloadLimit is the work in a window above which a server of an age is overloaded, in slots times seconds.
func (c *Checker) overloadLimit(server string, age int64) float64 {
	share := c.rules.SlowStartShare + (1-c.rules.SlowStartShare)*float64(age)/float64(c.rules.SlowStart)
	return c.rules.OverloadFactor * share * c.rules.Servers[server].Slots * float64(c.rules.OverloadWindow) / nanosPerSecond
}
