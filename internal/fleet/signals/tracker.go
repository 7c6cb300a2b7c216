// SPDX-License-Identifier: Apache-2.0

// Package signals adds up what many nodes saw of executors of late, so that what many see together reaches a node that saw nothing,
// and nobody is condemned by one witness. It is free of I/O and of clocks. docs/fleet.md says what is promised.
package signals

import (
	"cmp"
	"math"
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

// OutcomeCount is what a node saw of one executor of late: jobs that were answered or failed, and those that failed.
type OutcomeCount struct {
	Attempts  float64 `json:"t"`
	Failures  float64 `json:"f"`
	updatedAt int64
}

func (c *OutcomeCount) decay(now int64) *OutcomeCount {
	f := math.Exp(-float64(max(now-c.updatedAt, 0)) / fadeNanos)
	c.Attempts, c.Failures, c.updatedAt = c.Attempts*f, c.Failures*f, now
	return c
}

// Report is what one node tells: how its counts stand, not what changed. So it may come late, twice and in any order: the
// latest of a node holds.
type Report struct {
	Node        string                  `json:"n"`
	Zone        string                  `json:"z"`
	Incarnation int64                   `json:"l"` // of its process: a later one has a larger number
	Seq         uint64                  `json:"s"`
	Outcomes    map[string]OutcomeCount `json:"e"` // by executor
}

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

// NextReport gives what the others should know: executors that failed this node of late, worst first, those that another says so of and that
// this node saw too, and those that were told of before, so many at most; nil: nothing. Calm fleets are silent.
func (b *OutlierTracker) NextReport(now int64, most int) *Report {
	// Danger: each executor looked up at each of some hundred witnesses, several times a second.
	var names []string
	doubted := map[string]bool{}
	for _, w := range b.witnesses {
		for name, s := range w.outcomes {
			doubted[name] = doubted[name] || s.decay(now).Failures > negligible
		}
	}
	for name, c := range b.own.outcomes {
		if c.decay(now); c.Attempts >= negligible && (c.Failures >= negligible || doubted[name] || b.reported[name]) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		clear(b.reported)
		return nil
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.own.outcomes[y].Failures, b.own.outcomes[x].Failures), cmp.Compare(x, y))
	})
	b.own.Seq++
	n := b.own.Report
	n.Outcomes = map[string]OutcomeCount{}
	clear(b.reported)
	for _, name := range names[:min(len(names), most, maxReportedServers)] {
		c := b.own.outcomes[name]
		n.Outcomes[name] = OutcomeCount{Attempts: math.Round(c.Attempts*100) / 100, Failures: math.Round(c.Failures*100) / 100}
		b.reported[name] = true
	}
	return &n
}

// MergeReport takes another's news; listed says which executors there are. False: it was not taken, or told nothing new.
// Danger: news of another node's past, or without bound.
func (b *OutlierTracker) MergeReport(n *Report, listed func(string) bool, now int64) bool {
	if n.Node == b.own.Node {
		return false // its own, come back
	}
	if n.Node == "" || len(n.Outcomes) > maxReportedServers {
		b.RejectedReports++
		return false
	}
	w := b.witnesses[n.Node]
	if w != nil && (n.Incarnation < w.Incarnation || n.Incarnation == w.Incarnation && n.Seq <= w.Seq) {
		return false
	}
	was := map[string]*OutcomeCount{}
	if w != nil && w.Incarnation == n.Incarnation {
		was = w.outcomes // what it does not tell of any more fades
	}
	w = &witness{*n, was}
	b.witnesses[n.Node] = w
	for name, c := range n.Outcomes {
		if !(c.Failures >= 0 && c.Failures <= c.Attempts && c.Attempts <= maxAttempts) || !listed(name) {
			b.RejectedReports++
			continue
		}
		w.outcomes[name] = &OutcomeCount{c.Attempts, c.Failures, now}
	}
	w.prune(now)
	return true
}

// RemoveWitness forgets a witness that has gone.
func (b *OutlierTracker) RemoveWitness(node string) { delete(b.witnesses, node) }

func (b *OutlierTracker) sortedWitnesses() []*witness {
	all := make([]*witness, 0, len(b.witnesses)+1)
	for _, w := range b.witnesses {
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y *witness) int { return cmp.Compare(x.Node, y.Node) })
	return all
}

// OutlierScore is how bad many say that an executor is, from 0: nothing is said, or by one alone, to 1: a quorum and most of those who saw it
// do. Each witness has one voice, or a part of one that saw little; half of a quorum may be of one zone.
//
// Danger: a node whose own link is bad, or that lies, shuts an executor out for all; or by saying that it is well keeps one in.
func (b *OutlierTracker) OutlierScore(executor string, now int64) float64 {
	t, zones := tally{}, map[string]bool{}
	for _, w := range append(b.sortedWitnesses(), &b.own) {
		zones[w.Zone] = true
		if c := w.outcomes[executor]; c != nil {
			t.add(w.Zone, c.decay(now))
		}
	}
	return t.score(b.quorum, len(zones))
}

// OutlierScores gives how bad each executor is that somebody saw fail of late, but for those of which nothing is said.
func (b *OutlierTracker) OutlierScores(now int64) map[string]float64 {
	tallies, zones := map[string]*tally{}, map[string]bool{}
	for _, w := range append(b.sortedWitnesses(), &b.own) {
		zones[w.Zone] = true
		for name, c := range w.outcomes {
			if tallies[name] == nil {
				tallies[name] = &tally{}
			}
			tallies[name].add(w.Zone, c.decay(now))
		}
	}
	verdicts := map[string]float64{}
	for name, t := range tallies {
		if how := t.score(b.quorum, len(zones)); how > 0 && t.failedRecently {
			verdicts[name] = how
		}
	}
	return verdicts
}

// tally is what witnesses say of one executor, added up in their order.
type tally struct {
	totalWeight, badWeight float64
	zones                  []zoneWeight
	failedRecently         bool // somebody saw it fail of late
}

type zoneWeight struct {
	zone      string
	badWeight float64
}

func (t *tally) add(zone string, c *OutcomeCount) {
	t.failedRecently = t.failedRecently || c.Failures >= negligible
	if c.Attempts < negligible {
		return
	}
	voice := min(c.Attempts/fullWeightAttempts, 1)
	if t.totalWeight += voice; c.Failures <= majority*c.Attempts {
		return
	}
	t.badWeight += voice
	i := slices.IndexFunc(t.zones, func(z zoneWeight) bool { return z.zone == zone })
	if i < 0 {
		i, t.zones = len(t.zones), append(t.zones, zoneWeight{zone: zone})
	}
	t.zones[i].badWeight += voice
}

// score is of so many zones from which anything was heard.
func (t *tally) score(quorum float64, zones int) float64 {
	if t.totalWeight == 0 || t.badWeight/t.totalWeight <= majority {
		return 0
	}
	counted := t.badWeight
	if zones > 1 {
		counted = 0
		for _, z := range t.zones {
			counted += min(z.badWeight, quorum/2)
		}
	}
	return min((t.badWeight/t.totalWeight-majority)/(majority/5), 1) * min(max((counted-1)/(quorum-1), 0), 1)
}

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
