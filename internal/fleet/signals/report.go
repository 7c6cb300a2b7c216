// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"cmp"
	"math"
	"slices"
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
