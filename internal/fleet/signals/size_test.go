// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"fmt"
	"testing"
)

// newFilledTracker returns a tracker with outcomes of the given number of servers and reports of the given
// number of other nodes.
func newFilledTracker(nodes, servers int) *OutlierTracker {
	tracker := NewOutlierTracker("me", "z0", 1, 3)
	for e := range servers {
		tracker.RecordOutcome(fmt.Sprint("e", e), e%7 == 0, 1e9)
	}
	for n := range nodes {
		report := &Report{
			Node:        fmt.Sprint("n", n),
			Zone:        fmt.Sprint("z", n%3),
			Incarnation: 1,
			Seq:         1,
			Outcomes:    map[string]OutcomeCount{},
		}
		for i := range maxReportedServers {
			name := fmt.Sprint("e", (n*maxReportedServers+i)%servers)
			report.Outcomes[name] = OutcomeCount{Attempts: 1, Failures: float64(i % 2)}
		}
		tracker.MergeReport(report, allListed, 1e9)
	}
	return tracker
}

// TestLargestFleet checks that 1,024 servers and 1,024 witnesses are tracked, and that OutlierScores agrees
// with OutlierScore.
func TestLargestFleet(t *testing.T) {
	tracker := newFilledTracker(1024, 1024)
	if len(tracker.own.outcomes) != 1024 || len(tracker.witnesses) != 1024 {
		t.Errorf("tracked %d servers and %d witnesses, want 1024 of each",
			len(tracker.own.outcomes), len(tracker.witnesses))
	}
	scores := tracker.OutlierScores(1e9)
	if len(scores) == 0 {
		t.Error("no server has a score above 0")
	}
	for e, score := range scores {
		if tracker.OutlierScore(e, 1e9) != score {
			t.Errorf("server %s: OutlierScores returns %v, OutlierScore %v",
				e, score, tracker.OutlierScore(e, 1e9))
		}
	}
	if n := tracker.NextReport(1e9, maxReportedServers); len(n.Outcomes) != maxReportedServers {
		t.Errorf("reported %d servers, want %d", len(n.Outcomes), maxReportedServers)
	}
}

// BenchmarkRound measures a node's periodic work, several times per second: its report and the scores of all
// servers.
func BenchmarkRound(b *testing.B) {
	for _, size := range [][2]int{{9, 30}, {300, 200}, {1024, 1024}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			tracker := newFilledTracker(size[0], size[1])
			for b.Loop() {
				tracker.NextReport(1e9, maxReportedServers)
				tracker.OutlierScores(1e9)
			}
		})
	}
}
