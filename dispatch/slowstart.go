// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// A server that has just started has less capacity at first. All nodes together must not send it more work in a
// window than it can take. Where nodes share budgets, each goes by its quota. Elsewhere they take turns, which
// all of them work out alike from the settings, the server's start time and the clock: an even share of many
// nodes would be less than one request each.

const (
	// slowStartMargin is the factor by which the work sent stays under what a server can take: nodes see
	// different times and sizes.
	slowStartMargin = 1.5
	// turnsPerWindow is the number of turns in an overload window.
	turnsPerWindow = 4
)

// slowStartTurn is the time in which a group of nodes may send to a server in slow start.
type slowStartTurn struct {
	quotaShare float64 // the work that this node may send in its turn, ns
	since      int64   // clock time
	ours       bool    // this node is in the group
	groups     float64 // that take turns
}

// nodesInRotation is the number of nodes that take turns. With quotas none do.
func (s *Settings) nodesInRotation() int {
	if s.Quotas != nil {
		return 1
	}
	return max(s.Nodes, 1)
}

// turnLength is the length of a turn, ns.
func (s *Settings) turnLength() int64 { return max(s.OverloadWindow/turnsPerWindow, 1) }

// slowStartShareFactor is the factor on the weight of a server in slow start by which this node draws it more
// often than if all nodes could send to it at any time.
func (s *Settings) slowStartShareFactor(server *Server, groups float64) float64 {
	if s.Quotas == nil {
		return groups
	}
	return s.Quotas.Quota(BudgetSlowStart, server) * float64(max(s.Nodes, 1))
}

// warmUpFactor is the least share of its capacity that a server has at a clock time; its start time may be too
// early.
func (s *Settings) warmUpFactor(server *Server, at int64) float64 {
	age := float64(at - server.startedAt - s.StartTimeError)
	if server.startedAt == 0 || age >= float64(s.SlowStart) {
		return 1
	}
	return s.SlowStartShare + (1-s.SlowStartShare)*max(age, 0)/float64(s.SlowStart)
}

// SetSlowStartOwner says whether this process may use its node's share of the slow start budgets. One that
// takes them over from another process of the node doesn't know what that has sent, and waits for the next
// turn.
func (d *Dispatcher) SetSlowStartOwner(owner bool) {
	d.slowStartOwnerSince = math.MaxInt64
	if owner {
		d.slowStartOwnerSince = d.now
	}
}

// withinSlowStartBudget says whether a request fits into this node's share of a server's budget in slow start.
// All that was sent counts, rejected or not.
func (d *Dispatcher) withinSlowStartBudget(request *Request, server *Server) bool {
	if d.settings.warmUpFactor(server, d.now) == 1 {
		return true
	}
	if d.settings.Quotas != nil {
		return d.settings.Quotas.Allow(BudgetSlowStart, server, request, d.slowStartCost(request, server))
	}
	turn := d.currentTurn(server)
	if !turn.ours || d.slowStartOwnerSince >= turn.since {
		return false
	}
	return server.recentSends.sum(request.size, turn.since) <= turn.quotaShare
}

// slowStartCost is the share of a server's budget in slow start that a request takes.
func (d *Dispatcher) slowStartCost(request *Request, server *Server) float64 {
	return request.size / d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1)
}

// slowStartBudget is one of some equal parts of the work (ns) that all nodes may send to a server in a window,
// as warm as it is at a clock time.
func (d *Dispatcher) slowStartBudget(server *Server, at int64, parts float64) float64 {
	work := d.settings.OverloadFactor * float64(d.settings.OverloadWindow) * max(server.typeStats.maxSlots, 1)
	work /= server.typeStats.meanRuntimeRatio(d.now)
	return work * (d.settings.warmUpFactor(server, at) / slowStartMargin / parts)
}

// currentTurn works out whose turn it is to send to a server in slow start. As many nodes as its budget has
// large requests form a group.
func (d *Dispatcher) currentTurn(server *Server) slowStartTurn {
	nodes, length := d.settings.nodesInRotation(), d.settings.turnLength()
	// The earliest time that the server may have started: with a later one nothing sent since then would count.
	start := server.startedAt - d.settings.StartTimeError
	number := max(d.now-start, 0) / length
	since := start + number*length
	budget := d.slowStartBudget(server, since, turnsPerWindow+1) // a window meets one turn more than it is long
	members := max(int64(min(budget/d.largeSize, float64(nodes))), 1)
	groups := (int64(nodes) + members - 1) / members
	const startUnit = 1e6 // ns; servers that start together have their turns at different nodes
	return slowStartTurn{
		quotaShare: budget / float64(members),
		since:      since,
		ours:       (number+int64(d.settings.NodeIndex)+server.startedAt/startUnit)%groups == 0,
		groups:     float64(groups),
	}
}

// inSlowStartTurn says whether it may be this node's turn at a server in slow start. It is worked out once a
// turn, for the search for candidates; withinSlowStartBudget decides what is sent.
func (d *Dispatcher) inSlowStartTurn(server *Server) bool {
	if d.settings.Quotas != nil {
		return true
	}
	if d.now >= server.turnUntil {
		turn := d.currentTurn(server)
		server.inTurn = turn.ours
		server.turnUntil = turn.since + d.settings.turnLength()
	}
	return server.inTurn
}
