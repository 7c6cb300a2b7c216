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
	// fade is the time constant, in ns, by which what was seen counts less; some times what news takes to get about.
	fade = 5e9
	// remember is what a job leaves of those before it. Danger: what went well for long hides that it fails now, and as nobody sends
	// there any more it stays hidden.
	remember = 0.3
	// enough is how many jobs of late make a witness count in full.
	enough = 1
	// majority of voices, from which an executor counts as bad at all, and in full from a fifth more; also the share of a witness's
	// own jobs that makes its voice one of these.
	majority = 0.5
	// mostTold bounds what one piece of news holds, and mostKept what is kept of one witness: no list is known to be longer.
	mostTold, mostKept = 24, 4096
	// mostJobs bounds what is believed of one node's jobs at one executor.
	mostJobs = 1e6
	// least is what has faded away.
	least = 0.05
)

// OutcomeCount is what a node saw of one executor of late: jobs that were answered or failed, and those that failed.
type OutcomeCount struct {
	Attempts float64 `json:"t"`
	Failures float64 `json:"f"`
	at       int64
}

func (c *OutcomeCount) fade(now int64) *OutcomeCount {
	f := math.Exp(-float64(max(now-c.at, 0)) / fade)
	c.Attempts, c.Failures, c.at = c.Attempts*f, c.Failures*f, now
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
	others          map[string]*witness
	told            map[string]bool // of these the others were told something bad
	RejectedReports int64           // news, or parts of it, that were not taken
}

type witness struct {
	Report
	seen map[string]*OutcomeCount
}

// New begins with nothing seen. Quorum is how many witnesses it takes to shut an executor out, two at least; where there is
// more than one zone they are of two at least.
func New(node, zone string, life int64, quorum int) *OutlierTracker {
	return &OutlierTracker{quorum: float64(max(quorum, 2)), own: witness{Report{Node: node, Zone: zone, Incarnation: life}, map[string]*OutcomeCount{}},
		others: map[string]*witness{}, told: map[string]bool{}}
}

// RecordOutcome notes how a job of this node's ended.
func (b *OutlierTracker) RecordOutcome(executor string, failed bool, now int64) {
	c := b.own.seen[executor]
	if c == nil {
		if len(b.own.seen) >= mostKept {
			b.own.tidy(now)
		}
		c = &OutcomeCount{at: now}
		b.own.seen[executor] = c
	}
	c.fade(now)
	if c.Attempts, c.Failures = c.Attempts*remember+1, c.Failures*remember; failed {
		c.Failures++
	}
}

// tidy forgets what has faded, and the least of the rest if that is too much.
func (w *witness) tidy(now int64) {
	names := make([]string, 0, len(w.seen))
	for name, c := range w.seen {
		if c.fade(now).Attempts < least {
			delete(w.seen, name)
		} else {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(w.seen[y].Attempts, w.seen[x].Attempts), cmp.Compare(x, y))
	})
	for _, name := range names[min(len(names), mostKept-1):] {
		delete(w.seen, name)
	}
}

// NextReport gives what the others should know: executors that failed this node of late, worst first, those that another says so of and that
// this node saw too, and those that were told of before, so many at most; nil: nothing. Calm fleets are silent.
func (b *OutlierTracker) NextReport(now int64, most int) *Report {
	// Danger: each executor looked up at each of some hundred witnesses, several times a second.
	var names []string
	doubted := map[string]bool{}
	for _, w := range b.others {
		for name, s := range w.seen {
			doubted[name] = doubted[name] || s.fade(now).Failures > least
		}
	}
	for name, c := range b.own.seen {
		if c.fade(now); c.Attempts >= least && (c.Failures >= least || doubted[name] || b.told[name]) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		clear(b.told)
		return nil
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.own.seen[y].Failures, b.own.seen[x].Failures), cmp.Compare(x, y))
	})
	b.own.Seq++
	n := b.own.Report
	n.Outcomes = map[string]OutcomeCount{}
	clear(b.told)
	for _, name := range names[:min(len(names), most, mostTold)] {
		c := b.own.seen[name]
		n.Outcomes[name] = OutcomeCount{Attempts: math.Round(c.Attempts*100) / 100, Failures: math.Round(c.Failures*100) / 100}
		b.told[name] = true
	}
	return &n
}

