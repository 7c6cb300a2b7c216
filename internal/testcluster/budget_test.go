// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestUnevenDemand: nine tenths of the demand are at one node, which gets what the others leave: nine tenths of the
// whole and more arrive at the servers. A fixed split would let through one in three.
func TestUnevenDemand(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(3, 3, 1)
	const whole = 100
	plan.Fleet["most"], plan.Fleet["margin"] = 3, 0.01 // a window counts for the margin longer
	plan.Fleet["budgets"].(map[string]any)["connect"] = budgetSection(whole, 1, 2)
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
	}
	hot := r.Nodes[0].StartLoad("job", "/look?close=1", 16, 20*time.Millisecond, 400*time.Millisecond)
	ends := []func() map[int]int{hot}
	for _, n := range r.Nodes[1:] {
		ends = append(ends, n.StartLoad("job", "/look?close=1", 1, 150*time.Millisecond, 400*time.Millisecond))
	}
	r.Until("the hot node has nine tenths", 20*time.Second, func() bool {
		return connectQuota(r.Nodes[0]) >= 9*whole/10-3
	})
	const span = 4 * time.Second
	use := func() float64 {
		accepted, _ := r.Servers[0].Received()
		since, _ := slices.BinarySearch(accepted, r.Now()-int64(span))
		return float64(len(accepted)-since) / (float64(span) / float64(windowTime) * whole)
	}
	best := 0.0 // on a machine that is busy with other things clients are slow at times
	r.Until("nine tenths of the whole are used", 5*span, func() bool { best = max(best, use()); return best >= 0.9 })
	for _, end := range ends {
		end()
	}
	accepted, _ := r.Servers[0].Received()
	most := testcluster.MaxInWindow(accepted, windowTime-jitter)
	t.Logf("%.2f of the whole is used, %d in a window at most", best, most)
	if most > whole {
		t.Errorf("%d in a window, the whole is %d", most, whole)
	}
}

// TestCooldown: windows that are longer than leases. What one node used and gave back is used by another only once its
// window is past, though shares move within half a second. Without rests this broke the whole, and no other test
// here did.
func TestCooldown(t *testing.T) {
	runParallel(t)
	const window = 2 * time.Second
	plan := fleetPlan(3, 3, 1)
	plan.Fleet["most"] = 3
	plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{
		"whole": connectTotal, "floor": 1, "window_ms": window.Milliseconds(),
	}
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
	}
	// Each that comes wants as much as those before, who have used what they now give back.
	var ends []func() map[int]int
	for i, n := range r.Nodes {
		ends = append(ends, n.StartLoad("job", "/look?close=1", 8, 8*time.Millisecond, 300*time.Millisecond))
		r.Until("it has its share", 4*convergeTime, func() bool { return connectQuota(n) >= connectTotal/int64(i+1)-4 })
		from := r.Now()
		r.Until("it has used it", convergeTime, func() bool { return r.Now()-from > int64(window)/3 })
	}
	for _, end := range ends {
		end()
	}
	accepted, _ := r.Servers[0].Received()
	most := testcluster.MaxInWindow(accepted, window-jitter)
	t.Logf("%d connections, at most %d in a window", len(accepted), most)
	if most > connectTotal || len(accepted) < connectTotal {
		t.Errorf("%d connections, at most %d in a window, the whole is %d", len(accepted), most, connectTotal)
	}
}

