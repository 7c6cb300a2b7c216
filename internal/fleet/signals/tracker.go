// SPDX-License-Identifier: Apache-2.0

// Package signals adds up what many nodes saw of executors of late, so that what many see together reaches a node that saw nothing,
// and nobody is condemned by one witness. It is free of I/O and of clocks. docs/fleet.md says what is promised.
package signals

import (
	"cmp"
	"slices"
)

const (
	// fadeNanos is the time constant, in ns, by which what was seen counts less; some times what news takes to get about.
	fadeNanos = 5e9
	// historyWeight is what a job leaves of those before it. Danger: what went well for long hides that it fails now, and as nobody sends
	// there any more it stays hidden.
	historyWeight = 0.3
	// fullWeightAttempts is how many jobs of late make a witness count in full.
	fullWeightAttempts = 1
	// majority of voices, from which an executor counts as bad at all, and in full from a fifth more; also the share of a witness's
	// own jobs that makes its voice one of these.
	majority = 0.5
	// maxReportedServers bounds what one piece of news holds, and mostKept what is kept of one witness: no list is known to be longer.
	maxReportedServers, maxTrackedServers = 24, 4096
	// maxAttempts bounds what is believed of one node's jobs at one executor.
	maxAttempts = 1e6
	// negligible is what has faded away.
	negligible = 0.05
)

// OutlierTracker is what one node knows.
type OutlierTracker struct {
	quorum          float64
	own             witness
	witnesses       map[string]*witness
	reported        map[string]bool // of these the others were told something bad
	RejectedReports int64           // news, or parts of it, that were not taken
}

type witness struct {
	Report
	outcomes map[string]*OutcomeCount
}

// New begins with nothing seen. Quorum is how many witnesses it takes to shut an executor out, two at least; where there is
// more than one zone they are of two at least.
func New(node, zone string, incarnation int64, quorum int) *OutlierTracker {
	return &OutlierTracker{quorum: float64(max(quorum, 2)), own: witness{Report{Node: node, Zone: zone, Incarnation: incarnation}, map[string]*OutcomeCount{}},
		witnesses: map[string]*witness{}, reported: map[string]bool{}}
}

// RecordOutcome notes how a job of this node's ended.
func (b *OutlierTracker) RecordOutcome(executor string, failed bool, now int64) {
	c := b.own.outcomes[executor]
	if c == nil {
		if len(b.own.outcomes) >= maxTrackedServers {
			b.own.prune(now)
		}
		c = &OutcomeCount{updatedAt: now}
		b.own.outcomes[executor] = c
	}
	c.decay(now)
	if c.Attempts, c.Failures = c.Attempts*historyWeight+1, c.Failures*historyWeight; failed {
		c.Failures++
	}
}

// prune forgets what has faded, and the least of the rest if that is too much.
func (w *witness) prune(now int64) {
	names := make([]string, 0, len(w.outcomes))
	for name, c := range w.outcomes {
		if c.decay(now).Attempts < negligible {
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

// RemoveWitness forgets a witness that has gone.
func (b *OutlierTracker) RemoveWitness(node string) { delete(b.witnesses, node) }

// RetainServers forgets executors that are not listed any more.
func (b *OutlierTracker) RetainServers(listed func(string) bool) {
	for _, w := range append(b.sortedWitnesses(), &b.own) {
		for name := range w.outcomes {
			if !listed(name) {
				delete(w.outcomes, name)
			}
		}
	}
}
