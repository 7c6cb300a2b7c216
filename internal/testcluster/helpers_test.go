// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"testing"
	"time"

	"fernrail/internal/fleet"
	"fernrail/internal/testcluster"
)

// Budgets and lease parameters of the fleets in these tests. Leases are short to keep the tests fast.
const (
	connectTotal = 40 // new connections to one server per window
	connectFloor = 1
	retryTotal   = 60
	leaseTime    = 1500 * time.Millisecond
	windowTime   = 500 * time.Millisecond
	clockMargin  = 0.1
	maxNodes     = 9

	connectReserve = 2
)

// jitter is the maximum time by which two events may be closer together at a stand-in than at the senders. A
// process that has used a unit of its quota may wait for the processor before its packet is sent, and the
// stand-in may wait before it records the arrival.
const jitter = 60 * time.Millisecond

// budgetSection returns the section of one budget in a node's configuration, in units per windowTime.
func budgetSection(total, floor, reserve int) map[string]any {
	return map[string]any{
		"whole":     total,
		"floor":     floor,
		"reserve":   reserve,
		"window_ms": windowTime.Milliseconds(),
	}
}

// classSettings returns the settings of a class with a deadline of 3 s.
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

// fleetPlan returns the plan of a cluster whose nodes share all budgets.
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

// platformSettings returns settings that permit everything that the tests use.
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

// fleetSection returns the fleet section of a node's configuration.
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

// checkConnectTotal checks that no server accepted more connections in any window than connectTotal. It
// returns the number of all connections.
func checkConnectTotal(t *testing.T, c *testcluster.Cluster) (total int) {
	t.Helper()
	maxInWindow, total := countConnections(c)
	t.Logf("%d connections; maximum in a window at one server: %d, total of the budget: %d",
		total, maxInWindow, connectTotal)
	if maxInWindow > connectTotal {
		t.Errorf("connections in a window at one server: got %d, want at most the total of %d",
			maxInWindow, connectTotal)
	}
	return total
}

// countConnections returns the maximum number of connections in any window at any server, and the number of
// all connections.
func countConnections(c *testcluster.Cluster) (maxInWindow, total int) {
	for _, server := range c.Servers {
		accepted, _ := server.Received()
		total += len(accepted)
		maxInWindow = max(maxInWindow, testcluster.MaxInWindow(accepted, windowTime-jitter))
	}
	return maxInWindow, total
}

// statusOf returns the fleet status of a node, or nil if the node does not respond.
func statusOf(n *testcluster.Node) *fleet.Status {
	var f fleet.Status
	if n.AdminQuery("fleet", &f) != nil {
		return nil
	}
	return &f
}

// connectQuota returns the node's current quota of the connect budget, or 0 if the node does not respond.
func connectQuota(n *testcluster.Node) int64 {
	if f := statusOf(n); f != nil {
		return f.Budgets["connect"].Quota
	}
	return 0
}

// totalQuota returns the sum of the nodes' current quotas of the connect budget.
func totalQuota(nodes []*testcluster.Node) (sum int64) {
	for _, n := range nodes {
		sum += connectQuota(n)
	}
	return sum
}

// quotaReaches returns a condition for Until: the sum of the nodes' connect quotas is at least the minimum.
func quotaReaches(nodes []*testcluster.Node, minimum int64) func() bool {
	return func() bool { return totalQuota(nodes) >= minimum }
}

// leader returns the node whose voter is the leader, or nil if there is none.
func leader(c *testcluster.Cluster) *testcluster.Node {
	for _, n := range c.Nodes {
		if !n.Running() {
			continue
		}
		if f := statusOf(n); f != nil && f.Voter != nil && f.Voter.IsLeader {
			return n
		}
	}
	return nil
}

// waitForLeader waits until a node reports that it is the leader, and returns it. On a loaded machine an
// election may be in progress.
func waitForLeader(c *testcluster.Cluster) (node *testcluster.Node) {
	c.Helper()
	c.Until("a node is the leader", 10*time.Second, func() bool {
		node = leader(c)
		return node != nil
	})
	return node
}

// without returns the nodes except one.
func without(nodes []*testcluster.Node, excluded *testcluster.Node) (rest []*testcluster.Node) {
	for _, n := range nodes {
		if n != excluded {
			rest = append(rest, n)
		}
	}
	return rest
}

// maxQuota returns the maximum sum of the connect quotas of that many nodes: the total without the reserve
// and without the floors of the other nodes up to maxNodes.
func maxQuota(nodes int) int64 {
	return connectTotal - connectReserve - connectFloor*int64(maxNodes-nodes)
}

// convergeTime is twice the sum of the times of a lease, its margin, a window and an election. The factor
// of two is for loaded machines.
const convergeTime = 8 * time.Second

// cutLinks cuts the given directions of the links from one group of nodes to the voters of another.
func cutLinks(from, to []*testcluster.Node, directions ...testcluster.Direction) {
	for _, sender := range from {
		for _, receiver := range to {
			if sender != receiver {
				for _, d := range directions {
					sender.VoterRelay(receiver.Index).Cut(d)
				}
			}
		}
	}
}

// healLinks heals the links between all given nodes.
func healLinks(nodes []*testcluster.Node) {
	for _, sender := range nodes {
		for _, receiver := range nodes {
			sender.VoterRelay(receiver.Index).Heal()
		}
	}
}