// TestAgain: servers that turn everything away draw second postings from all nodes; together they are no more
// than the whole, or than a share of first ones. Without a fleet the same traffic sends far more: the count can
// fail.
func TestAgain(t *testing.T) {
	runParallel(t)
	for _, kind := range []string{"whole", "share", "alone"} {
		const share = 0.05
		plan := fleetPlan(3, 3, 3)
		switch kind {
		case "alone":
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		case "share":
			plan.Fleet["budgets"].(map[string]any)["again"] = map[string]any{
				"whole": 10000, "share": share, "floor": 1, "window_ms": windowTime.Milliseconds(),
			}
		}
		r := testcluster.New(t, plan)
		for _, n := range r.Nodes {
			n.Start()
		}
		for _, n := range r.Nodes {
			n.WaitReady()
		}
		if kind != "alone" {
			r.Until("a lease for each", 20*time.Second, func() bool {
				for _, n := range r.Nodes {
					if f := statusOf(n); f == nil || f.LeaseMillis == 0 {
						return false
					}
				}
				return true
			})
		}
		var ends []func() map[int]int
		for _, n := range r.Nodes {
			ends = append(ends, n.StartLoad("job", "/look?full=1", 8, 10*time.Millisecond, 300*time.Millisecond))
		}
		from := r.Now()
		r.Until("some time has passed", convergeTime, func() bool { return r.Now()-from >= int64(3*time.Second) })
		for _, end := range ends {
			end()
		}
		seen, first, again := map[string]bool{}, []int64{}, []int64{}
		var all []testcluster.Job
		for _, e := range r.Servers {
			_, jobs := e.Received()
			all = append(all, jobs...)
		}
		slices.SortFunc(all, func(a, b testcluster.Job) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
		for _, j := range all {
			if seen[j.ID] {
				again = append(again, j.ArrivedAt)
			} else {
				first = append(first, j.ArrivedAt)
			}
			seen[j.ID] = true
		}
		bound := retryTotal
		if kind == "share" {
			// Of the most first ones that any window had, and floors; the whole follows within a lease.
			bound = max(int(share*float64(testcluster.MaxInWindow(first, windowTime+jitter))), maxNodes*connectFloor)
		}
		most := testcluster.MaxInWindow(again, windowTime-jitter)
		t.Logf("%s: %d second postings of %d, %d in a window at most, of %d", kind, len(again), len(all), most, bound)
		if (kind != "alone") != (most <= bound) {
			t.Errorf("%s: %d second postings in a window, the whole is %d", kind, most, bound)
		}
		if kind != "alone" && len(again) < bound {
			t.Errorf("%s: %d second postings: too few to have tried the whole", kind, len(again))
		}
	}
}

// TestSlowStart: servers that have just started are sent no more by all nodes together than they bear in a window,
// while a node is killed and one joins. Nodes of which each takes itself for the only one send far more: the count
// can fail.
func TestSlowStart(t *testing.T) {
	runParallel(t)
	const (
		fall     = 500 * time.Millisecond
		cold     = 6 * time.Second
		multiple = 2.5
		share    = 0.3
		work     = 5 * time.Millisecond
		part     = 1 / 1.5
	)
	for _, together := range []bool{true, false} {
		plan := fleetPlan(4, 3, 2)
		// Connections are not what is tried here.
		plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{
			"whole": 4000, "floor": 100, "step": 100, "window_ms": fall.Milliseconds(),
		}
		if plan.JobCost, plan.ServersStarted = work, time.Now(); !together {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
			plan.Settings["ReplicasOfMe"] = 1
		}
		r := testcluster.New(t, plan)
		b := &loadedCluster{Cluster: r}
		for _, n := range r.Nodes[:3] {
			n.Start()
		}
		for _, n := range r.Nodes[:3] {
			n.WaitReady()
			b.stopLoads = append(b.stopLoads, n.StartLoad("job", "/look", 8, 5*time.Millisecond, 300*time.Millisecond))
		}
		after := func(age time.Duration) {
			b.Until("some time has passed", 2*cold, func() bool { return time.Since(plan.ServersStarted) >= age })
		}
		after(4 * time.Second)
		r.Nodes[0].Kill()
		r.Nodes[3].Start()
		r.Nodes[3].WaitReady()
		stop := r.Nodes[3].StartLoad("job", "/look", 8, 5*time.Millisecond, 300*time.Millisecond)
		b.stopLoads = append(b.stopLoads, stop)
		after(cold)
		for _, end := range b.stopLoads {
			end()
		}
		began, count, worst := r.Now()-int64(time.Since(plan.ServersStarted)), 0, 0.0
		for _, e := range r.Servers {
			_, jobs := e.Received()
			from, sum := 0, time.Duration(0)
			for _, job := range jobs {
				if job.ArrivedAt-began >= int64(cold) {
					break
				}
				sum += job.Cost
				for ; job.ArrivedAt-jobs[from].ArrivedAt >= int64(fall-jitter); from++ {
					sum -= jobs[from].Cost
				}
				warmth := share + (1-share)*float64(job.ArrivedAt-began)/float64(cold)
				worst = max(worst, float64(sum)/(multiple*float64(fall)*warmth))
				count++
			}
		}
		t.Logf("together %v: %d jobs, at worst %.2f of what a cold server bears", together, count, worst)
		// What nodes reckon with is a part of what it bears, by running times that each has seen; what must hold is
		// the whole.
		if together && worst > 1 || !together && worst <= part {
			t.Errorf("together %v: at worst %.2f of what a cold server bears; nodes use %.2f of it",
				together, worst, part)
		}
		if together && worst < part/2 {
			t.Errorf("%.2f is too little to have tried it", worst)
		}
	}
}
