// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/fleet"
	"fernrail/internal/testcluster"
)

// What the fleets of these tests hold together. Real time is short here, so leases are as well.
const (
	connectTotal = 40 // new connections to one server in a window
	connectFloor = 1
	retryTotal   = 60
	leaseTime    = 1500 * time.Millisecond
	windowTime   = 500 * time.Millisecond
	clockMargin  = 0.1
	maxNodes     = 9

	connectReserve = 2
)

// jitter is by how much a stand-in may see two moments closer together than they were at the senders: a process
// that has asked its share waits for the processor before its packet leaves, and the stand-in waits before it
// looks.
const jitter = 60 * time.Millisecond

// budgetSection is the section of one budget in a node's file, in units per windowTime.
func budgetSection(total, floor, reserve int) map[string]any {
	return map[string]any{"whole": total, "floor": floor, "reserve": reserve, "window_ms": windowTime.Milliseconds()}
}

// classSettings is a class with a deadline of 3 s.
func classSettings(name, idempotency string) map[string]any {
	return map[string]any{
		"Name":             name,
		"SlaTime":          300_000_000,
		"Expiry":           3_000_000_000,
		"BillingValue":     1,
		"LateBillingValue": 0.5,
		"Idempotency":      idempotency,
	}
}

// fleetPlan is a plan of nodes that share all budgets.
func fleetPlan(nodes, voters, servers int) testcluster.Plan {
	return testcluster.Plan{
		Program:   []string{binary},
		Nodes:     nodes,
		Voters:    voters,
		Servers:   servers,
		Disk:      true,
		ServeTime: time.Millisecond,
		Settings:  platformSettings(nodes),
		Fleet:     fleetSection(),
	}
}

// platformSettings allow nodes all that the tests need.
func platformSettings(nodes int) map[string]any {
	return map[string]any{
		"Tick":              5_000_000,
		"ReplicasOfMe":      nodes,
		"Dcs":               []string{"a"},
		"Skus":              []string{"m"},
		"Discovery":         "automatic",
		"BillingValueBasis": "request",
		"Report":            map[string]any{"Source": "piggyback"},
		"Limits": map[string]any{
			"MayTell":       true,
			"MayCancel":     true,
			"MayDuplicate":  true,
			"MostPostings":  4,
			"RetryAfter":    true,
			"MaxRetryAfter": 2_000_000_000,
			"DialTimeout":   250_000_000,
			"IdleClose":     10_000_000_000,
		},
		"Rules": map[string]any{
			"AskWithin":    8_000_000_000,
			"Cold":         6_000_000_000,
			"ColdShare":    0.3,
			"Fall":         500_000_000,
			"FallMultiple": 2.5,
		},
		"Schemes": []any{classSettings("look", "idempotent"), classSettings("book", "at_most_once")},
	}
}

// fleetSection is the fleet section of a node's file.
func fleetSection() map[string]any {
	coldBudget := budgetSection(1000, 20, 50)
	coldBudget["step"] = 20
	return map[string]any{
		"secret":        "only for tests",
		"most":          maxNodes,
		"lease_ms":      leaseTime.Milliseconds(),
		"margin":        clockMargin,
		"pace_ms":       200,
		"round_trip_ms": 100,
		"budgets": map[string]any{
			"connect": budgetSection(connectTotal, connectFloor, connectReserve),
			"again":   budgetSection(retryTotal, 1, 4),
			"cold":    coldBudget,
		},
	}
}

// checkConnectTotal checks that no more arrived at any server in any window than the whole.
func checkConnectTotal(t *testing.T, r *testcluster.Cluster) (all int) {
	t.Helper()
	most, all := countConnections(r)
	t.Logf("%d connections, at most %d in a window at one server, the whole is %d", all, most, connectTotal)
	if most > connectTotal {
		t.Errorf("%d connections in a window, the whole is %d", most, connectTotal)
	}
	return all
}

// countConnections is the most connections in any window at any server, and all that came.
func countConnections(r *testcluster.Cluster) (most, all int) {
	for _, e := range r.Servers {
		accepted, _ := e.Received()
		all += len(accepted)
		most = max(most, testcluster.MaxInWindow(accepted, windowTime-jitter))
	}
	return most, all
}

func statusOf(n *testcluster.Node) *fleet.Status {
	var f fleet.Status
	if n.AdminQuery("fleet", &f) != nil {
		return nil
	}
	return &f
}

// connectQuota is what the node may use of the connections now.
func connectQuota(n *testcluster.Node) int64 {
	if f := statusOf(n); f != nil {
		return f.Budgets["connect"].Quota
	}
	return 0
}

// totalQuota is what all these nodes together may use of the connections now.
func totalQuota(nodes []*testcluster.Node) (all int64) {
	for _, n := range nodes {
		all += connectQuota(n)
	}
	return all
}

// quotaReaches reports whether nodes together may use so many connections.
func quotaReaches(nodes []*testcluster.Node, least int64) func() bool {
	return func() bool { return totalQuota(nodes) >= least }
}

// leader is the node whose voter grants; nil: none does.
func leader(r *testcluster.Cluster) *testcluster.Node {
	for _, n := range r.Nodes {
		if !n.Running() {
			continue
		}
		if f := statusOf(n); f != nil && f.Voter != nil && f.Voter.IsLeader {
			return n
		}
	}
	return nil
}

// waitForLeader returns the leader as soon as a node says that it is the one; on a loaded machine an election may be under way.
func waitForLeader(r *testcluster.Cluster) (node *testcluster.Node) {
	r.Helper()
	r.Until("a node is the leader", 10*time.Second, func() bool {
		node = leader(r)
		return node != nil
	})
	return node
}

func without(nodes []*testcluster.Node, not *testcluster.Node) (rest []*testcluster.Node) {
	for _, n := range nodes {
		if n != not {
			rest = append(rest, n)
		}
	}
	return rest
}

// sharedQuota is what all leases and the floors of so many nodes come to when the most is out.
func sharedQuota(nodes int) int64 {
	return connectTotal - connectReserve - connectFloor*int64(maxNodes-nodes)
}

// convergeTime is within what a lease, its margin, a window and an election take, with as much again for a loaded
// machine.
const convergeTime = 8 * time.Second

// cutLinks holds both ways, or one, between two parts of the fleet.
func cutLinks(from, to []*testcluster.Node, ways ...testcluster.Direction) {
	for _, a := range from {
		for _, z := range to {
			if a != z {
				for _, d := range ways {
					a.VoterRelay(z.Index).Cut(d)
				}
			}
		}
	}
}

func healLinks(nodes []*testcluster.Node) {
	for _, a := range nodes {
		for _, z := range nodes {
			a.VoterRelay(z.Index).Heal()
		}
	}
}
