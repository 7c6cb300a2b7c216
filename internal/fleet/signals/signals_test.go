// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// allListed reports every server as listed.
func allListed(string) bool { return true }

// FuzzReportOrder checks that late, duplicate and reordered reports give the same scores as only the latest
// report of each node.
func FuzzReportOrder(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := int64(1e9)
		var reports, latest []*Report
		for i := range 5 {
			w := NewOutlierTracker(fmt.Sprint("w", i), fmt.Sprint("z", i%2), 1, 3)
			var last *Report
			for range 6 {
				for range 1 + r.IntN(4) {
					w.RecordOutcome(fmt.Sprint("e", r.IntN(3)), r.IntN(2) == 0, now)
				}
				if n := w.NextReport(now, 24); n != nil {
					reports, last = append(reports, n), n
				}
			}
			if last != nil {
				latest = append(latest, last)
			}
		}
		latestOnly, reordered := NewOutlierTracker("me", "z0", 1, 3), NewOutlierTracker("me", "z0", 1, 3)
		for _, n := range latest {
			latestOnly.MergeReport(n, allListed, now)
		}
		for _, i := range append(r.Perm(len(reports)), r.Perm(len(reports))...) {
			reordered.MergeReport(reports[i], allListed, now)
		}
		for e := range 3 {
			name := fmt.Sprint("e", e)
			if a, b := latestOnly.OutlierScore(name, now),
				reordered.OutlierScore(name, now); math.Abs(a-b) > 1e-9 {
				t.Errorf("server %s: want score %v of the latest reports, got %v from reordered reports",
					name, a, b)
			}
		}
	})
}

// mergeReport merges a node's report on one server into a tracker.
func mergeReport(
	tracker *OutlierTracker, node, zone, server string, seq uint64, successes, failures int, now int64,
) bool {
	count := OutcomeCount{Attempts: float64(successes + failures), Failures: float64(failures)}
	report := &Report{
		Node:        node,
		Zone:        zone,
		Incarnation: 1,
		Seq:         seq,
		Outcomes:    map[string]OutcomeCount{server: count},
	}
	return tracker.MergeReport(report, allListed, now)
}

// TestQuorum checks that neither one witness, however many failures it reports, nor one of two zones, nor a
// minority gives a server a high score. A quorum gives it one, and one witness that reports only successes
// can't prevent that.
func TestQuorum(t *testing.T) {
	now := int64(0)
	tracker := NewOutlierTracker("me", "east", 1, 3)
	check := func(what string, least, most float64) {
		t.Helper()
		if score := tracker.OutlierScore("e", now); score < least || score > most {
			t.Errorf("%s: got score %v, want %v to %v", what, score, least, most)
		}
	}
	mergeReport(tracker, "liar", "west", "e", 1, 0, 1e6, now)
	check("one witness", 0, 0)
	tracker.RemoveWitness("liar")
	for i := range 5 {
		mergeReport(tracker, fmt.Sprint("w", i), "west", "e", 1, 0, 10, now)
	}
	check("one zone of two", 0, 0.3)
	mergeReport(tracker, "x", "east", "e", 1, 0, 10, now)
	check("two zones", 0.7, 1)
	mergeReport(tracker, "y", "east", "e", 1, 0, 10, now)
	mergeReport(tracker, "friend", "east", "e", 1, 1e6, 0, now)
	check("two zones and one witness of successes", 0.95, 1)
	for i := range 8 {
		mergeReport(tracker, fmt.Sprint("v", i), "east", "e", 1, 10, 0, now)
	}
	check("a majority of witnesses of successes", 0, 0)
	singleZone := NewOutlierTracker("me", "", 1, 3)
	for i := range 3 {
		mergeReport(singleZone, fmt.Sprint("w", i), "", "e", 1, 0, 10, now)
	}
	if score := singleZone.OutlierScore("e", now); score < 0.95 {
		t.Errorf("fleet with a single zone: got score %v, want at least 0.95", score)
	}
}

// TestRecentFailures checks that recent failures give a high score despite many earlier successes.
func TestRecentFailures(t *testing.T) {
	tracker := NewOutlierTracker("me", "a", 1, 3)
	for i := range 5 {
		w := NewOutlierTracker(fmt.Sprint("w", i), "a", 1, 3)
		for range 50 {
			w.RecordOutcome("e", false, 0)
		}
		w.RecordOutcome("e", true, 0)
		w.RecordOutcome("e", true, 0)
		tracker.MergeReport(w.NextReport(0, 24), allListed, 0)
	}
	if score := tracker.OutlierScore("e", 0); score < 0.95 {
		t.Errorf("got score %v, want at least 0.95", score)
	}
}

