// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// allListed takes every server for one of the endpoint list.
func allListed(string) bool { return true }

// FuzzOrder: reports that are late, doubled and in any order leave the same as the latest of each node alone.
func FuzzOrder(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := int64(1e9)
		var reports, latest []*Report
		for i := range 5 {
			w := New(fmt.Sprint("w", i), fmt.Sprint("z", i%2), 1, 3)
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
		one, other := New("me", "z0", 1, 3), New("me", "z0", 1, 3)
		for _, n := range latest {
			one.MergeReport(n, allListed, now)
		}
		for _, i := range append(r.Perm(len(reports)), r.Perm(len(reports))...) {
			other.MergeReport(reports[i], allListed, now)
		}
		for e := range 3 {
			name := fmt.Sprint("e", e)
			if a, b := one.OutlierScore(name, now), other.OutlierScore(name, now); math.Abs(a-b) > 1e-9 {
				t.Errorf("%s: %v and %v", name, a, b)
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

// TestQuorum: one witness gives no server a score however much it reports, nor does one zone, nor a minority.
// A quorum does, and one witness that claims that all is well does not keep it from doing so.
func TestQuorum(t *testing.T) {
	now := int64(0)
	tracker := New("me", "east", 1, 3)
	check := func(what string, least, most float64) {
		t.Helper()
		if score := tracker.OutlierScore("e", now); score < least || score > most {
			t.Errorf("%s: score %v, not %v to %v", what, score, least, most)
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
	check("one says that it is well", 0.95, 1)
	for i := range 8 {
		mergeReport(tracker, fmt.Sprint("v", i), "east", "e", 1, 10, 0, now)
	}
	check("most say so", 0, 0)
	only := New("me", "", 1, 3)
	for i := range 3 {
		mergeReport(only, fmt.Sprint("w", i), "", "e", 1, 0, 10, now)
	}
	if bad := only.OutlierScore("e", now); bad < 0.95 {
		t.Errorf("one zone that is all: %v", bad)
	}
}

// TestRecentFailures: what failed lately counts, however well it went before.
func TestRecentFailures(t *testing.T) {
	tracker := New("me", "a", 1, 3)
	for i := range 5 {
		w := New(fmt.Sprint("w", i), "a", 1, 3)
		for range 50 {
			w.RecordOutcome("e", false, 0)
		}
		w.RecordOutcome("e", true, 0)
		w.RecordOutcome("e", true, 0)
		tracker.MergeReport(w.NextReport(0, 24), allListed, 0)
	}
	if bad := tracker.OutlierScore("e", 0); bad < 0.95 {
		t.Error(bad)
	}
}

// TestFading: failures that are not seen any more are forgotten, little by little; successes after them count
// at once.
func TestFading(t *testing.T) {
	tracker, now := New("me", "a", 1, 3), int64(0)
	for i := range 4 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 1, 0, 4, now)
	}
	last := tracker.OutlierScore("e", now)
	if last < 0.95 {
		t.Fatal(last)
	}
	steps := 0
	for ; last > 0 && now < 60e9; now += 5e8 {
		bad := tracker.OutlierScore("e", now)
		if bad > last || last-bad > 0.35 {
			t.Errorf("from %v to %v in half a second", last, bad)
		}
		if bad > 0 && bad < 0.9 {
			steps++
		}
		last = bad
	}
	if now > 30e9 || steps < 4 {
		t.Errorf("forgotten after %d s, in %d steps", now/1e9, steps)
	}
	if len(tracker.OutlierScores(now+60e9)) != 0 {
		t.Error("doubted for ever")
	}
	for i := range 4 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 2, 0, 4, now)
	}
	for i := range 3 {
		mergeReport(tracker, fmt.Sprint("w", i), "a", "e", 3, 8, 4, now)
	}
	if bad := tracker.OutlierScore("e", now); bad != 0 {
		t.Errorf("seen to be well again: %v", bad)
	}
}

// TestBounds: reports that can't be true, are late or name unlisted servers are not taken, and what is kept
// is bounded.
func TestBounds(t *testing.T) {
	tracker := New("me", "a", 5, 3)
	nan := math.NaN()
	for _, c := range []OutcomeCount{
		{Attempts: -1}, {Attempts: 1, Failures: 2}, {Attempts: nan}, {Attempts: 1, Failures: nan},
		{Attempts: 1e9}, {Attempts: math.Inf(1)},
	} {
		before := tracker.RejectedReports
		tracker.MergeReport(&Report{"w", "a", 1, uint64(before) + 1, map[string]OutcomeCount{"e": c}}, allListed, 0)
		if tracker.RejectedReports != before+1 || tracker.OutlierScore("e", 0) != 0 {
			t.Errorf("%+v is taken", c)
		}
	}
	isOwnTaken := tracker.MergeReport(&Report{Node: "me", Seq: 9}, allListed, 0)
	isNobodysTaken := tracker.MergeReport(&Report{Seq: 9}, allListed, 0)
	if isOwnTaken || isNobodysTaken {
		t.Error("a report of itself, or of nobody, is taken")
	}
	mergeReport(tracker, "x", "a", "e", 7, 0, 3, 0)
	isRepeatTaken := mergeReport(tracker, "x", "a", "e", 7, 3, 0, 0)
	isLateTaken := mergeReport(tracker, "x", "a", "e", 6, 3, 0, 0)
	isFormerTaken := tracker.MergeReport(&Report{Node: "x", Zone: "a", Incarnation: 0, Seq: 99}, allListed, 0)
	if isRepeatTaken || isLateTaken || isFormerTaken {
		t.Error("a report that is not the latest counts")
	}
	before := tracker.RejectedReports
	unlisted := &Report{"x", "a", 1, 8, map[string]OutcomeCount{"unlisted": {Attempts: 3, Failures: 3}}}
	tracker.MergeReport(unlisted, func(string) bool { return false }, 0)
	if tracker.RejectedReports != before+1 {
		t.Error("a server that is not listed is taken")
	}
	large := map[string]OutcomeCount{}
	for i := range maxReportedServers + 1 {
		large[fmt.Sprint(i)] = OutcomeCount{Attempts: 1}
	}
	if tracker.MergeReport(&Report{"z", "a", 1, 1, large}, allListed, 0) {
		t.Error("a report over the bound is taken")
	}
	for i := range 3000 {
		tracker.RecordOutcome(fmt.Sprint("e", i), true, int64(i))
		mergeReport(tracker, "w", "a", fmt.Sprint("e", i), uint64(i)+10, 0, 3, int64(i))
	}
	own, other := len(tracker.own.outcomes), len(tracker.witnesses["w"].outcomes)
	if own > maxTrackedServers || other > maxTrackedServers {
		t.Errorf("%d and %d servers are kept", own, other)
	}
	if reported := len(tracker.NextReport(3000, 99).Outcomes); reported > maxReportedServers {
		t.Errorf("%d servers are reported", reported)
	}
	quiet := New("q", "a", 1, 3)
	if quiet.NextReport(0, 24) != nil {
		t.Error("a node that saw nothing reports")
	}
	quiet.RecordOutcome("e", false, 0)
	if quiet.NextReport(0, 24) != nil {
		t.Error("a node that saw no failures reports")
	}
}
