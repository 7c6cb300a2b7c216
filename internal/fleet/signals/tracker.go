// SPDX-License-Identifier: Apache-2.0

// Package signals detects outlier servers from what many nodes saw of them lately. What many saw together reaches a
// node that saw nothing, and no single witness can have a server ejected. The package does no I/O and reads no clock:
// callers pass the time in nanoseconds. docs/fleet.md lists what it promises.
package signals

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fadeNanos is the time constant, in nanoseconds, by which outcomes lose their weight: some times what a report
	// takes to reach all nodes.
	fadeNanos = 5e9
	// historyWeight is what an attempt leaves of the weight of those before it. With more of it the many successes of
	// before would hide that a server fails now, and for good, as nobody sends there any more.
	historyWeight = 0.3
	// maxTrackedServers bounds what is kept of one witness. No endpoint list is known to be longer.
	maxTrackedServers = 4096
	// negligible is the weight below which outcomes have faded away.
	negligible = 0.05
	// minQuorum is the smallest quorum: no witness decides by itself.
	minQuorum = 2
)

// OutcomeCount is what a node saw of one server lately, in attempts that fade with time.
type OutcomeCount struct {
	Attempts  float64 `json:"t"` // that succeeded or failed
	Failures  float64 `json:"f"`
	updatedAt int64
}

// decay lets the counts fade up to now.
func (c *OutcomeCount) decay(now int64) {
	factor := math.Exp(-float64(max(now-c.updatedAt, 0)) / fadeNanos)
	c.Attempts *= factor
	c.Failures *= factor
	c.updatedAt = now
}

// record adds one attempt.
func (c *OutcomeCount) record(failed bool, now int64) {
	c.decay(now)
	c.Attempts = c.Attempts*historyWeight + 1
	c.Failures *= historyWeight
	if failed {
		c.Failures++
	}
}

// OutlierTracker is what one node knows of the outcomes at servers, its own and those that others report. It is not
// safe for use by several goroutines at once.
type OutlierTracker struct {
	// RejectedReports counts reports, or parts of them, that were not valid.
	RejectedReports int64

	quorum    float64
	own       witness
	witnesses map[string]*witness // the other nodes, by name
	reported  map[string]bool     // servers in this node's latest report
}

// witness is what one node saw.
type witness struct {
	Report   // the latest
	outcomes map[string]*OutcomeCount
}

// New returns a tracker that knows of no outcomes. incarnation rises with each process of the node. quorum is how many
// witnesses it takes to have a server ejected, at least two; where nodes are in several zones no zone makes up more
// than half of it.
func New(node, zone string, incarnation int64, quorum int) *OutlierTracker {
	return &OutlierTracker{
		quorum: float64(max(quorum, minQuorum)),
		own: witness{
			Report:   Report{Node: node, Zone: zone, Incarnation: incarnation},
			outcomes: map[string]*OutcomeCount{},
		},
		witnesses: map[string]*witness{},
		reported:  map[string]bool{},
	}
}

// RecordOutcome counts an attempt of this node.
func (t *OutlierTracker) RecordOutcome(server string, failed bool, now int64) {
	count := t.own.outcomes[server]
	if count == nil {
		if len(t.own.outcomes) >= maxTrackedServers {
			t.own.prune(now)
		}
		count = &OutcomeCount{updatedAt: now}
		t.own.outcomes[server] = count
	}
	count.record(failed, now)
}

// prune forgets what has faded, and if too much is left those servers with the fewest attempts.
func (w *witness) prune(now int64) {
	names := make([]string, 0, len(w.outcomes))
	for name, count := range w.outcomes {
		count.decay(now)
		if count.Attempts < negligible {
			delete(w.outcomes, name)
		} else {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(w.outcomes[y].Attempts, w.outcomes[x].Attempts), cmp.Compare(x, y))
	})
	for _, name := range names[min(len(names), maxTrackedServers-1):] {
		delete(w.outcomes, name)
	}
}

// RemoveWitness forgets what a node saw.
func (t *OutlierTracker) RemoveWitness(node string) { delete(t.witnesses, node) }

// RetainServers forgets servers that are no longer listed.
func (t *OutlierTracker) RetainServers(listed func(string) bool) {
	for _, w := range t.allWitnesses() {
		for name := range w.outcomes {
			if !listed(name) {
				delete(w.outcomes, name)
			}
		}
	}
}

// allWitnesses returns the other nodes in order of their names, and this one last. Sums of fractions depend on their
// order.
func (t *OutlierTracker) allWitnesses() []*witness {
	all := make([]*witness, 0, len(t.witnesses)+1)
	for _, w := range t.witnesses {
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y *witness) int { return cmp.Compare(x.Node, y.Node) })
	return append(all, &t.own)
}
