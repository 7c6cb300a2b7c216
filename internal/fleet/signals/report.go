// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxReportedServers bounds how many servers a report names.
	maxReportedServers = 24
	// maxAttempts bounds what is believed of one node's attempts at one server.
	maxAttempts = 1e6
	// reportPrecision is by what counts in reports are rounded, as parts of one attempt.
	reportPrecision = 100
)

// Report is what one node tells the others: how its counts stand, not what changed. So reports may arrive late, twice
// and in any order; the latest of a node is what counts. Keys are short since gossip's packets are small.
type Report struct {
	Node        string                  `json:"n"`
	Zone        string                  `json:"z"`
	Incarnation int64                   `json:"l"` // of the process: a later one has a larger number
	Seq         uint64                  `json:"s"` // rises with each report of the process
	Outcomes    map[string]OutcomeCount `json:"e"` // by server
}

// isAfter reports whether r was sent after another report of the same node.
func (r *Report) isAfter(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Seq > other.Seq
}

// NextReport returns this node's report on at most so many servers, those with the most failures first; nil if there
// is nothing to report, as in a fleet without failures.
//
// It names the servers that failed this node lately, and those that it saw succeed if another node saw them fail, or
// if its report before named them.
func (t *OutlierTracker) NextReport(now int64, maxServers int) *Report {
	names := t.serversToReport(now)
	clear(t.reported)
	if len(names) == 0 {
		return nil
	}
	own := t.own.outcomes
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(own[y].Failures, own[x].Failures), cmp.Compare(x, y))
	})
	t.own.Seq++
	report := t.own.Report
	report.Outcomes = map[string]OutcomeCount{}
	for _, name := range names[:min(len(names), maxServers, maxReportedServers)] {
		report.Outcomes[name] = OutcomeCount{
			Attempts: math.Round(own[name].Attempts*reportPrecision) / reportPrecision,
			Failures: math.Round(own[name].Failures*reportPrecision) / reportPrecision,
		}
		t.reported[name] = true
	}
	return &report
}

func (t *OutlierTracker) serversToReport(now int64) []string {
	// All witnesses are gone through once. To look each server up at each of some hundred witnesses, several times a
	// second, would take much longer.
	failedElsewhere := map[string]bool{}
	for _, w := range t.witnesses {
		for name, count := range w.outcomes {
			count.decay(now)
			if count.Failures > negligible {
				failedElsewhere[name] = true
			}
		}
	}
	var names []string
	for name, count := range t.own.outcomes {
		count.decay(now)
		isOfInterest := count.Failures >= negligible || failedElsewhere[name] || t.reported[name]
		if count.Attempts >= negligible && isOfInterest {
			names = append(names, name)
		}
	}
	return names
}

// MergeReport takes a report of another node. listed reports which servers there are. It returns false if the report
// is not valid or says nothing new.
func (t *OutlierTracker) MergeReport(report *Report, listed func(string) bool, now int64) bool {
	if report.Node == t.own.Node {
		return false // this node's own, sent back by others
	}
	if report.Node == "" || len(report.Outcomes) > maxReportedServers {
		t.RejectedReports++
		return false
	}
	before := t.witnesses[report.Node]
	if before != nil && !report.isAfter(&before.Report) {
		return false
	}
	w := &witness{Report: *report, outcomes: map[string]*OutcomeCount{}}
	if before != nil && before.Incarnation == report.Incarnation {
		w.outcomes = before.outcomes // servers that the report does not name any more fade
	}
	t.witnesses[report.Node] = w
	for name, count := range report.Outcomes {
		if !count.isValid() || !listed(name) {
			t.RejectedReports++
			continue
		}
		w.outcomes[name] = &OutcomeCount{Attempts: count.Attempts, Failures: count.Failures, updatedAt: now}
	}
	w.prune(now)
	return true
}

// isValid reports whether a count of a report can be true. It is false for counts that are not a number.
func (c OutcomeCount) isValid() bool {
	return c.Failures >= 0 && c.Failures <= c.Attempts && c.Attempts <= maxAttempts
}