// MergeReport takes another's news; listed says which executors there are. False: it was not taken, or told nothing new.
// Danger: news of another node's past, or without bound.
func (b *OutlierTracker) MergeReport(n *Report, listed func(string) bool, now int64) bool {
	if n.Node == b.own.Node {
		return false // its own, come back
	}
	if n.Node == "" || len(n.Outcomes) > mostTold {
		b.RejectedReports++
		return false
	}
	w := b.others[n.Node]
	if w != nil && (n.Incarnation < w.Incarnation || n.Incarnation == w.Incarnation && n.Seq <= w.Seq) {
		return false
	}
	was := map[string]*OutcomeCount{}
	if w != nil && w.Incarnation == n.Incarnation {
		was = w.seen // what it does not tell of any more fades
	}
	w = &witness{*n, was}
	b.others[n.Node] = w
	for name, c := range n.Outcomes {
		if !(c.Failures >= 0 && c.Failures <= c.Attempts && c.Attempts <= mostJobs) || !listed(name) {
			b.RejectedReports++
			continue
		}
		w.seen[name] = &OutcomeCount{c.Attempts, c.Failures, now}
	}
	w.tidy(now)
	return true
}

// RemoveWitness forgets a witness that has gone.
func (b *OutlierTracker) RemoveWitness(node string) { delete(b.others, node) }

func (b *OutlierTracker) sorted() []*witness {
	all := make([]*witness, 0, len(b.others)+1)
	for _, w := range b.others {
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
	for _, w := range append(b.sorted(), &b.own) {
		zones[w.Zone] = true
		if c := w.seen[executor]; c != nil {
			t.add(w.Zone, c.fade(now))
		}
	}
	return t.verdict(b.quorum, len(zones))
}

// OutlierScores gives how bad each executor is that somebody saw fail of late, but for those of which nothing is said.
func (b *OutlierTracker) OutlierScores(now int64) map[string]float64 {
	tallies, zones := map[string]*tally{}, map[string]bool{}
	for _, w := range append(b.sorted(), &b.own) {
		zones[w.Zone] = true
		for name, c := range w.seen {
			if tallies[name] == nil {
				tallies[name] = &tally{}
			}
			tallies[name].add(w.Zone, c.fade(now))
		}
	}
	verdicts := map[string]float64{}
	for name, t := range tallies {
		if how := t.verdict(b.quorum, len(zones)); how > 0 && t.doubted {
			verdicts[name] = how
		}
	}
	return verdicts
}

// tally is what witnesses say of one executor, added up in their order.
type tally struct {
	voices, bad float64
	zones       []zoned
	doubted     bool // somebody saw it fail of late
}

type zoned struct {
	zone string
	bad  float64
}

func (t *tally) add(zone string, c *OutcomeCount) {
	t.doubted = t.doubted || c.Failures >= least
	if c.Attempts < least {
		return
	}
	voice := min(c.Attempts/enough, 1)
	if t.voices += voice; c.Failures <= majority*c.Attempts {
		return
	}
	t.bad += voice
	i := slices.IndexFunc(t.zones, func(z zoned) bool { return z.zone == zone })
	if i < 0 {
		i, t.zones = len(t.zones), append(t.zones, zoned{zone: zone})
	}
	t.zones[i].bad += voice
}

// verdict is of so many zones from which anything was heard.
func (t *tally) verdict(quorum float64, zones int) float64 {
	if t.voices == 0 || t.bad/t.voices <= majority {
		return 0
	}
	counted := t.bad
	if zones > 1 {
		counted = 0
		for _, z := range t.zones {
			counted += min(z.bad, quorum/2)
		}
	}
	return min((t.bad/t.voices-majority)/(majority/5), 1) * min(max((counted-1)/(quorum-1), 0), 1)
}

// RetainServers forgets executors that are not listed any more.
func (b *OutlierTracker) RetainServers(listed func(string) bool) {
	for _, w := range append(b.sorted(), &b.own) {
		for name := range w.seen {
			if !listed(name) {
				delete(w.seen, name)
			}
		}
	}
}
