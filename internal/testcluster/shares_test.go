// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// waitForLeases waits until each of these nodes has a lease.
func waitForLeases(r *testcluster.Cluster, nodes []*testcluster.Node) {
	r.Until("a lease for each", 20*time.Second, func() bool {
		for _, n := range nodes {
			if f := statusOf(n); f == nil || f.LeaseMillis == 0 {
				return false
			}
		}
		return true
	})
}

// TestConcurrencyBudget: what one tenant has out at all servers together is never more than the whole, while a node
// is killed with its jobs out, the leader is stopped and goes on, and jobs outlast their clients; the other tenant
// has as much for itself. What a job that ended took is used again at once. Nodes that share nothing have several
// times as much out: the count can fail.
func TestConcurrencyBudget(t *testing.T) {
	runParallel(t)
	const whole = 24
	for _, held := range []bool{true, false} {
		plan := fleetPlan(4, 3, 4)
		plan.ServeTime = 120 * time.Millisecond
		plan.Settings["Tenants"] = []any{
			map[string]any{"Name": "large", "Share": 0.5},
			map[string]any{"Name": "small", "Share": 0.5},
		}
		for _, s := range plan.Settings["Schemes"].([]any) {
			s.(map[string]any)["Expiry"] = 1_000_000_000
		}
		if !held {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		}
		plan.Fleet["budgets"].(map[string]any)["jobs"] = map[string]any{
			"whole": whole, "floor": 1, "reserve": 2, "window_ms": 1000,
		}
		b := startAll(t, plan)
		if held {
			waitForLeases(b.Cluster, b.Nodes)
		}
		for _, n := range b.Nodes {
			// Some jobs go on when their clients have given up.
			b.stopLoads = append(b.stopLoads,
				n.StartLoad("job", "/look?from=large", 10, 5*time.Millisecond, 500*time.Millisecond),
				n.StartLoad("slow", "/look?from=large&slow=780ms", 10, 5*time.Millisecond, 500*time.Millisecond),
				n.StartLoad("few", "/look?from=small", 1, 20*time.Millisecond, 500*time.Millisecond))
		}
		b.RunFor(3 * time.Second)
		b.Nodes[3].Kill()
		if held {
			stopped := waitForLeader(b.Cluster)
			stopped.Signal(syscall.SIGSTOP)
			b.RunFor(leaseTime + time.Second)
			stopped.Signal(syscall.SIGCONT)
			b.RunFor(3 * time.Second)
		}
		t.Logf("answers %v", b.stopLoadsTotal())
		large, small := b.MaxConcurrentJobs("large"), b.MaxConcurrentJobs("small")
		done := 0
		for _, e := range b.Servers {
			_, jobs := e.Received()
			done += len(jobs)
		}
		t.Logf("held together: %v: at most %d and %d out of %d, %d in all", held, large, small, whole, done)
		if held != (large <= whole) {
			t.Errorf("%d jobs of one tenant are out, the whole is %d", large, whole)
		}
		if held && (large < whole/2 || small == 0 || done < 300) {
			t.Errorf("%d and %d jobs out, %d in all: too few to have tried the whole", large, small, done)
		}
	}
}

// TestPollBudget: discovery is asked by all nodes together no more often than the total allows, while its list changes on and on,
// while it fails, with the leader killed, and with a node that the others refuse; what drains is left by all of
// them within the time that the rules give, share or not. Nodes that share nothing call several times as often: the
// count can fail.
func TestPollBudget(t *testing.T) {
	runParallel(t)
	const whole, within = 12, 1500 * time.Millisecond
	for _, held := range []bool{true, false} {
		plan := fleetPlan(6, 3, 4)
		plan.Settings["Rules"].(map[string]any)["AskWithin"] = int64(within)
		if !held {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		}
		budgets := plan.Fleet["budgets"].(map[string]any)
		delete(budgets, "connect") // or the odd node could send nothing anyhow
		budgets["calls"] = budgetSection(whole, 1, 1)
		b := &loadedCluster{Cluster: testcluster.New(t, plan)}
		odd := b.Nodes[5]
		odd.ChangeFleet = func(f map[string]any) { f["margin"] = 0.2 }
		for _, n := range b.Nodes {
			n.Start()
		}
		for _, n := range b.Nodes {
			n.WaitReady()
		}
		if held {
			waitForLeases(b.Cluster, b.Nodes[:5])
		}
		for _, n := range b.Nodes {
			b.stopLoads = append(b.stopLoads,
				n.StartLoad("job", "/look", 2, 10*time.Millisecond, 400*time.Millisecond))
		}
		news := func(span time.Duration) {
			for end := b.Now() + int64(span); b.Now() < end; b.RunFor(30 * time.Millisecond) {
				b.UpdateEndpoints(func(map[string]bool) {})
			}
		}
		from := b.Now()
		news(2 * time.Second)
		if held {
			waitForLeader(b.Cluster).Kill()
		}
		b.SetDiscoveryDown(true)
		news(2 * time.Second)
		b.SetDiscoveryDown(false)
		at := b.Now()
		b.UpdateEndpoints(func(drained map[string]bool) { drained["e1"] = true })
		news(3 * time.Second)
		b.stopLoadsTotal()
		var calls []int64
		for _, at := range b.Polls() {
			if at >= from {
				calls = append(calls, at)
			}
		}
		_, jobs := b.Servers[1].Received()
		last := jobs[len(jobs)-1].ArrivedAt - at
		most := testcluster.MaxInWindow(calls, windowTime-jitter)
		t.Logf("held together: %v: %d calls, %d in a window at most, of %d; the last job for what drains after %v",
			held, len(calls), most, whole, time.Duration(last))
		if held != (most <= whole) {
			t.Errorf("%d calls in a window, the whole is %d", most, whole)
		}
		if last > int64(within+200*time.Millisecond) {
			t.Errorf("jobs for what drains for %v, of %v", time.Duration(last), within)
		}
		if held && len(calls) < 3*whole {
			t.Errorf("%d calls: too few to have tried the whole", len(calls))
		}
	}
}