// TestScoreDecay checks that the score decays gradually after failures end, and that later successes reset it
// at once.
func TestScoreDecay(t *testing.T) {
	tracker, now := NewOutlierTracker("me", "a", 1, 3), int64(0)
	for i := range 4 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 1, 0, 4, now)
	}
	last := tracker.OutlierScore("e", now)
	if last < 0.95 {
		t.Fatalf("initial score: got %v, want at least 0.95", last)
	}
	steps := 0
	for ; last > 0 && now < 60e9; now += 5e8 {
		score := tracker.OutlierScore("e", now)
		if score > last || last-score > 0.35 {
			t.Errorf("score changed from %v to %v in 0.5 s, want a decrease of at most 0.35", last, score)
		}
		if score > 0 && score < 0.9 {
			steps++
		}
		last = score
	}
	if now > 30e9 || steps < 4 {
		t.Errorf("score is 0 after %d s, in %d steps; want at most 30 s and at least 4 steps", now/1e9, steps)
	}
	if len(tracker.OutlierScores(now+60e9)) != 0 {
		t.Error("a server still has a score 60 s after its score became 0")
	}
	for i := range 4 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 2, 0, 4, now)
	}
	for i := range 3 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 3, 8, 4, now)
	}
	if score := tracker.OutlierScore("e", now); score != 0 {
		t.Errorf("score after later successes: got %v, want 0", score)
	}
}

// TestReportBounds checks that invalid and late reports and unlisted servers are ignored, and that the number
// of tracked and reported servers is bounded.
func TestReportBounds(t *testing.T) {
	tracker := NewOutlierTracker("me", "a", 5, 3)
	nan := math.NaN()
	for _, c := range []OutcomeCount{
		{Attempts: -1}, {Attempts: 1, Failures: 2}, {Attempts: nan}, {Attempts: 1, Failures: nan},
		{Attempts: 1e9}, {Attempts: math.Inf(1)},
	} {
		before := tracker.RejectedReports
		tracker.MergeReport(&Report{"w", "a", 1, uint64(before) + 1, map[string]OutcomeCount{"e": c}},
			allListed, 0)
		if tracker.RejectedReports != before+1 || tracker.OutlierScore("e", 0) != 0 {
			t.Errorf("invalid count %+v was not rejected", c)
		}
	}
	isOwnMerged := tracker.MergeReport(&Report{Node: "me", Seq: 9}, allListed, 0)
	isNamelessMerged := tracker.MergeReport(&Report{Seq: 9}, allListed, 0)
	if isOwnMerged || isNamelessMerged {
		t.Errorf("merged a report of this node itself: %t, one without a node name: %t; want neither",
			isOwnMerged, isNamelessMerged)
	}
	mergeReport(tracker, "x", "a", "e", 7, 0, 3, 0)
	isDuplicateMerged := mergeReport(tracker, "x", "a", "e", 7, 3, 0, 0)
	isLateMerged := mergeReport(tracker, "x", "a", "e", 6, 3, 0, 0)
	isFormerMerged := tracker.MergeReport(
		&Report{Node: "x", Zone: "a", Incarnation: 0, Seq: 99}, allListed, 0)
	if isDuplicateMerged || isLateMerged || isFormerMerged {
		t.Errorf("merged a duplicate report: %t, a late one: %t, one of an earlier incarnation: %t; want none",
			isDuplicateMerged, isLateMerged, isFormerMerged)
	}
	before := tracker.RejectedReports
	unlisted := &Report{"x", "a", 1, 8, map[string]OutcomeCount{"unlisted": {Attempts: 3, Failures: 3}}}
	tracker.MergeReport(unlisted, func(string) bool { return false }, 0)
	if tracker.RejectedReports != before+1 {
		t.Errorf("rejected reports after one with an unlisted server: got %d, want %d",
			tracker.RejectedReports, before+1)
	}
	large := map[string]OutcomeCount{}
	for i := range maxReportedServers + 1 {
		large[fmt.Sprint(i)] = OutcomeCount{Attempts: 1}
	}
	if tracker.MergeReport(&Report{"z", "a", 1, 1, large}, allListed, 0) {
		t.Errorf("merged a report with %d servers, want it rejected above %d", len(large), maxReportedServers)
	}
	for i := range 3000 {
		tracker.RecordOutcome(fmt.Sprint("e", i), true, int64(i))
		mergeReport(tracker, "w", "a", fmt.Sprint("e", i), uint64(i)+10, 0, 3, int64(i))
	}
	own, other := len(tracker.own.outcomes), len(tracker.witnesses["w"].outcomes)
	if own > maxTrackedServers || other > maxTrackedServers {
		t.Errorf("tracked servers: got %d own and %d of another node, want at most %d",
			own, other, maxTrackedServers)
	}
	if reported := len(tracker.NextReport(3000, 99).Outcomes); reported > maxReportedServers {
		t.Errorf("reported %d servers, want at most %d", reported, maxReportedServers)
	}
	withoutFailures := NewOutlierTracker("q", "a", 1, 3)
	if withoutFailures.NextReport(0, 24) != nil {
		t.Error("a node without attempts sends a report")
	}
	withoutFailures.RecordOutcome("e", false, 0)
	if withoutFailures.NextReport(0, 24) != nil {
		t.Error("a node without failures sends a report")
	}
}
