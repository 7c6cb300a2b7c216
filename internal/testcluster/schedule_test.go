// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestSchedules: faults by chance, several at a time, on five nodes of which three have voters, or nine of which
// five have. The whole holds throughout, and once all is healed the whole is in use again. FERNRAIL_RIG_SEED=N
// tries another seed, FERNRAIL_RIG_SCHEDULE=FILE plays what a failure printed, FERNRAIL_RIG_SHORTER=1 cuts it down,
// which takes as many runs as that needs.
func TestSchedules(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		if v, err := strconv.ParseUint(os.Getenv("FERNRAIL_RIG_SEED"), 10, 64); err == nil {
			seed = v
		}
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runParallel(t)
			nodes, voters, faults := 5, 3, 9
			if seed%2 == 0 {
				nodes, voters, faults = 9, 5, 14
			}
			s := testcluster.RandomSchedule(seed, testcluster.ScheduleSize{
				Nodes:  nodes,
				Voters: voters,
				Faults: faults,
				Span:   9 * time.Second,
			})
			if path := os.Getenv("FERNRAIL_RIG_SCHEDULE"); path != "" {
				text, err := os.ReadFile(path)
				if err == nil {
					s, err = testcluster.ParseSchedule(string(text))
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			play := func(t *testing.T, s testcluster.Schedule) {
				b := startLoaded(t, fleetPlan(nodes, voters, 2), nodes)
				b.RunSchedule(s)
				inUse := quotaReaches(b.Nodes, sharedQuota(nodes)-int64(nodes))
				b.Until("the whole is in use again", 3*convergeTime, inUse)
				b.finish(t, connectTotal)
			}
			if os.Getenv("FERNRAIL_RIG_SHORTER") != "" {
				s = s.Minimize(func(less testcluster.Schedule) bool {
					return !t.Run("less", func(t *testing.T) { play(t, less) })
				})
				t.Fatalf("fails still:\n%s", s)
			}
			defer func() {
				if t.Failed() {
					t.Logf("again with: FERNRAIL_RIG_SEED=%d go test ./internal/testcluster -run TestSchedules,"+
						" or this in a file:\n%s", seed, s)
				}
			}()
			play(t, s)
		})
		if os.Getenv("FERNRAIL_RIG_SEED") != "" {
			return
		}
	}
}

// TestScheduleText: what is drawn is the same for a seed, can be written and read, and cut down to what matters.
func TestScheduleText(t *testing.T) {
	size := testcluster.ScheduleSize{Nodes: 5, Voters: 3, Faults: 12, Span: 10 * time.Second}
	s := testcluster.RandomSchedule(7, size)
	again, err := testcluster.ParseSchedule(s.String())
	if err != nil || !slices.Equal(s, again) {
		t.Errorf("%v\n%v\n%v", err, s, again)
	}
	if same := testcluster.RandomSchedule(7, size); !slices.Equal(s, same) {
		t.Errorf("one seed draws two schedules:\n%v\n%v", s, same)
	}
	if other := testcluster.RandomSchedule(8, size); slices.Equal(s, other) {
		t.Errorf("two seeds draw one schedule:\n%v", s)
	}
	if _, err := testcluster.ParseSchedule("10 kill"); err == nil {
		t.Error("half a step is read")
	}
	both := []testcluster.Step{s[2], s[len(s)-3]}
	least := s.Minimize(func(less testcluster.Schedule) bool {
		return slices.Contains(less, both[0]) && slices.Contains(less, both[1])
	})
	if !slices.Equal(least, both) {
		t.Errorf("cut down to %v, want %v", least, both)
	}
}
