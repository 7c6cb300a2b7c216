// SPDX-License-Identifier: Apache-2.0

package invariants

import "slices"

// send is the work of an attempt sent to a server in slow start, in slots times seconds.
type send struct {
	at   int64
	work float64
}

// checkSlowStart checks the work that all nodes sent to a server in slow start within a window against its
// limit (rule 4).
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
		c.report(ruleSlowStart, "%s in slow start: sent %.2f slots times s of work in a window, above the limit of %.2f",
			e.Server, sent, limit)
	}
}

// overloadLimit returns the work in a window above which a server is overloaded, in slots times seconds. age
// is the time since its start in nanoseconds.
func (c *Checker) overloadLimit(server string, age int64) float64 {
	share := c.rules.SlowStartShare + (1-c.rules.SlowStartShare)*float64(age)/float64(c.rules.SlowStart)
	return c.rules.OverloadFactor * share * c.rules.Servers[server].Slots *
		float64(c.rules.OverloadWindow) / nanosPerSecond
}
