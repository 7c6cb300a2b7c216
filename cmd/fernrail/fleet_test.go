// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"fernrail/internal/fleet"
	"fernrail/internal/rig"
)

// What the fleets of these tests hold together. Real time is short here, so leases are as well.
const (
	wholeConnect = 40 // new connections to one executor in a window
	floorConnect = 1
	wholeAgain   = 60
	leaseTime    = 1500 * time.Millisecond
	windowTime   = 500 * time.Millisecond
	clockMargin  = 0.1
	mostNodes    = 9
)

// jitter is by how much a stand-in may see two moments closer together than they were at the senders: a process that has
// asked its share waits for the processor before its packet leaves, and the stand-in waits before it looks.
const jitter = 60 * time.Millisecond

func fleetPlan(nodes, seats, executors int) rig.Plan {
	scheme := func(name, kind string) map[string]any {
		return map[string]any{"Name": name, "SlaTime": 300_000_000, "Expiry": 3_000_000_000, "BillingValue": 1, "LateBillingValue": 0.5, "Idempotency": kind}
	}
	return rig.Plan{Program: []string{os.Args[0]}, Env: []string{"FERNRAIL_TEST_NODE=1"}, Nodes: nodes, Seats: seats, Executors: executors, Disk: true, Reply: time.Millisecond,
		Settings: map[string]any{"Tick": 5_000_000, "ReplicasOfMe": nodes, "Dcs": []string{"a"}, "Skus": []string{"m"}, "Discovery": "automatic",
			"BillingValueBasis": "request", "Report": map[string]any{"Source": "piggyback"},
			"Limits": map[string]any{"MayTell": true, "MayCancel": true, "MayDuplicate": true, "MostPostings": 4, "RetryAfter": true, "MaxRetryAfter": 2_000_000_000,
				"DialTimeout": 250_000_000, "IdleClose": 10_000_000_000},
			"Rules":   map[string]any{"AskWithin": 8_000_000_000, "Cold": 6_000_000_000, "ColdShare": 0.3, "Fall": 500_000_000, "FallMultiple": 2.5},
			"Schemes": []any{scheme("look", "idempotent"), scheme("book", "at_most_once")}},
		Fleet: map[string]any{"secret": "only for tests", "most": mostNodes, "lease_ms": leaseTime.Milliseconds(), "margin": clockMargin, "pace_ms": 200, "round_trip_ms": 100,
			"budgets": map[string]any{
				"connect": map[string]any{"whole": wholeConnect, "floor": floorConnect, "reserve": 2, "window_ms": windowTime.Milliseconds()},
				"again":   map[string]any{"whole": wholeAgain, "floor": 1, "reserve": 4, "window_ms": windowTime.Milliseconds()},
				"cold":    map[string]any{"whole": 1000, "floor": 20, "reserve": 50, "step": 20, "window_ms": windowTime.Milliseconds()}}}}
}

// within checks that no more arrived at any executor in any window than the whole.
func within(t *testing.T, r *rig.Rig) (all int) {
	t.Helper()
	for _, e := range r.Executors {
		accepted, _ := e.Noted()
		all += len(accepted)
		most := rig.Most(accepted, windowTime-jitter)
		t.Logf("%s: %d connections, at most %d in a window", e.Name, len(accepted), most)
		if most > wholeConnect {
			t.Errorf("%s: %d connections in a window, the whole is %d", e.Name, most, wholeConnect)
		}
	}
	return all
}

func figures(n *rig.Node) *fleet.Figures {
	var f fleet.Figures
	if n.Ask("fleet", &f) != nil {
		return nil
	}
	return &f
}

func leased(n *rig.Node, least int64) func() bool {
	return func() bool {
		f := figures(n)
		return f != nil && f.LeaseMs > 0 && f.Budgets["connect"].Mine >= least
	}
}

// granter is the node whose seat grants, as most of the others say as well.
func granter(r *rig.Rig) *rig.Node {
	for _, n := range r.Nodes {
		if f := figures(n); n.Running() && f != nil && f.Seat != nil && f.Seat.Grants {
			return n
		}
	}
	return nil
}

// TestGranterKilled: three nodes, one budget, one fault. The whole holds throughout; the survivors go on, and what the dead
// one held is theirs within a lease, its margin, a window and the election.
func TestGranterKilled(t *testing.T) {
	r := rig.New(t, fleetPlan(3, 3, 2))
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
	}
	var ends []func() map[int]int
	for _, n := range r.Nodes {
		ends = append(ends, n.Load("job", "/look?close=1", 4, 10*time.Millisecond, 400*time.Millisecond))
	}
	for _, n := range r.Nodes {
		r.Until(n.Name+" has a share", 10*time.Second, leased(n, 4))
	}
	dead := granter(r)
	if dead == nil {
		t.Fatal("nobody grants")
	}
	dead.Signal(syscall.SIGKILL)
	var rest []*rig.Node
	for _, n := range r.Nodes {
		if n != dead {
			rest = append(rest, n)
		}
	}
	back := r.Until("what the dead one held is in use", 8*time.Second, func() bool {
		sum := int64(0)
		for _, n := range rest {
			if f := figures(n); f != nil {
				sum += f.Budgets["connect"].Mine
			}
		}
		return sum >= wholeConnect-mostNodes*floorConnect-2+2*floorConnect-1
	})
	t.Logf("in use again after %v", back)
	for i, end := range ends {
		t.Logf("%s: %v", r.Nodes[i].Name, end())
	}
	if all := within(t, r); all < 2*wholeConnect {
		t.Errorf("%d connections: too few to have tried the whole", all)
	}
}
