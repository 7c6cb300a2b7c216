// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"fmt"
	"testing"
)

// crowdedTracker is a board that has heard of so many executors from so many witnesses.
func crowdedTracker(nodes, executors int) *OutlierTracker {
	b := New("me", "z0", 1, 3)
	for e := range executors {
		b.RecordOutcome(fmt.Sprint("e", e), e%7 == 0, 1e9)
	}
	for n := range nodes {
		news := &Report{fmt.Sprint("n", n), fmt.Sprint("z", n%3), 1, 1, map[string]OutcomeCount{}}
		for i := range maxReportedServers {
			news.Outcomes[fmt.Sprint("e", (n*maxReportedServers+i)%executors)] = OutcomeCount{Attempts: 1, Failures: float64(i % 2)}
		}
		b.MergeReport(news, all, 1e9)
	}
	return b
}

// TestFullSize: 1,024 executors and as many witnesses are kept and told of, each with its verdict.
func TestFullSize(t *testing.T) {
	b := crowdedTracker(1024, 1024)
	if len(b.own.outcomes) != 1024 || len(b.witnesses) != 1024 {
		t.Errorf("%d executors, %d witnesses", len(b.own.outcomes), len(b.witnesses))
	}
	verdicts := b.OutlierScores(1e9)
	if len(verdicts) == 0 {
		t.Error("nobody is bad")
	}
	for e, how := range verdicts {
		if b.OutlierScore(e, 1e9) != how {
			t.Errorf("%s: %v, %v alone", e, how, b.OutlierScore(e, 1e9))
		}
	}
	if n := b.NextReport(1e9, maxReportedServers); len(n.Outcomes) != maxReportedServers {
		t.Error(len(n.Outcomes))
	}
}

// BenchmarkRound is what a node does several times a second: its news, and a verdict on all.
func BenchmarkRound(b *testing.B) {
	for _, size := range [][2]int{{9, 30}, {300, 200}, {1024, 1024}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			board := crowdedTracker(size[0], size[1])
			for b.Loop() {
				board.NextReport(1e9, maxReportedServers)
				board.OutlierScores(1e9)
			}
		})
	}
}
