// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// nodesInRotation is how many nodes take turns at what is cold; leases take the place of turns.
func (t *Settings) nodesInRotation() int {
	if t.Quotas != nil {
		return 1
	}
	return max(t.Nodes, 1)
}

// slowStartShareFactor is how much likelier a node takes a cold executor than others do, as few may send to it: by the groups that take
// turns at it, or by this node's part of what all have. Danger: who may send to it draws it as seldom as if all could.
func (t *Settings) slowStartShareFactor(server *Server, groups float64) float64 {
	if t.Quotas == nil {
		return groups
	}
	return t.Quotas.Quota(BudgetSlowStart, server) * float64(max(t.Nodes, 1))
}

// warmUpFactor is the share of its capacity that an executor has at least, at a time; its stamp may be too early.
func (t *Settings) warmUpFactor(server *Server, at int64) float64 {
	age := float64(at - server.startedAt - t.StartTimeError)
	if server.startedAt == 0 || age >= float64(t.SlowStart) {
		return 1
	}
	return t.SlowStartShare + (1-t.SlowStartShare)*max(age, 0)/float64(t.SlowStart)
}

// distanceFor is how far an executor is from this node for a txn; one that has homes goes by these.
// Danger: few nodes at a time may send to a cold one, and those that it is near to are other ones.
func (t *Settings) distanceFor(request *Request, server *Server, now int64) int {
	if request.AffinityKey != 0 || server.Distance == 0 || t.warmUpFactor(server, now) < 1 {
		return 0
	}
	return server.Distance
}

// SetSlowStartOwner says whether this node's part of cold executors' budgets is this module's to use. Taken over from another process
// of the node it counts as one that knows nothing of what was sent before.
func (d *Dispatcher) SetSlowStartOwner(yes bool) {
	if d.slowStartOwnerSince = math.MaxInt64; yes {
		d.slowStartOwnerSince = d.now
	}
}

// withinSlowStartBudget keeps this node's part of a cold executor's budget, by all that was sent, refused or not.
// Danger: one pushed over by all nodes together, or by a new node that knows nothing of what it sent before.
func (d *Dispatcher) withinSlowStartBudget(request *Request, server *Server) bool {
	if d.settings.warmUpFactor(server, d.now) == 1 {
		return true
	}
	if d.settings.Quotas != nil { // it counts as it is sent
		return d.settings.Quotas.Allow(BudgetSlowStart, server, request, d.slowStartCost(request, server))
	}
	part, since, turn, _ := d.quotaShare(server)
	return turn && d.slowStartOwnerSince < since && server.recentSends.sum(request.size, since) <= part
}

// slowStartCost is the share of a server's budget in slow start that a request takes.
func (d *Dispatcher) slowStartCost(request *Request, server *Server) float64 {
	return request.size / d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1)
}

// slowStartBudget is a part of the work that all nodes may send a cold executor in a window, by its warmth at a time.
// It bears N jobs, two root N + 2 for chance; what is sent has that chance too, so that N / doubt follows.
func (d *Dispatcher) slowStartBudget(server *Server, at int64, parts float64) float64 {
	work := d.settings.OverloadFactor * float64(d.settings.OverloadWindow) * max(server.typeStats.maxSlots, 1) / server.typeStats.meanRuntimeRatio(d.now)
	return work * (d.settings.warmUpFactor(server, at) / slowStartMargin / parts)
}

// quotaShare is what this node may send a cold executor, since when, whether now, and how many groups take turns.
// Danger: an even part of many is less than one txn, and what was swapped stands empty. So a few take turns.
func (d *Dispatcher) quotaShare(server *Server) (part float64, since int64, turn bool, of float64) {
	nodes, length := d.settings.nodesInRotation(), max(d.settings.OverloadWindow/turnsPerWindow, 1)
	// Danger: a start that is stamped too late lies ahead, and nothing sent since then would count.
	first := server.startedAt - d.settings.StartTimeError
	n := max(d.now-first, 0) / length
	since = first + n*length
	all := d.slowStartBudget(server, since, turnsPerWindow+1) // a window meets one turn more than it is long
	members := max(int64(min(all/d.largeSize, float64(nodes))), 1)
	groups := (int64(nodes) + members - 1) / members
	return all / float64(members), since, (n+int64(d.settings.NodeIndex)+server.startedAt/1e6)%groups == 0, float64(groups)
}

// inSlowStartTurn says whether it may be this node's turn at a server in slow start. It is worked out once a turn; what is sent is held to
// the budget by warmEnough.
func (d *Dispatcher) inSlowStartTurn(server *Server) bool {
	if d.settings.Quotas != nil {
		return true
	}
	if d.now >= server.turnUntil {
		_, since, turn, _ := d.quotaShare(server)
		server.inTurn, server.turnUntil = turn, since+max(d.settings.OverloadWindow/turnsPerWindow, 1)
	}
	return server.inTurn
}
