// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxReportedServers is the maximum number of servers in a report.
	maxReportedServers = 24
	// maxAttempts bounds the number of attempts at one server that is accepted from one node.
	maxAttempts = 1e6
	// reportPrecision is the rounding of counts in reports: 100 rounds to 0.01 attempts.
	reportPrecision = 100
)

// Report contains the outcome counts of one node. It contains the complete counts instead of changes, so
// reports may arrive late, twice and in any order; the latest report of a node replaces earlier ones. The
// keys are short because gossip packets are small.
type Report struct {
	Node        string                  `json:"n"`
	Zone        string                  `json:"z"`
	Incarnation int64                   `json:"l"` // of the process; higher for a later process
	Seq         uint64                  `json:"s"` // increases with each report of the process
	Outcomes    map[string]OutcomeCount `json:"e"` // by server
}

// isAfter reports whether r was sent after another report of the same node.
func (r *Report) isAfter(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Seq > other.Seq
}

// NextReport returns this node's report on at most maxServers servers, those with the most failures first. It
// returns nil if there is nothing to report, as in a fleet without failures.
//
// The report contains servers with recent failures on this node. It also contains servers with recent
// attempts on this node if another node reported failures, or if this node's previous report contained them.
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
	// One pass over all witnesses collects the servers with failures. Looking up each server at each of
	// several hundred witnesses, several times per second, would take much longer.
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
		isRelevant := count.Failures >= negligible || failedElsewhere[name] || t.reported[name]
		if count.Attempts >= negligible && isRelevant {
			names = append(names, name)
		}
	}
	return names
}

// MergeReport merges a report of another node. listed reports whether a server is in the endpoint list.
// MergeReport returns false if the report is invalid or is not newer than the latest report of its node.
func (t *OutlierTracker) MergeReport(report *Report, listed func(string) bool, now int64) bool {
	if report.Node == t.own.Node {
		return false // own report, forwarded by another node
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
		w.outcomes = before.outcomes // servers that the report omits decay
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

// isValid reports whether a reported count is within its bounds. It returns false for NaN.
func (c OutcomeCount) isValid() bool {
	return c.Failures >= 0 && c.Failures <= c.Attempts && c.Attempts <= maxAttempts
}
