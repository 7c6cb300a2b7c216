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

// TestSchedules runs random schedules of overlapping faults on five nodes with three voters, or nine nodes
// with five voters. The total of the connect budget is never exceeded, and after the end of all faults it
// is fully leased again.
//
// FERNRAIL_RIG_SEED=N runs another seed. FERNRAIL_RIG_SCHEDULE=FILE runs the schedule that a failed test
// printed. FERNRAIL_RIG_SHORTER=1 minimizes the schedule, which takes many runs.
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
			run := func(t *testing.T, s testcluster.Schedule) {
				c := startLoaded(t, fleetPlan(nodes, voters, 2), nodes)
				c.RunSchedule(s)
				inUse := quotaReaches(c.Nodes, maxQuota(nodes)-int64(nodes))
				c.Until("the connect budget is fully leased again", 3*convergeTime, inUse)
				c.finish(t, connectTotal)
			}
			if os.Getenv("FERNRAIL_RIG_SHORTER") != "" {
				s = s.Minimize(func(reduced testcluster.Schedule) bool {
					return !t.Run("reduced", func(t *testing.T) { run(t, reduced) })
				})
				t.Fatalf("minimal schedule that still fails:\n%s", s)
			}
			defer func() {
				if t.Failed() {
					t.Logf("reproduce with: FERNRAIL_RIG_SEED=%d go test ./internal/testcluster -run TestSchedules,"+
						" or with FERNRAIL_RIG_SCHEDULE set to a file with this schedule:\n%s", seed, s)
				}
			}()
			run(t, s)
		})
		if os.Getenv("FERNRAIL_RIG_SEED") != "" {
			return
		}
	}
}

// TestScheduleText checks that a seed always draws the same schedule, that the text form of a schedule can
// be parsed, and that Minimize retains only the steps that are needed for a failure.
func TestScheduleText(t *testing.T) {
	size := testcluster.ScheduleSize{Nodes: 5, Voters: 3, Faults: 12, Span: 10 * time.Second}
	s := testcluster.RandomSchedule(7, size)
	parsed, err := testcluster.ParseSchedule(s.String())
	if err != nil || !slices.Equal(s, parsed) {
		t.Errorf("parse of the text form: error %v, want none; schedule written:\n%v\nschedule parsed:\n%v",
			err, s, parsed)
	}
	if second := testcluster.RandomSchedule(7, size); !slices.Equal(s, second) {
		t.Errorf("the same seed drew two different schedules:\n%v\nand\n%v", s, second)
	}
	if different := testcluster.RandomSchedule(8, size); slices.Equal(s, different) {
		t.Errorf("two different seeds drew the same schedule:\n%v", s)
	}
	if _, err := testcluster.ParseSchedule("10 kill"); err == nil {
		t.Error("ParseSchedule accepted an incomplete step, want an error")
	}
	needed := []testcluster.Step{s[2], s[len(s)-3]}
	minimal := s.Minimize(func(reduced testcluster.Schedule) bool {
		return slices.Contains(reduced, needed[0]) && slices.Contains(reduced, needed[1])
	})
	if !slices.Equal(minimal, needed) {
		t.Errorf("minimized schedule: got %v, want %v", minimal, needed)
	}
}
