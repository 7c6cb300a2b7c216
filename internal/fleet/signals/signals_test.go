// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func all(string) bool { return true }

// FuzzOrder: news that is late, doubled and in any order leaves the same as the latest of each node alone.
func FuzzOrder(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := int64(1e9)
		var news, latest []*Report
		for i := range 5 {
			w := New(fmt.Sprint("w", i), fmt.Sprint("z", i%2), 1, 3)
			var last *Report
			for range 6 {
				for range 1 + r.IntN(4) {
					w.RecordOutcome(fmt.Sprint("e", r.IntN(3)), r.IntN(2) == 0, now)
				}
				if n := w.NextReport(now, 24); n != nil {
					news, last = append(news, n), n
				}
			}
			if last != nil {
				latest = append(latest, last)
			}
		}
		one, other := New("me", "z0", 1, 3), New("me", "z0", 1, 3)
		for _, n := range latest {
			one.MergeReport(n, all, now)
		}
		for _, i := range append(r.Perm(len(news)), r.Perm(len(news))...) {
			other.MergeReport(news[i], all, now)
		}
		for e := range 3 {
			name := fmt.Sprint("e", e)
			if a, b := one.OutlierScore(name, now), other.OutlierScore(name, now); math.Abs(a-b) > 1e-9 {
				t.Errorf("%s: %v and %v", name, a, b)
			}
		}
	})
}

// mergeReport has a node tell that jobs at an executor ended well or not.
func mergeReport(b *OutlierTracker, node, zone, executor string, seq uint64, well, bad int, now int64) bool {
	return b.MergeReport(&Report{node, zone, 1, seq, map[string]OutcomeCount{executor: {Attempts: float64(well + bad), Failures: float64(bad)}}}, all, now)
}

// TestQuorum: one witness shuts nobody out however much it says, nor does one zone, nor a minority; a quorum does, and one that
// claims that all is well does not keep it from doing so.
func TestQuorum(t *testing.T) {
	now := int64(0)
	b := New("me", "east", 1, 3)
	check := func(what string, least, most float64) {
		t.Helper()
		if bad := b.OutlierScore("e", now); bad < least || bad > most {
			t.Errorf("%s: %v, not %v to %v", what, bad, least, most)
		}
	}
	mergeReport(b, "liar", "west", "e", 1, 0, 1e6, now)
	check("one witness", 0, 0)
	b.RemoveWitness("liar")
	for i := range 5 {
		mergeReport(b, fmt.Sprint("w", i), "west", "e", 1, 0, 10, now)
	}
	check("one zone of two", 0, 0.3)
	mergeReport(b, "x", "east", "e", 1, 0, 10, now)
	check("two zones", 0.7, 1)
	mergeReport(b, "y", "east", "e", 1, 0, 10, now)
	mergeReport(b, "friend", "east", "e", 1, 1e6, 0, now)
	check("one says that it is well", 0.95, 1)
	for i := range 8 {
		mergeReport(b, fmt.Sprint("v", i), "east", "e", 1, 10, 0, now)
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

// TestRecentFailures: what failed of late counts, however well it went before.
func TestRecentFailures(t *testing.T) {
	b := New("me", "a", 1, 3)
	for i := range 5 {
		w := New(fmt.Sprint("w", i), "a", 1, 3)
		for range 50 {
			w.RecordOutcome("e", false, 0)
		}
		w.RecordOutcome("e", true, 0)
		w.RecordOutcome("e", true, 0)
		b.MergeReport(w.NextReport(0, 24), all, 0)
	}
	if bad := b.OutlierScore("e", 0); bad < 0.95 {
		t.Error(bad)
	}
}

// TestFading: what is not seen any more is forgotten, little by little; what is seen to be well again at once counts.
func TestFading(t *testing.T) {
	b, now := New("me", "a", 1, 3), int64(0)
	for i := range 4 {
		mergeReport(b, fmt.Sprint("w", i), "a", "e", 1, 0, 4, now)
	}
	last := b.OutlierScore("e", now)
	if last < 0.95 {
		t.Fatal(last)
	}
	steps := 0
	for ; last > 0 && now < 60e9; now += 5e8 {
		bad := b.OutlierScore("e", now)
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
	if len(b.OutlierScores(now+60e9)) != 0 {
		t.Error("doubted for ever")
	}
	for i := range 4 {
		mergeReport(b, fmt.Sprint("w", i), "a", "e", 2, 0, 4, now)
	}
	for i := range 3 {
		mergeReport(b, fmt.Sprint("w", i), "a", "e", 3, 8, 4, now)
	}
	if bad := b.OutlierScore("e", now); bad != 0 {
		t.Errorf("seen to be well again: %v", bad)
	}
}

// TestBounds: what can't be, is of the past or of nobody's executors is not taken, and nothing is kept without bound.
func TestBounds(t *testing.T) {
	b := New("me", "a", 5, 3)
	nan := math.NaN()
	for _, c := range []OutcomeCount{{Attempts: -1}, {Attempts: 1, Failures: 2}, {Attempts: nan}, {Attempts: 1, Failures: nan}, {Attempts: 1e9}, {Attempts: math.Inf(1)}} {
		before := b.RejectedReports
		b.MergeReport(&Report{"w", "a", 1, uint64(before) + 1, map[string]OutcomeCount{"e": c}}, all, 0)
		if b.RejectedReports != before+1 || b.OutlierScore("e", 0) != 0 {
			t.Errorf("%+v is taken", c)
		}
	}
	if b.MergeReport(&Report{Node: "me", Seq: 9}, all, 0) || b.MergeReport(&Report{Seq: 9}, all, 0) {
		t.Error("news of itself, or of nobody")
	}
	mergeReport(b, "x", "a", "e", 7, 0, 3, 0)
	if mergeReport(b, "x", "a", "e", 7, 3, 0, 0) || mergeReport(b, "x", "a", "e", 6, 3, 0, 0) || b.MergeReport(&Report{"x", "a", 0, 99, nil}, all, 0) {
		t.Error("the past counts")
	}
	before := b.RejectedReports
	b.MergeReport(&Report{"x", "a", 1, 8, map[string]OutcomeCount{"unlisted": {Attempts: 3, Failures: 3}}}, func(string) bool { return false }, 0)
	if b.RejectedReports != before+1 {
		t.Error("an executor that no list has")
	}
	large := map[string]OutcomeCount{}
	for i := range maxReportedServers + 1 {
		large[fmt.Sprint(i)] = OutcomeCount{Attempts: 1}
	}
	if b.MergeReport(&Report{"z", "a", 1, 1, large}, all, 0) {
		t.Error("news over the bound")
	}
	for i := range 3000 {
		b.RecordOutcome(fmt.Sprint("e", i), true, int64(i))
		mergeReport(b, "w", "a", fmt.Sprint("e", i), uint64(i)+10, 0, 3, int64(i))
	}
	if len(b.own.outcomes) > maxTrackedServers || len(b.witnesses["w"].outcomes) > maxTrackedServers || len(b.NextReport(3000, 99).Outcomes) > maxReportedServers {
		t.Errorf("%d and %d are kept", len(b.own.outcomes), len(b.witnesses["w"].outcomes))
	}
	if quiet := New("q", "a", 1, 3); quiet.NextReport(0, 24) != nil {
		t.Error("a calm node talks")
	} else if quiet.RecordOutcome("e", false, 0); quiet.NextReport(0, 24) != nil {
		t.Error("a calm node talks of what is well")
	}
}
