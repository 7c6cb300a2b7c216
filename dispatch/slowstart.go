// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// A server that has just started has less capacity at first. All nodes together must not send it more work
// in a window than it can accept. If nodes share budgets, each uses its quota. Otherwise they take turns,
// which every node computes from the settings, the server's start time and the clock with the same result.
// An even division among many nodes would give each less than one request.

const (
	// slowStartMargin is the factor by which the work sent stays below what a server can accept, since nodes
	// observe different times and sizes.
	slowStartMargin = 1.5
	// turnsPerWindow is the number of turns per overload window.
	turnsPerWindow = 4
)

// slowStartTurn is a period in which one group of nodes may send to a server in slow start.
type slowStartTurn struct {
	nodeBudget float64 // work that this node may send in its turn, ns
	since      int64   // clock time at which the turn began
	ownTurn    bool    // this node is in the group of the turn
	groups     float64 // number of groups that take turns
}

// nodesInRotation is the number of nodes that take turns. With quotas there are no turns.
func (s *Settings) nodesInRotation() int {
	if s.Quotas != nil {
		return 1
	}
	return max(s.Nodes, 1)
}

// turnLength is the duration of a turn, ns.
func (s *Settings) turnLength() int64 { return max(s.OverloadWindow/turnsPerWindow, 1) }

// slowStartWeightFactor is the factor on the weight of a server in slow start. It makes this node draw the
// server more often than if all nodes could send to it at any time.
func (s *Settings) slowStartWeightFactor(server *Server, groups float64) float64 {
	if s.Quotas == nil {
		return groups
	}
	return s.Quotas.Quota(BudgetSlowStart, server) * float64(max(s.Nodes, 1))
}

// warmUpFactor is a lower bound on the share of its capacity that a server has at a clock time. The reported
// start time may be too early.
func (s *Settings) warmUpFactor(server *Server, at int64) float64 {
	age := float64(at - server.startedAt - s.StartTimeError)
	if server.startedAt == 0 || age >= float64(s.SlowStart) {
		return 1
	}
	return s.SlowStartShare + (1-s.SlowStartShare)*max(age, 0)/float64(s.SlowStart)
}

// SetSlowStartOwner sets whether this process may use its node's quota of the slow start budgets. A process
// that takes over from another process of the node does not have the record of what that process sent, and
// waits for the next turn.
func (d *Dispatcher) SetSlowStartOwner(owner bool) {
	d.slowStartOwnerSince = math.MaxInt64
	if owner {
		d.slowStartOwnerSince = d.now
	}
}

// withinSlowStartBudget reports whether a request fits into this node's quota of a server's slow start
// budget. All requests that were sent count, including rejected ones.
func (d *Dispatcher) withinSlowStartBudget(request *Request, server *Server) bool {
	if d.settings.warmUpFactor(server, d.now) == 1 {
		return true
	}
	if d.settings.Quotas != nil {
		return d.settings.Quotas.Allow(BudgetSlowStart, server, request, d.slowStartCost(request, server))
	}
	turn := d.currentTurn(server)
	if !turn.ownTurn || d.slowStartOwnerSince >= turn.since {
		return false
	}
	return server.recentSends.sum(request.size, turn.since) <= turn.nodeBudget
}

// slowStartCost is the share of a server's slow start budget that a request uses.
func (d *Dispatcher) slowStartCost(request *Request, server *Server) float64 {
	return request.size / d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1)
}

// slowStartBudget is the work (ns) that all nodes may send to a server in a window, at its warm-up state at
// a clock time, divided into a number of equal parts.
func (d *Dispatcher) slowStartBudget(server *Server, at int64, parts float64) float64 {
	work := d.settings.OverloadFactor * float64(d.settings.OverloadWindow) * max(server.typeStats.maxSlots, 1)
	work /= server.typeStats.meanRuntimeRatio(d.now)
	return work * (d.settings.warmUpFactor(server, at) / slowStartMargin / parts)
}

// currentTurn computes which group's turn it is to send to a server in slow start. A group has as many nodes
// as large requests fit into the budget of a turn.
func (d *Dispatcher) currentTurn(server *Server) slowStartTurn {
	nodes, length := d.settings.nodesInRotation(), d.settings.turnLength()
	// The earliest possible start time. With a later one, requests sent between the actual start and that
	// time would not count.
	start := server.startedAt - d.settings.StartTimeError
	number := max(d.now-start, 0) / length
	since := start + number*length
	// A window overlaps one turn more than fits into it.
	budget := d.slowStartBudget(server, since, turnsPerWindow+1)
	members := max(int64(min(budget/d.largeSize, float64(nodes))), 1)
	groups := (int64(nodes) + members - 1) / members
	const startUnit = 1e6 // ns; servers that start together have their turns at different nodes
	return slowStartTurn{
		nodeBudget: budget / float64(members),
		since:      since,
		ownTurn:    (number+int64(d.settings.NodeIndex)+server.startedAt/startUnit)%groups == 0,
		groups:     float64(groups),
	}
}

// inSlowStartTurn reports whether it may be this node's turn at a server in slow start. The result is
// computed once per turn and limits which candidates are considered; withinSlowStartBudget decides what is
// sent.
func (d *Dispatcher) inSlowStartTurn(server *Server) bool {
	if d.settings.Quotas != nil {
		return true
	}
	if d.now >= server.turnUntil {
		turn := d.currentTurn(server)
		server.inTurn = turn.ownTurn
		server.turnUntil = turn.since + d.settings.turnLength()
	}
	return server.inTurn
}
