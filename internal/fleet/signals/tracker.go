// SPDX-License-Identifier: Apache-2.0

// Package signals detects outlier servers from recent outcomes of attempts on many nodes. Nodes without
// attempts of their own also learn of outliers, and no single witness can have a server ejected. The package
// does no I/O and reads no clock: callers pass the time in nanoseconds. docs/fleet.md lists its guarantees.
package signals

import (
	"cmp"
	"math"
	"slices"
)

const (
	// decayNanos is the time constant of the exponential decay of outcomes, in nanoseconds. It is several
	// times the time in which a report reaches all nodes.
	decayNanos = 5e9
	// historyWeight is the factor by which an attempt reduces the weight of earlier ones. With a larger
	// factor, many earlier successes would hide that a server fails now. They would hide it permanently once
	// no node sends to the server any more.
	historyWeight = 0.3
	// maxTrackedServers bounds the number of servers that are tracked for one witness. No known endpoint list
	// is longer.
	maxTrackedServers = 4096
	// negligible is the number of decayed attempts or failures below which they are ignored.
	negligible = 0.05
	// minQuorum is the smallest quorum, so that no witness decides alone.
	minQuorum = 2
)

// OutcomeCount is a node's recent attempts at one server. The counts decay exponentially with time.
type OutcomeCount struct {
	Attempts  float64 `json:"t"` // that succeeded or failed
	Failures  float64 `json:"f"`
	updatedAt int64
}

// decay applies the decay since the last update.
func (c *OutcomeCount) decay(now int64) {
	factor := math.Exp(-float64(max(now-c.updatedAt, 0)) / decayNanos)
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

// OutlierTracker tracks the outcomes at servers that one node recorded itself or received in reports. It is
// not safe for concurrent use.
type OutlierTracker struct {
	// RejectedReports counts invalid reports and invalid entries of reports.
	RejectedReports int64

	quorum    float64
	own       witness
	witnesses map[string]*witness // the other nodes, by name
	reported  map[string]bool     // servers in this node's latest report
}

// witness contains the latest report and the outcomes of one node.
type witness struct {
	Report   // the latest report
	outcomes map[string]*OutcomeCount
}

// NewOutlierTracker returns a tracker without outcomes. incarnation must increase with each process of the
// node. quorum is the number of witnesses that are needed to eject a server, at least two. If nodes are in
// several zones, no zone contributes more than half of the quorum.
func NewOutlierTracker(node, zone string, incarnation int64, quorum int) *OutlierTracker {
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

// RecordOutcome records the outcome of an attempt of this node.
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

// prune removes servers whose attempts have decayed to a negligible number. If maxTrackedServers or more
// remain, it also removes those with the fewest attempts.
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

// RemoveWitness removes the outcomes of another node.
func (t *OutlierTracker) RemoveWitness(node string) { delete(t.witnesses, node) }

// RetainServers removes servers that are no longer listed.
func (t *OutlierTracker) RetainServers(listed func(string) bool) {
	for _, w := range t.allWitnesses() {
		for name := range w.outcomes {
			if !listed(name) {
				delete(w.outcomes, name)
			}
		}
	}
}

// allWitnesses returns the other nodes in the order of their names, and this node last. The order is fixed
// because the result of floating-point sums depends on it.
func (t *OutlierTracker) allWitnesses() []*witness {
	all := make([]*witness, 0, len(t.witnesses)+1)
	for _, w := range t.witnesses {
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y *witness) int { return cmp.Compare(x.Node, y.Node) })
	return append(all, &t.own)
}
